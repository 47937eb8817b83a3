package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchfork/internal/replication"
)

// ReplicationOptions determines a history of SimulateReplication.
type ReplicationOptions struct {
	Seed         uint64
	Members      int           // 2 or more
	Overrides    int           // that are written at random members over WriteFor
	Workers      int           // that they concern; 0: one for each override, and all disable theirs
	WriteFor     time.Duration // 0: all are at the first member at the beginning
	PartitionFor time.Duration // for which the first member is partitioned, from the beginning
	Faults       int           // partitions, lost and outdated disks, at random times over WriteFor; none where that is 0
	IdleFor      time.Duration // that is measured after convergence
}

// ReplicationResult is the outcome of a history of SimulateReplication.
type ReplicationResult struct {
	Violations     []string      // each with its time; a history ends at its first one
	ConvergedAfter time.Duration // from the last write and the end of the last fault until all replicas are equal
	Messages       int           // until then, requests and responses
	Bytes          int
	Idle           Cost   // of all members in an idle second
	Digest         uint64 // of the first member's replica
}

// Parameters of the protocol: those of internal/gossip, but for convergenceTimeout.
const (
	gossipInterval     = time.Second
	requestTimeout     = time.Second
	gossipFanout       = 3
	maxChunkEntries    = 200
	startDelay         = 2 * time.Second  // a member sends its entries once it has caught up, or so long after its first exchange
	convergenceTimeout = 60 * time.Second // after the last fault, in which all replicas have to become equal
)

// replicationWorld is the state of one history.
type replicationWorld struct {
	options     ReplicationOptions
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	eventCount  int // of all events so far
	members     []*replicaMember
	result      *ReplicationResult
	lastChange  time.Duration            // time of the last write, or the end of the last fault
	writtenAt   map[string]time.Duration // by worker: its last override
	forgottenAt map[string]time.Duration // by worker: when it was seen that no replica has an override of it any more
}

// replicaMember is one member. All but its index and partitions belong to its present process.
type replicaMember struct {
	index            int
	replica          *replication.Replica
	incarnations     int                               // of which the last one is the present
	syncing          map[int]bool                      // members with which a digest exchange or a pull is under way
	pulls            map[int]*replication.PullProgress // by sender
	receivedVersions map[int]replication.VersionVector // by member: a version that it had at least
	partitionedUntil time.Duration
	processStart     time.Duration
	firstContact     time.Duration // of the first exchange with another member; 0: none yet
	caughtUpWith     map[int]bool  // members from which it has all that they had
}

// SimulateReplication simulates the gossip of members about operator overrides, as internal/gossip does it, until all replicas are
// equal.
func SimulateReplication(options ReplicationOptions) *ReplicationResult {
	w := newReplicationWorld(options)
	w.runUntilConverged()
	w.result.ConvergedAfter = w.now - w.lastChange
	w.result.Digest = w.members[0].replica.Digest()
	if options.IdleFor > 0 {
		w.measureIdle()
	}
	return w.result
}

// newReplicationWorld returns a world before its first event. Its members have been running for longer than startDelay.
func newReplicationWorld(options ReplicationOptions) *replicationWorld {
	w := &replicationWorld{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, replicationStream)),
		result:      &ReplicationResult{},
		writtenAt:   map[string]time.Duration{},
		forgottenAt: map[string]time.Duration{},
	}
	for i := range options.Members {
		m := &replicaMember{index: i}
		w.startEmpty(m)
		m.firstContact = -startDelay
		w.members = append(w.members, m)
	}
	w.members[0].partitionedUntil = options.PartitionFor
	w.lastChange = options.PartitionFor
	w.scheduleHistory()
	return w
}

// scheduleHistory schedules gossip, writes and faults. Without a time for the writes the first member makes them at once.
func (w *replicationWorld) scheduleHistory() {
	if w.options.WriteFor == 0 {
		for i := range w.options.Overrides {
			w.writeOverride(w.members[0], i)
		}
	}
	for _, m := range w.members {
		w.after(w.randomDuration(gossipInterval), func() { w.gossipRound(m) })
	}
	if w.options.WriteFor == 0 {
		return
	}
	for i := range w.options.Overrides {
		w.after(w.randomDuration(w.options.WriteFor), func() { w.writeOverride(w.randomMember(), i) })
	}
	for range w.options.Faults {
		w.after(w.randomDuration(w.options.WriteFor), w.injectFault)
	}
}

// runUntilConverged simulates until all replicas are equal, or a rule is violated.
func (w *replicationWorld) runUntilConverged() {
	for len(w.queue) > 0 {
		w.runNextEvent()
		if len(w.result.Violations) > 0 {
			return
		}
		if w.now > w.lastChange && w.now > w.options.WriteFor && w.converged() {
			return
		}
		if w.now > max(w.lastChange, w.options.WriteFor)+convergenceTimeout {
			w.violation("not one %v after the last fault", convergenceTimeout)
			return
		}
	}
}

// measureIdle goes on for the idle time, and measures what a second of it costs.
func (w *replicationWorld) measureIdle() {
	messages, bytes := w.result.Messages, w.result.Bytes
	end := w.now + w.options.IdleFor
	for len(w.queue) > 0 && w.now < end {
		w.runNextEvent()
	}
	seconds := w.options.IdleFor.Seconds()
	w.result.Idle.Messages = int(float64(w.result.Messages-messages) / seconds)
	w.result.Idle.Bytes = int(float64(w.result.Bytes-bytes) / seconds)
	w.result.Messages, w.result.Bytes = messages, bytes
}

// startEmpty starts a member's process with an empty replica, as a new incarnation.
func (w *replicationWorld) startEmpty(m *replicaMember) {
	m.incarnations++
	m.replica = replication.New(fmt.Sprintf("m%d-%d", m.index, m.incarnations))
	m.processStart = w.now
	m.firstContact = 0
	m.caughtUpWith = map[int]bool{}
	m.syncing = map[int]bool{}
	m.pulls = map[int]*replication.PullProgress{}
	m.receivedVersions = map[int]replication.VersionVector{}
}

// converged reports whether all replicas are equal.
func (w *replicationWorld) converged() bool {
	digest := w.members[0].replica.Digest()
	return !slices.ContainsFunc(w.members, func(m *replicaMember) bool { return m.replica.Digest() != digest })
}

// violation records the violation of a rule.
func (w *replicationWorld) violation(format string, arguments ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("%.2fs ", w.now.Seconds())+fmt.Sprintf(format, arguments...))
}

// randomMember returns any member.
func (w *replicationWorld) randomMember() *replicaMember {
	return w.members[w.random.IntN(len(w.members))]
}

// randomPeer returns any other member.
func (w *replicationWorld) randomPeer(m *replicaMember) *replicaMember {
	i := w.random.IntN(len(w.members) - 1)
	if i >= m.index {
		i++
	}
	return w.members[i]
}

// randomDuration returns a duration below a limit.
func (w *replicationWorld) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// writeOverride has a member write the override of a number. Where several concern one worker, each disables or enables it at random.
func (w *replicationWorld) writeOverride(m *replicaMember, number int) {
	workers, disabled := w.options.Overrides, true
	if w.options.Workers > 0 {
		workers, disabled = w.options.Workers, w.random.IntN(2) == 0
	}
	name := fmt.Sprint("r", number%workers)
	entry := replication.Entry{Kind: replication.KindOverride, Name: name, Disabled: disabled, Member: fmt.Sprint(m.index)}
	if _, err := m.replica.Write(entry); err != nil {
		w.violation("a word was not taken: %v", err)
	}
	w.writtenAt[name] = w.now
	w.lastChange = max(w.lastChange, w.now)
	w.disseminate(m)
}

// recordForgotten notes the workers of which no replica has an override any more.
func (w *replicationWorld) recordForgotten() {
	for name := range w.writtenAt {
		exists := slices.ContainsFunc(w.members, func(m *replicaMember) bool { return m.hasOverride(name) })
		if !exists {
			w.forgottenAt[name] = w.now
		}
	}
}

// hasOverride reports whether the member's replica has an override of a worker.
func (m *replicaMember) hasOverride(worker string) bool {
	return len(m.replica.Get(replication.KindOverride, worker)) > 0
}
