package gossip

import (
	"errors"
	"fmt"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/replication"
)

// persistTimeout limits how long SetOverride waits for the storage.
const persistTimeout = 3 * time.Second

// answerBeforeSyncPeriod is how long after the start the failpoint AnswerBeforeSync prevents persisting.
const answerBeforeSyncPeriod = 8 * time.Second

// Reasons why an override is not persisted, as shown to operators.
var (
	errNoDir          = errors.New("no folder is set in [group]")
	errPersistTimeout = fmt.Errorf("the write timed out after %v and may still complete", persistTimeout)
)

// persistLocked submits to the storage the changes that may not be persisted yet. Each round calls it again.
func (n *Node) persistLocked() {
	version := n.replica.Version().Digest()
	if failpoint.Enabled(failpoint.AnswerBeforeSync) && time.Since(n.startedAt) < answerBeforeSyncPeriod {
		return
	}
	changed := len(n.dirty) > 0 || version != n.submittedVersionDigest || n.writeFailed
	if !changed || n.storage == nil {
		return
	}
	queued, err := n.storage.enqueue(n.replica, n.dirty)
	if err != nil {
		n.persistFailedLocked(err)
		return
	}
	n.dirty = map[replication.Key]bool{}
	n.submittedVersionDigest = version
	n.writeFailed = false
	n.lastBatch = queued
}

// onBatchWritten is called by the storage after each attempt to write a batch. Entries of a failed batch are submitted again.
func (n *Node) onBatchWritten(from *storage, tried *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storage != from { // the storage is being closed
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

// persistFailedLocked records why changes are not persisted, and logs the first of consecutive failures.
func (n *Node) persistFailedLocked(err error) {
	n.Counters.PersistFailures.Add(1)
	if n.persistErr == nil {
		n.options.Log.WithError(err).Error("persisting overrides failed, will be retried")
	}
	n.persistErr = err
}

// awaitWritten waits for up to persistTimeout until the storage has tried to write a batch, and returns the error, if any.
func (n *Node) awaitWritten(queued *batch) error {
	select {
	case <-queued.done:
		return queued.err
	case <-time.After(n.persistTimeout):
		return errPersistTimeout
	}
}
