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

// Intervals and limits of a Broadcaster.
const (
	pollInterval        = 250 * time.Millisecond // between checks of this dispatcher's list
	fanout              = 4                      // members that receive an update; each forwards it to the same number
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
	// Statuses returns the statuses of the listed workers. fresh reports whether discovery has reported the list since the start.
	Statuses() (statuses []Status, fresh bool)
	// Revision changes with each change of the list.
	Revision() uint64
	// WatchUptime returns how long the watch has reported without interruption. It is negative if the watch does not report.
	WatchUptime() time.Duration
	// ExcludeOutdated excludes the named workers, which replace those of the previous call.
	ExcludeOutdated(names []string)
}

// Broadcaster exchanges statuses with the other members. It is safe for concurrent use, except for Attach and Detach, which only its
// owner calls.
type Broadcaster struct {
	Sent     atomic.Int64 // messages, each sent to several members
	Accepted atomic.Int64 // statuses that were new
	Rejected atomic.Int64 // invalid or excess statuses, and malformed messages

	peers     []string
	source    Source
	log       logrus.FieldLogger
	startedAt time.Time

	mu             sync.Mutex
	table          *Table
	sourceRevision uint64 // revision of the list that the table was last updated from
	excludedCount  int    // number of excluded workers

	cancel context.CancelFunc // stops the loops
	loops  sync.WaitGroup
}

// NewBroadcaster returns a Broadcaster that exchanges statuses with peers, the other members. It exchanges nothing before Attach.
func NewBroadcaster(peers []string, source Source, log logrus.FieldLogger) *Broadcaster {
	return &Broadcaster{peers: peers, source: source, log: log, startedAt: time.Now(), table: NewTable()}
}

// Attach connects the Broadcaster to a transport that does not serve yet: it registers the handlers and starts the loops, which Detach
// stops.
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

// Detach stops the loops and waits for them.
func (b *Broadcaster) Detach() {
	b.cancel()
	b.loops.Wait()
}

// Fields returns the counters by their names in the log.
func (b *Broadcaster) Fields() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{
		"list_told":    b.Sent.Load(),
		"list_taken":   b.Accepted.Load(),
		"list_refused": b.Rejected.Load(),
		"list_held":    int64(b.excludedCount),
	}
}

// handleSnapshot returns the local statuses to a member that has just started.
func (b *Broadcaster) handleSnapshot(context.Context, peer.Sender, []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses, fresh := b.table.Local()
	if !fresh || failpoint.Enabled(failpoint.NoEndpointExchange) {
		return nil, &peer.RejectedError{Reason: "this member has not received an endpoint list from its discovery yet"}
	}
	return json.Marshal(statuses)
}

// decodeStatuses decodes a message. The error is a *peer.RejectedError.
func decodeStatuses(body []byte) (statuses []Status, err error) {
	if err := json.Unmarshal(body, &statuses); err != nil {
		return nil, &peer.RejectedError{Reason: "malformed endpoint statuses: " + err.Error()}
	}
	return statuses, nil
}

// merge merges another member's statuses into the table and returns the new ones.
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
	if len(names) != b.excludedCount {
		b.log.WithField("workers", len(names)).Info("excluded workers for which other members have reported a later state")
	}
	b.excludedCount = len(names)
	b.source.ExcludeOutdated(names)
}

// watchLoop polls this dispatcher's list and broadcasts its changes.
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

// updateLocal updates the table from this dispatcher's list if the list has changed, and returns the updates for other members.
func (b *Broadcaster) updateLocal() (updates []Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The revision is read before the statuses, so that a change between the two is detected by the next call.
	if revision := b.source.Revision(); revision != b.sourceRevision {
		b.sourceRevision = revision
		updates = b.table.UpdateLocal(b.source.Statuses())
	}
	if b.excludedCount > 0 || len(updates) > 0 {
		b.applyExclusionsLocked()
	}
	return updates
}

// broadcast queues updates to fanout random members, in messages of up to maxMessageStatuses statuses. It does not wait.
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

// initialSync fetches snapshots of other members until initialSyncPeers of them have answered, or all if there are fewer.
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

// fetchSnapshot fetches a member's statuses and merges them. It returns false if the request failed or the answer was malformed. The
// statuses are not forwarded, because that member has broadcast them itself.
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
