package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/engine"
)

// Targets of the requests to discovery.
const (
	snapshotTarget = "/discovery/hosts"
	watchTarget    = "/discovery/hosts?follow=1&since=" // followed by a version
)

// errStaleVersion means that the versions are not comparable with earlier ones: the source is another agent, or has been restarted.
var errStaleVersion = errors.New("list version is older than the newest known one")

// watch follows the endpoint list at one address. Its goroutine owns resume and backoff.
type watch struct {
	timing
	address string
	watcher *Watcher
	cancel  context.CancelFunc
	backoff backoff
	resume  bool // the next request may continue from version

	mu      sync.Mutex // two requests may be open: the watch and the verification of its first version
	hasList bool       // the engine's list is from this address
	version uint64     // newest version of that list
}

// run follows the list until ctx ends. A watch that breaks or falls silent is restarted after a delay; the engine keeps its list meanwhile.
func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		received, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		var busy busyError
		w.resume = errors.As(err, &busy)
		w.watcher.watchBroken(w)
		w.watcher.Engine.Counters.WatchFailures.Add(1)
		delay := w.backoff.delay(received, err)
		w.watcher.Log.WithError(err).WithFields(logrus.Fields{"discovery": w.address, "retry_in": delay}).Warn("discovery watch broke")
		wait(ctx, delay)
	}
}

// wait returns after a delay or when ctx ends.
func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// follow receives the list and its changes until an error occurs; received reports whether any was applied. It begins with the complete
// list, since a version of another agent, or of the same agent before a restart, is meaningless. There are two exceptions: the first watch
// of the process continues from the list with which the process was started, and a watch for which discovery was too busy continues from
// the newest list. These need one request instead of two; verify checks later that their first version was valid.
func (w *watch) follow(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var verifications sync.WaitGroup
	defer verifications.Wait() // guards against applying the verification's list after a list of the next watch
	defer cancel()
	resumed := w.resume && w.knowsList()
	if !resumed {
		began := time.Now()
		received, err = w.fetchSnapshot(ctx, true)
		if !received || !errors.Is(err, io.EOF) {
			return received, err
		}
		wait(ctx, w.backoff.delayAfterList(time.Since(began)))
	}
	first := true
	err = w.readLists(ctx, w.nextTarget(), func(list engine.EndpointList) error {
		if first && resumed && !list.Snapshot {
			verifications.Go(func() { w.verify(ctx, cancel) })
		}
		err := w.apply(list, first)
		received = received || err == nil
		first = false
		return err
	})
	return received, err
}

// fetchSnapshot requests the complete list; received reports whether one was applied. With reset it is applied regardless of its version.
// The error wraps io.EOF if the response ended properly.
func (w *watch) fetchSnapshot(ctx context.Context, reset bool) (received bool, err error) {
	err = w.readLists(ctx, snapshotTarget, func(list engine.EndpointList) error {
		list.Snapshot = true
		if reset {
			w.resetVersion()
		}
		err := w.apply(list, true)
		received = received || err == nil
		return err
	})
	return received, err
}

// apply passes a list to the watcher and stores its version. first is set for the first list of a request: if it is older than the newest
// list, the versions are not comparable. A later list that is older is dropped, since a verification has delivered a newer one meanwhile.
func (w *watch) apply(list engine.EndpointList, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		if first {
			return fmt.Errorf("%w: got %d, newest is %d", errStaleVersion, list.Version, w.version)
		}
		return nil
	}
	if err := w.watcher.apply(w, list); err != nil {
		return err
	}
	w.hasList = w.hasList || list.Snapshot
	w.version = list.Version
	return nil
}

// verify requests the complete list some time after a watch was resumed, and retries until it has received one or ctx ends. Only this
// list shows whether the version from which the watch continued is still valid at the agent. If it is not, verify cancels the watch.
func (w *watch) verify(ctx context.Context, cancel func()) {
	retries := w.backoff // counts its own failures
	delay := retries.yieldDelay()
	var busy busyError
	for {
		wait(ctx, delay)
		if ctx.Err() != nil {
			return
		}
		received, err := w.fetchSnapshot(ctx, false)
		if received {
			return
		}
		if errors.Is(err, errStaleVersion) {
			cancel()
		}
		delay = retries.delay(false, err)
		if errors.As(err, &busy) {
			delay = retries.yieldDelay()
		}
	}
}

func (w *watch) knowsList() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasList
}

func (w *watch) resetVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = 0
}

// nextTarget returns the target of a watch that continues from the newest version.
func (w *watch) nextTarget() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchTarget + strconv.FormatUint(w.version, 10)
}
