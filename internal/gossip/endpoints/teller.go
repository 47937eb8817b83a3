package endpoints

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// Times and bounds of telling.
const (
	pollInterval        = 250 * time.Millisecond // at our own list
	fanout              = 4                      // members that hear what is new here, and tell as many
	initialSyncPeers    = 2                      // members that one that starts asks for all
	initialSyncInterval = time.Second
	requestTimeout      = time.Second
	maxMessageStatuses  = 1000 // facts of a message
)

// The paths of the links.
const (
	updatesPath  = "/group/list/news"
	snapshotPath = "/group/list/all"
)

// Source is the list of this dispatcher: store.Store behind a small adapter.
type Source interface {
	// Facts are how far workers have come by our own list; fresh tells that discovery has told it since our start.
	Statuses() (all []Status, fresh bool)
	// Count is another one where the list has changed.
	Revision() uint64
	// Alive is how long our own watch has told without a break; below 0: it does not.
	WatchUptime() time.Duration
	// Heed leaves these workers out, in place of those before.
	ExcludeOutdated(names []string)
}

// Broadcaster is one member's part. It tells nothing before Enter and after Leave.
type Broadcaster struct {
	Sent, Accepted, Rejected atomic.Int64

	peers     []string
	source    Source
	log       logrus.FieldLogger
	startedAt time.Time

	mu             sync.Mutex
	table          *Table
	sourceRevision uint64 // count of the list that it has
	excluded       int

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// NewBroadcaster returns a Teller for a member with these others.
func NewBroadcaster(peers []string, source Source, log logrus.FieldLogger) *Broadcaster {
	return &Broadcaster{peers: peers, source: source, log: log, startedAt: time.Now(), table: NewTable()}
}

// Attach takes part by the links of a place in the group, before they serve.
func (b *Broadcaster) Attach(transport *peer.Transport) {
	transport.Handle(updatesPath, func(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
		statuses, err := decodeStatuses(body)
		if err != nil {
			b.Rejected.Add(1)
			return nil, err
		}
		b.broadcast(transport, b.merge(statuses))
		return nil, nil
	})
	transport.Handle(snapshotPath, func(context.Context, peer.Sender, []byte) ([]byte, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		all, fresh := b.table.Local()
		if !fresh || failpoint.Enabled(failpoint.NoEndpointExchange) {
			return nil, &peer.RejectedError{Reason: "this member's own discovery has told nothing yet"}
		}
		return json.Marshal(all)
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops.Go(func() { b.watchLoop(ctx, transport) })
	b.loops.Go(func() { b.initialSync(ctx, transport) })
}

// Detach gives the place up.
func (b *Broadcaster) Detach() {
	b.cancel()
	b.loops.Wait()
}

// Fields are the counters, for the log.
func (b *Broadcaster) Fields() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{
		"list_told": b.Sent.Load(), "list_taken": b.Accepted.Load(), "list_refused": b.Rejected.Load(), "list_held": int64(b.excluded),
	}
}

func decodeStatuses(body []byte) (statuses []Status, err error) {
	if err := json.Unmarshal(body, &statuses); err != nil {
		return nil, &peer.RejectedError{Reason: "no facts of a list: " + err.Error()}
	}
	return statuses, nil
}

// merge takes facts over and returns those that were news here.
func (b *Broadcaster) merge(statuses []Status) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	updates, rejected := b.table.Merge(time.Since(b.startedAt), statuses)
	b.Accepted.Add(int64(len(updates)))
	b.Rejected.Add(int64(rejected))
	if len(updates) > 0 {
		b.applyExclusions()
	}
	return updates
}

// applyExclusions leaves out whom others know to have come further. The lock is held.
func (b *Broadcaster) applyExclusions() {
	excluded := b.table.Excluded(time.Since(b.startedAt), b.source.WatchUptime())
	if len(excluded) != b.excluded {
		b.log.WithField("runners", len(excluded)).Info("others know of runners what our own discovery has not told yet: these get nothing")
	}
	b.excluded = len(excluded)
	b.source.ExcludeOutdated(excluded)
}

// watchLoop follows our own list.
func (b *Broadcaster) watchLoop(ctx context.Context, transport *peer.Transport) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.broadcast(transport, b.updateLocal())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// updateLocal takes our own list over, where it has changed, and returns what others are to hear.
func (b *Broadcaster) updateLocal() (updates []Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision := b.source.Revision(); revision != b.sourceRevision { // read first: what comes between is taken with the next look
		b.sourceRevision = revision
		updates = b.table.UpdateLocal(b.source.Statuses())
	}
	if b.excluded > 0 || len(updates) > 0 {
		b.applyExclusions()
	}
	return updates
}

// broadcast has some members hear what was news here. It does not wait.
func (b *Broadcaster) broadcast(transport *peer.Transport, updates []Status) {
	if failpoint.Enabled(failpoint.NoEndpointExchange) {
		return
	}
	for ; len(updates) > 0; updates = updates[min(maxMessageStatuses, len(updates)):] {
		raw, err := json.Marshal(updates[:min(maxMessageStatuses, len(updates))])
		if err != nil {
			return
		}
		for _, i := range rand.Perm(len(b.peers))[:min(fanout, len(b.peers))] {
			transport.Send(b.peers[i], updatesPath, raw)
		}
		b.Sent.Add(1)
	}
}

// initialSync asks some members for all they know, until so many have told.
func (b *Broadcaster) initialSync(ctx context.Context, transport *peer.Transport) {
	synced := map[string]bool{}
	for ctx.Err() == nil && len(synced) < min(initialSyncPeers, len(b.peers)) {
		for _, i := range rand.Perm(len(b.peers)) {
			name := b.peers[i]
			if synced[name] || ctx.Err() != nil || len(synced) >= initialSyncPeers {
				continue
			}
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			raw, err := transport.Request(requestCtx, name, snapshotPath, nil)
			cancel()
			if err != nil {
				continue
			}
			statuses, err := decodeStatuses(raw)
			if err != nil {
				b.Rejected.Add(1)
				continue
			}
			synced[name] = true
			b.merge(statuses) // whom they told has heard of it
		}
		select {
		case <-ctx.Done():
		case <-time.After(initialSyncInterval):
		}
	}
}
