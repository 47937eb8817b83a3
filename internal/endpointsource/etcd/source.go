// Package etcd follows a list of workers in etcd: one key per worker under a prefix, with a JSON value. It reads the range at a revision
// and watches from the next one. After a disconnect it resumes from the last revision that it received; if that has been compacted it reads
// the complete range again.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"

	"birchfork/dispatch"
	"birchfork/internal/endpointsource"
	"birchfork/internal/engine"
)

// Timing of a source.
const (
	readTimeout      = 5 * time.Second
	progressInterval = 1 * time.Second // between requests for progress on a watch
	maxSilence       = 4 * time.Second // a watch without a response for longer counts as lost
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
)

// Counters count the events of a source. They are safe for concurrent use.
type Counters struct {
	Reads       atomic.Int64 // complete ranges read
	Changes     atomic.Int64
	BadValues   atomic.Int64
	Disconnects atomic.Int64
	Compacted   atomic.Int64 // watches rejected because their revision was compacted
	Restored    atomic.Int64 // how often revisions went backwards
}

// Source follows the keys under one prefix. Its callbacks are called from the goroutine of Run, one at a time.
type Source struct {
	Client   *clientv3.Client
	Prefix   string
	Log      logrus.FieldLogger
	OnUpdate func(endpointsource.Update)
	OnLost   func() // the connection is lost; the list is kept

	Counters     Counters
	lastRevision int64 // the newest delivered revision
}

// Errors that end a watch.
var (
	errSilent     = fmt.Errorf("watch timed out after %v without a response", maxSilence)
	errWatchEnded = errors.New("watch closed")
)

// Run follows the prefix until ctx ends.
func (s *Source) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		delivered, err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		s.Counters.Disconnects.Add(1)
		s.OnLost()
		if delivered {
			delay = minRetryDelay
		}
		s.Log.WithError(err).WithFields(logrus.Fields{"prefix": s.Prefix, "retry_in": delay}).Warn("etcd disconnected; keeping the list")
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)): // jitter, so that not all agents reconnect at once
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// follow reads the range and then watches for changes. It reports whether a list was delivered.
func (s *Source) follow(ctx context.Context) (delivered bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.readRange(ctx); err != nil {
		return false, err
	}
	return true, s.watch(ctx)
}

// readRange reads all keys under the prefix and delivers them as a complete list.
func (s *Source) readRange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := s.Client.Get(ctx, s.Prefix, clientv3.WithPrefix())
	if err != nil {
		return fmt.Errorf("reading the range: %w", err)
	}
	revision := response.Header.Revision
	if revision < s.lastRevision {
		s.Counters.Restored.Add(1)
		s.Log.WithFields(logrus.Fields{"revision": revision, "last_revision": s.lastRevision}).Warn("etcd revisions went backwards; restored from an older copy")
	}
	update := endpointsource.Update{Snapshot: true, Revision: uint64(revision)}
	for _, kv := range response.Kvs {
		update.Endpoints = append(update.Endpoints, s.decode(kv))
	}
	s.lastRevision = revision
	s.Counters.Reads.Add(1)
	s.OnUpdate(update)
	return nil
}

// watch delivers changes after the last revision until the watch ends. The client library resumes the watch if the connection breaks.
func (s *Source) watch(ctx context.Context) error {
	responses := s.Client.Watch(clientv3.WithRequireLeader(ctx), s.Prefix,
		clientv3.WithPrefix(),
		clientv3.WithRev(s.lastRevision+1),
		clientv3.WithProgressNotify(),
		clientv3.WithCreatedNotify())
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	lastResponse := time.Now()
	for {
		select {
		case response, ok := <-responses:
			if !ok {
				return errWatchEnded
			}
			if err := s.checkResponse(&response); err != nil {
				return err
			}
			lastResponse = time.Now()
			s.deliver(response.Events)
		case <-progress.C:
			if time.Since(lastResponse) > maxSilence {
				return errSilent
			}
			// An error needs no handling: the watch then times out.
			_ = s.Client.RequestProgress(clientv3.WithRequireLeader(ctx))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkResponse returns an error if a response ends the watch.
func (s *Source) checkResponse(response *clientv3.WatchResponse) error {
	if err := response.Err(); err != nil {
		if response.CompactRevision != 0 || errors.Is(err, rpctypes.ErrCompacted) {
			s.Counters.Compacted.Add(1)
		}
		return fmt.Errorf("watching from revision %d: %w", s.lastRevision+1, err)
	}
	if response.Header.Revision < s.lastRevision {
		return fmt.Errorf("watching: revision went backwards: got %d after %d", response.Header.Revision, s.lastRevision)
	}
	return nil
}

// deliver delivers events, as one update per revision.
func (s *Source) deliver(events []*clientv3.Event) {
	for len(events) > 0 {
		revision := events[0].Kv.ModRevision
		update := endpointsource.Update{Revision: uint64(revision)}
		for len(events) > 0 && events[0].Kv.ModRevision == revision {
			update.Endpoints = append(update.Endpoints, s.decodeEvent(events[0]))
			events = events[1:]
		}
		if revision <= s.lastRevision {
			continue // a resumed watch may repeat events
		}
		s.lastRevision = revision
		s.Counters.Changes.Add(1)
		s.OnUpdate(update)
	}
}

// workerName returns the name of the worker that a key stands for, which is the key without the prefix.
func (s *Source) workerName(kv *mvccpb.KeyValue) string {
	return strings.TrimPrefix(string(kv.Key), s.Prefix)
}

// decodeEvent returns the worker of an event, in the state after the event.
func (s *Source) decodeEvent(event *clientv3.Event) engine.Endpoint {
	if event.Type == clientv3.EventTypeDelete {
		return engine.Endpoint{Name: s.workerName(event.Kv), Cell: -1, State: dispatch.Gone}
	}
	return s.decode(event.Kv)
}

// decode returns the worker of a key. A worker with an invalid value counts as draining.
func (s *Source) decode(kv *mvccpb.KeyValue) engine.Endpoint {
	endpoint, err := Decode(s.workerName(kv), kv.Value)
	if err != nil {
		s.Counters.BadValues.Add(1)
		s.Log.WithError(err).WithField("key", string(kv.Key)).Warn("invalid worker value; the worker gets no requests")
	}
	return endpoint
}
