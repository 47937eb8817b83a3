package gossip

import (
	"errors"
	"fmt"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/replication"
)

// persistTimeout is how long SetOverride waits for the storage.
const persistTimeout = 3 * time.Second

// unsyncedAnswerTime is how long after the start the failpoint AnswerBeforeSync keeps anything from being persisted.
const unsyncedAnswerTime = 8 * time.Second

// Why an override is not persisted, as operators are told.
var (
	errNoDir          = errors.New("[group] has no folder")
	errPersistTimeout = fmt.Errorf("its disk has not taken it in %v; it may yet", persistTimeout)
)

// persistLocked hands to the storage what that may not have. Each round tries again.
func (n *Node) persistLocked() {
	version := n.replica.Version().Digest()
	if failpoint.Enabled(failpoint.AnswerBeforeSync) && time.Since(n.startedAt) < unsyncedAnswerTime {
		return
	}
	changed := len(n.dirty) > 0 || version != n.submittedVersion || n.writeFailed
	if !changed || n.storage == nil {
		return
	}
	queued, err := n.storage.enqueue(n.replica, n.dirty)
	if err != nil {
		n.persistFailedLocked(err)
		return
	}
	n.dirty = map[replication.Key]bool{}
	n.submittedVersion = version
	n.writeFailed = false
	n.lastBatch = queued
}

// onBatchWritten is told of each batch that the storage has tried to write. What failed is handed to it again.
func (n *Node) onBatchWritten(from *storage, tried *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storage != from { // it is being closed
		return
	}
	if tried.err == nil {
		n.persistErr = nil
		return
	}
	n.writeFailed = true
	for key := range tried.entries {
		n.dirty[key] = true
	}
	n.persistFailedLocked(tried.err)
}

// persistFailedLocked notes why the replica is not persisted, and logs the first of several failures.
func (n *Node) persistFailedLocked(err error) {
	n.Counters.PersistFailures.Add(1)
	if n.persistErr == nil {
		n.options.Log.WithError(err).Error("persisting overrides failed, will be retried")
	}
	n.persistErr = err
}

// awaitWritten waits until a batch was tried, for persistTimeout at the most, and returns why it is not persisted.
func (n *Node) awaitWritten(queued *batch) error {
	select {
	case <-queued.done:
		return queued.err
	case <-time.After(n.persistTimeout):
		return errPersistTimeout
	}
}
