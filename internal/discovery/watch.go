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
	watchTarget    = "/discovery/hosts?follow=1&since=" // and a version
)

// errStaleVersion says that the source counts its versions otherwise than the list before: another agent's, or the same one before its
// restart.
var errStaleVersion = errors.New("a version older than the newest came")

// watch follows the list at one address. Its goroutine owns resume and backoff.
type watch struct {
	timing
	address string
	watcher *Watcher
	cancel  context.CancelFunc
	backoff backoff
	resume  bool // the next request may go on from version

	mu      sync.Mutex // two requests may be open: the watch and the check of its first version
	hasList bool       // the engine's list is of this address ...
	version uint64     // ... and of this version
}

// run follows the list until ctx ends. Where the watch breaks or falls silent it begins again after a delay; the engine keeps its list
// meanwhile.
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

// wait returns after a delay, or when ctx ends.
func wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// follow receives the list and its changes until an error ends it; received reports whether any was applied. It begins with the complete
// list, as a version of another agent, or of the same one before it was restarted, means nothing. There are two exceptions: the first watch
// after our start goes on from the list that we were started with, and one that discovery was too busy for goes on from the newest. These
// need one request in place of two, and learn later from verify that their first version meant something.
func (w *watch) follow(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var verifications sync.WaitGroup
	defer verifications.Wait() // guards against a list of the verification that comes after the next watch's
	defer cancel()
	resumed := w.resume && w.knowsList()
	if !resumed {
		received, err = w.fetchSnapshot(ctx, true)
		if !received || !errors.Is(err, io.EOF) {
			return received, err
		}
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

// fetchSnapshot requests the complete list; received reports whether one was applied. With reset it counts whatever its version is. The error
// is io.EOF where the response ended in order.
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

// apply hands a list to the watcher and notes its version. first says that it is the first of its request: one that is older than the newest
// shows that the versions mean nothing. Later ones that are older are dropped, as a verification has brought more meanwhile.
func (w *watch) apply(list engine.EndpointList, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		if first {
			return fmt.Errorf("%w: %d after %d", errStaleVersion, list.Version, w.version)
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

// verify requests the complete list some time after a watch was resumed, until it has it: nothing else shows that the version the watch began
// with means to this agent what it meant before. It cancels the watch where that is not so.
func (w *watch) verify(ctx context.Context, cancel func()) {
	retries := w.backoff // with a count of failures of its own
	delay := retries.verifyDelay()
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

// nextTarget returns the target of a watch that goes on from the newest version.
func (w *watch) nextTarget() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchTarget + strconv.FormatUint(w.version, 10)
}
