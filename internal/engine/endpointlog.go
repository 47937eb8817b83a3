package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// maxLoggedChanges is the number of changed workers that the line for an update names.
const maxLoggedChanges = 8

// stateNames are the names of states in log fields.
var stateNames = [...]string{dispatch.Ready: "ready", dispatch.Draining: "draining", dispatch.Gone: "gone"}

// endpointChanges are the changes of workers by the update that is applied, for the log.
type endpointChanges struct {
	count int
	named []string // the first of them
}

// recordChange notes a change of a worker's entry: its state, the age that its start counts as and, once it was sent something meanwhile, how
// many attempts of this dispatcher it got while it was warming up. The caller must hold the lock.
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

// logChanges logs the noted changes in one line. The caller must hold the lock.
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
