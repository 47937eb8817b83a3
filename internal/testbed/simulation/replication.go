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
	Overrides    int           // overrides that random members write during WriteFor
	Workers      int           // workers of the overrides; 0: each override disables a worker of its own
	WriteFor     time.Duration // 0: the first member writes all overrides at the start
	PartitionFor time.Duration // how long the first member is partitioned from the start on
	Faults       int           // partitions, lost and outdated disks at random times during WriteFor; none if WriteFor is 0
	IdleFor      time.Duration // how long idle costs are measured after convergence
}

// ReplicationResult is the outcome of a history of SimulateReplication.
type ReplicationResult struct {
	Violations     []string      // with their times; a history ends at the first violation
	ConvergedAfter time.Duration // from the last write or the end of the last fault, whichever is later, until all replicas are equal
	Messages       int           // requests and responses until convergence
	Bytes          int
	Idle           Cost   // cost of all members per idle second
	Digest         uint64 // digest of the first member's replica
}

// Parameters of the protocol. All except convergenceTimeout have the values of internal/gossip.
const (
	gossipInterval     = time.Second
	requestTimeout     = time.Second
	gossipFanout       = 3
	maxChunkEntries    = 200
	startDelay         = 2 * time.Second  // a member serves its entries once it has caught up, or this long after its first exchange
	convergenceTimeout = 60 * time.Second // all replicas have to be equal this long after the last fault
)

// replicationWorld is the state of one history.
type replicationWorld struct {
	options     ReplicationOptions
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	eventCount  int // number of scheduled events
	members     []*replicaMember
	result      *ReplicationResult
	lastChange  time.Duration            // time of the last write or end of the last fault, whichever is later
	writtenAt   map[string]time.Duration // by worker: time of the last override
	forgottenAt map[string]time.Duration // by worker: when no replica was found to have an override of it any more
}

// replicaMember is a member. Except for the index, the number of incarnations and the partition, its fields belong to the current process.
type replicaMember struct {
	index            int
	replica          *replication.Replica
	incarnations     int                               // number of incarnations so far
	syncing          map[int]bool                      // members with which a digest exchange or a pull is under way
	pulls            map[int]*replication.PullProgress // by sender
	receivedVersions map[int]replication.VersionVector // by member: a version that its replica is known to have
	partitionedUntil time.Duration
	processStart     time.Duration
	firstContact     time.Duration // time of the first exchange with another member; 0: none yet
	caughtUpWith     map[int]bool  // members whose entries it has received completely
}

// SimulateReplication simulates the replication of operator overrides by the protocol of internal/gossip until all replicas are equal.
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

// newReplicationWorld returns a world before its first event, in which all members have been running for longer than startDelay.
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

// scheduleHistory schedules gossip, writes and faults. If WriteFor is 0, the first member writes all overrides at once.
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

// runUntilConverged simulates until all replicas are equal or a rule is violated.
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

// measureIdle continues the simulation for IdleFor and measures the cost per second.
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

// startEmpty starts a new incarnation of a member with an empty replica.
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

func (w *replicationWorld) randomMember() *replicaMember {
	return w.members[w.random.IntN(len(w.members))]
}

// randomPeer returns a random other member.
func (w *replicationWorld) randomPeer(m *replicaMember) *replicaMember {
	i := w.random.IntN(len(w.members) - 1)
	if i >= m.index {
		i++
	}
	return w.members[i]
}

// randomDuration returns a random duration below a limit.
func (w *replicationWorld) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// writeOverride makes a member write the override with the given number. If the options set Workers, the override disables or enables
// its worker at random.
func (w *replicationWorld) writeOverride(m *replicaMember, number int) {
	workers, disabled := w.options.Overrides, true
	if w.options.Workers > 0 {
		workers, disabled = w.options.Workers, w.random.IntN(2) == 0
	}
	name := fmt.Sprint("r", number%workers)
	entry := replication.Entry{Kind: replication.KindOverride, Name: name, Disabled: disabled, Member: fmt.Sprint(m.index)}
	if _, err := m.replica.Write(entry); err != nil {
		w.violation("writing an override: %v", err)
	}
	w.writtenAt[name] = w.now
	w.lastChange = max(w.lastChange, w.now)
	w.disseminate(m)
}

// recordForgotten records the workers for which no replica has an override any more.
func (w *replicationWorld) recordForgotten() {
	for name := range w.writtenAt {
		exists := slices.ContainsFunc(w.members, func(m *replicaMember) bool { return m.hasOverride(name) })
		if !exists {
			w.forgottenAt[name] = w.now
		}
	}
}

// hasOverride reports whether the member's replica has an override for a worker.
func (m *replicaMember) hasOverride(worker string) bool {
	return len(m.replica.Get(replication.KindOverride, worker)) > 0
}
