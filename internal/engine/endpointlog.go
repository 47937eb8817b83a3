package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// maxLoggedChanges is the maximum number of changed workers that the log line for an update names.
const maxLoggedChanges = 8

// stateNames are the names of worker states in log fields.
var stateNames = [...]string{dispatch.Ready: "ready", dispatch.Draining: "draining", dispatch.Gone: "gone"}

// endpointChanges are the worker changes of the current endpoint update, for the log.
type endpointChanges struct {
	count int
	named []string // descriptions of the first maxLoggedChanges
}

// recordChange records a change of a worker for the log: its state, its age and, if not 0, the number of attempts that this dispatcher sent
// to it while it was warming up. The caller must hold the lock.
func (e *Engine) recordChange(worker *workerState) {
	e.changes.count++
	if len(e.changes.named) >= maxLoggedChanges {
		return
	}
	text := worker.endpoint.Name + " " + stateNames[min(worker.endpoint.State, dispatch.Gone)]
	if worker.startedAt > 0 {
		text += fmt.Sprintf(" age=%v", duration(e.now()-worker.startedAt).Round(time.Millisecond))
	}
	if worker.sentToWarming > 0 {
		text += fmt.Sprintf(" sent_warming=%d", worker.sentToWarming)
	}
	e.changes.named = append(e.changes.named, text)
}

// logChanges logs the recorded changes in one line. The caller must hold the lock.
func (e *Engine) logChanges() {
	if e.changes.count == 0 {
		return
	}
	e.log.WithFields(logrus.Fields{
		"version": e.listVersion, "changed": e.changes.count, "workers": strings.Join(e.changes.named, ", "),
		"sent_warming": e.Counters.SentToWarming.Load(),
	}).Info("endpoints changed")
	e.changes = endpointChanges{named: e.changes.named[:0]}
}
