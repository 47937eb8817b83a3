// Package etcd follows a list of workers in etcd: one key each under a prefix, its value JSON. It reads the range at a
// revision and watches from the next; after a break it goes on from the last revision seen, and where that has been
// compacted it reads the whole range again.
package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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

// SchemaVersion is that of a worker's value.
const SchemaVersion = 1

// Value is a worker as it stands under its key. Unknown fields are passed over.
type Value struct {
	V       int     `json:"v"`
	Address string  `json:"address"`
	Zone    string  `json:"zone,omitempty"`
	Kind    string  `json:"kind,omitempty"`
	Cell    *int    `json:"cell,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	State   string  `json:"state,omitempty"`    // up (or nothing) or draining
	SinceMs int64   `json:"since_ms,omitempty"` // when it last started, Unix time in milliseconds; 0: long ago
}

// The states in a Value.
const (
	Up       = "up"
	Draining = "draining"
)

// Bounds and times of following.
const (
	valueMost  = 16 << 10
	sinceMost  = 100_000_000_000_000
	readWait   = 5 * time.Second
	askEvery   = 1 * time.Second // for a sign of life on a quiet watch
	quietMost  = 4 * time.Second // without one the source is lost
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Decode reads a worker. A value that cannot be used is an error, and what comes back drains: it is not known to want jobs.
func Decode(name string, raw []byte) (engine.Endpoint, error) {
	bad := engine.Endpoint{Name: name, Cell: -1, State: dispatch.Draining}
	if len(raw) > valueMost {
		return bad, fmt.Errorf("its value has %d bytes, more than %d", len(raw), valueMost)
	}
	var v Value
	if err := json.Unmarshal(raw, &v); err != nil {
		return bad, fmt.Errorf("its value is no JSON object of a worker: %w", err)
	}
	if v.V != SchemaVersion {
		return bad, fmt.Errorf("its value is of version %d, not %d", v.V, SchemaVersion)
	}
	e := engine.Endpoint{Name: name, Address: v.Address, Zone: v.Zone, Kind: v.Kind, Cell: -1, Weight: max(v.Weight, 0), StartedAtMillis: min(max(v.SinceMs, 0), sinceMost)}
	if v.Cell != nil {
		e.Cell = *v.Cell
	}
	if host, port, err := net.SplitHostPort(v.Address); err != nil || host == "" || port == "" || port == "0" {
		return bad, fmt.Errorf("its address %q is not host:port", v.Address)
	}
	switch v.State {
	case "", Up:
	case Draining:
		e.State = dispatch.Draining
	default:
		return bad, fmt.Errorf("its state %q is neither up nor draining", v.State)
	}
	return e, nil
}

// Counters count what a source meets.
type Counters struct {
	Reads     atomic.Int64 // whole ranges read
	Changes   atomic.Int64
	BadValues atomic.Int64
	Breaks    atomic.Int64
	Compacted atomic.Int64 // resumes that were refused, as history was compacted
	Restored  atomic.Int64 // times that revisions went backwards
}

// Source follows one prefix.
type Source struct {
	Client *clientv3.Client
	Prefix string
	Log    logrus.FieldLogger
	Tell   func(endpointsource.News)
	Lost   func()

	Counters Counters
	seen     int64 // the newest revision that was told
}

// Run follows until ctx ends.
func (s *Source) Run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		told, err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		s.Counters.Breaks.Add(1)
		s.Lost()
		if told {
			wait = retryFirst
		}
		s.Log.WithError(err).WithFields(logrus.Fields{"prefix": s.Prefix, "again_in": wait}).Warn("following etcd broke off; the list stays as it is")
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)): // spread, so that not all dispatchers come back at once
		}
		wait = min(2*wait, retryMost)
	}
}

var errQuiet = errors.New("etcd says nothing")

// follow reads the range and watches from there; told says whether that brought a list.
func (s *Source) follow(ctx context.Context) (told bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	read, done := context.WithTimeout(ctx, readWait)
	res, err := s.Client.Get(read, s.Prefix, clientv3.WithPrefix())
	done()
	if err != nil {
		return false, fmt.Errorf("reading the range: %w", err)
	}
	if res.Header.Revision < s.seen {
		s.Counters.Restored.Add(1)
		s.Log.WithFields(logrus.Fields{"revision": res.Header.Revision, "seen": s.seen}).Warn("etcd's revisions went backwards: it was restored from an older copy")
	}
	n := endpointsource.News{Whole: true, Revision: uint64(res.Header.Revision)}
	for _, kv := range res.Kvs {
		n.Entries = append(n.Entries, s.entry(kv))
	}
	s.seen = res.Header.Revision
	s.Counters.Reads.Add(1)
	s.Tell(n)
	return true, s.watch(ctx)
}

// watch takes changes from the revision after the last one seen, until the watch ends. The client's library resumes by
// itself where the connection breaks.
func (s *Source) watch(ctx context.Context) error {
	events := s.Client.Watch(clientv3.WithRequireLeader(ctx), s.Prefix, clientv3.WithPrefix(), clientv3.WithRev(s.seen+1), clientv3.WithProgressNotify(), clientv3.WithCreatedNotify())
	ask := time.NewTicker(askEvery)
	defer ask.Stop()
	heard := time.Now()
	for {
		select {
		case res, ok := <-events:
			if !ok {
				return errors.New("the watch ended")
			}
			if err := res.Err(); err != nil {
				if res.CompactRevision != 0 || errors.Is(err, rpctypes.ErrCompacted) {
					s.Counters.Compacted.Add(1)
				}
				return fmt.Errorf("watching from revision %d: %w", s.seen+1, err)
			}
			if res.Header.Revision < s.seen {
				return fmt.Errorf("watching: revision %d came after %d", res.Header.Revision, s.seen)
			}
			heard = time.Now()
			s.tell(res.Events)
		case <-ask.C:
			if time.Since(heard) > quietMost {
				return errQuiet
			}
			s.Client.RequestProgress(clientv3.WithRequireLeader(ctx)) // what is wrong shows by silence
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tell hands events on, all of one revision together.
func (s *Source) tell(events []*clientv3.Event) {
	for len(events) > 0 {
		rev := events[0].Kv.ModRevision
		n := endpointsource.News{Revision: uint64(rev)}
		for len(events) > 0 && events[0].Kv.ModRevision == rev {
			e := events[0]
			events = events[1:]
			if e.Type == clientv3.EventTypeDelete {
				n.Entries = append(n.Entries, engine.Endpoint{Name: s.name(e.Kv), Cell: -1, State: dispatch.Gone})
			} else {
				n.Entries = append(n.Entries, s.entry(e.Kv))
			}
		}
		if rev <= s.seen {
			continue // a resumed watch may say something twice
		}
		s.seen = rev
		s.Counters.Changes.Add(1)
		s.Tell(n)
	}
}

func (s *Source) name(kv *mvccpb.KeyValue) string {
	return strings.TrimPrefix(string(kv.Key), s.Prefix)
}

func (s *Source) entry(kv *mvccpb.KeyValue) engine.Endpoint {
	e, err := Decode(s.name(kv), kv.Value)
	if err != nil {
		s.Counters.BadValues.Add(1)
		s.Log.WithField("key", string(kv.Key)).Warnf("a worker that cannot be used gets nothing: %v", err)
	}
	return e
}
