package endpoints

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// Times and limits of a Broadcaster.
const (
	pollInterval        = 250 * time.Millisecond // between checks of this dispatcher's own list
	fanout              = 4                      // members to which an update is sent; each forwards it to as many
	maxMessageStatuses  = 1000
	initialSyncPeers    = 2 // members whose snapshots are fetched after a start
	initialSyncInterval = time.Second
	requestTimeout      = time.Second
)

// The paths of the messages between members.
const (
	updatesPath  = "/group/list/news"
	snapshotPath = "/group/list/all"
)

// Source is the endpoint list of this dispatcher. Its methods are called from several goroutines.
type Source interface {
	// Statuses returns the statuses of the listed workers; fresh: discovery has reported the list since the start.
	Statuses() (statuses []Status, fresh bool)
	// Revision changes with each change of the list.
	Revision() uint64
	// WatchUptime returns how long the watch has reported without interruption; below 0: it does not report.
	WatchUptime() time.Duration
	// ExcludeOutdated excludes the named workers. It replaces the names of the previous call.
	ExcludeOutdated(names []string)
}

// Broadcaster exchanges statuses with the other members. It is safe for concurrent use, except for Attach and Detach, which only its
// owner calls.
type Broadcaster struct {
	Sent     atomic.Int64 // messages, each to several members
	Accepted atomic.Int64 // statuses that were new
	Rejected atomic.Int64 // invalid or excess statuses, and malformed messages

	peers     []string
	source    Source
	log       logrus.FieldLogger
	startedAt time.Time

	mu             sync.Mutex
	table          *Table
	sourceRevision uint64 // of the list that the table was last updated from
	excluded       int    // number of excluded workers

	cancel context.CancelFunc // ends the loops
	loops  sync.WaitGroup
}

// NewBroadcaster returns a Broadcaster that exchanges statuses with peers, the other members. It exchanges nothing before Attach.
func NewBroadcaster(peers []string, source Source, log logrus.FieldLogger) *Broadcaster {
	return &Broadcaster{peers: peers, source: source, log: log, startedAt: time.Now(), table: NewTable()}
}

// Attach connects the Broadcaster to a transport that does not serve yet: it registers the handlers and starts the loops, which Detach
// ends.
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
	transport.Handle(snapshotPath, b.handleSnapshot)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops.Go(func() { b.watchLoop(ctx, transport) })
	b.loops.Go(func() { b.initialSync(ctx, transport) })
}

// Detach ends the loops.
func (b *Broadcaster) Detach() {
	b.cancel()
	b.loops.Wait()
}

// Fields returns the counters by the names that the log shows.
func (b *Broadcaster) Fields() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{
		"list_told":    b.Sent.Load(),
		"list_taken":   b.Accepted.Load(),
		"list_refused": b.Rejected.Load(),
		"list_held":    int64(b.excluded),
	}
}

// handleSnapshot answers a member that has just started with the local statuses.
func (b *Broadcaster) handleSnapshot(context.Context, peer.Sender, []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses, fresh := b.table.Local()
	if !fresh || failpoint.Enabled(failpoint.NoEndpointExchange) {
		return nil, &peer.RejectedError{Reason: "this member's own discovery has told nothing yet"}
	}
	return json.Marshal(statuses)
}

// decodeStatuses decodes a message. The error is a *peer.RejectedError.
func decodeStatuses(body []byte) (statuses []Status, err error) {
	if err := json.Unmarshal(body, &statuses); err != nil {
		return nil, &peer.RejectedError{Reason: "no facts of a list: " + err.Error()}
	}
	return statuses, nil
}

// merge merges another member's statuses into the table and returns those that were new.
func (b *Broadcaster) merge(statuses []Status) (updates []Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updates, rejected := b.table.Merge(time.Since(b.startedAt), statuses)
	b.Accepted.Add(int64(len(updates)))
	b.Rejected.Add(int64(rejected))
	if len(updates) > 0 {
		b.applyExclusionsLocked()
	}
	return updates
}

// applyExclusionsLocked excludes the workers for which other members have reported a later state.
func (b *Broadcaster) applyExclusionsLocked() {
	names := b.table.Excluded(time.Since(b.startedAt), b.source.WatchUptime())
	if len(names) != b.excluded {
		b.log.WithField("workers", len(names)).Info("workers excluded that other members know to have come further")
	}
	b.excluded = len(names)
	b.source.ExcludeOutdated(names)
}

// watchLoop polls this dispatcher's own list and broadcasts its changes.
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

// updateLocal updates the table from this dispatcher's own list if that has changed, and returns the updates for other members.
func (b *Broadcaster) updateLocal() (updates []Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The revision is read before the statuses, so that the next call picks up a change between the two.
	if revision := b.source.Revision(); revision != b.sourceRevision {
		b.sourceRevision = revision
		updates = b.table.UpdateLocal(b.source.Statuses())
	}
	if b.excluded > 0 || len(updates) > 0 {
		b.applyExclusionsLocked()
	}
	return updates
}

// broadcast queues updates to fanout random members, in messages of at most maxMessageStatuses. It does not wait.
func (b *Broadcaster) broadcast(transport *peer.Transport, updates []Status) {
	if failpoint.Enabled(failpoint.NoEndpointExchange) {
		return
	}
	for len(updates) > 0 {
		n := min(maxMessageStatuses, len(updates))
		body, err := json.Marshal(updates[:n])
		if err != nil {
			return
		}
		for _, name := range peer.Sample(b.peers, fanout) {
			transport.Send(name, updatesPath, body)
		}
		b.Sent.Add(1)
		updates = updates[n:]
	}
}

// initialSync fetches the snapshots of other members, until initialSyncPeers of them, or all if there are fewer, have answered.
func (b *Broadcaster) initialSync(ctx context.Context, transport *peer.Transport) {
	enough := min(initialSyncPeers, len(b.peers))
	synced := map[string]bool{}
	for ctx.Err() == nil && len(synced) < enough {
		for _, name := range peer.Sample(b.peers, len(b.peers)) {
			if len(synced) >= enough || ctx.Err() != nil {
				break
			}
			if !synced[name] && b.fetchSnapshot(ctx, transport, name) {
				synced[name] = true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(initialSyncInterval):
		}
	}
}

// fetchSnapshot fetches a member's statuses and merges them; false: the member did not answer with any. They are not forwarded, as that
// member has broadcast them itself.
func (b *Broadcaster) fetchSnapshot(ctx context.Context, transport *peer.Transport, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := transport.Request(ctx, name, snapshotPath, nil)
	if err != nil {
		return false
	}
	statuses, err := decodeStatuses(body)
	if err != nil {
		b.Rejected.Add(1)
		return false
	}
	b.merge(statuses)
	return true
}
