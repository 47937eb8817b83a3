package simulation

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// member is a member of the group and the consensus.StateMachine of its core.
type member struct {
	world       *world
	index       int
	raftID      uint64
	incarnation string
	disk        *consensus.Storage
	core        *consensus.Core // nil if it has failed
	clockSpeed  float64         // speed of its clock relative to the world's clock
	joined      bool            // it has bootstrapped the group, or a leader has proposed to add it

	state        *maintenance.State
	stateSince   time.Duration // when the state got its current Seq, on the member's clock
	processStart time.Duration
	pausedUntil  int // tick until which the process is paused

	lastLeaderContact int // tick of the last message from a leader, or of the last campaign
	electionTimeout   int // ticks without a leader before it campaigns

	reports        map[string]maintenance.MemberReport // by member: the last report that it received as leader
	lastReportTick int
	confirmed      bool          // the group has confirmed its incarnation
	leaseEnd       time.Duration // on the member's clock
}

// startEmpty starts a new incarnation with an empty disk. If bootstrap is set, it creates the group.
func (m *member) startEmpty(bootstrap bool) error {
	w := m.world
	w.lastRaftID++
	m.raftID = w.lastRaftID
	m.incarnation = fmt.Sprintf("life%d", m.raftID)
	w.indexesByRaftID[m.raftID] = m.index
	identity := consensus.Identity{Name: m.name(), Incarnation: m.incarnation, RaftID: m.raftID}
	var err error
	if m.disk, err = consensus.OpenStorage("", identity); err != nil {
		return err
	}
	if bootstrap {
		if err := m.bootstrap(); err != nil {
			return err
		}
	}
	m.joined = bootstrap
	return m.startProcess()
}

// bootstrap writes the state of a group with this member alone to the disk.
func (m *member) bootstrap() error {
	state := maintenance.New()
	state.AppliedIndex = 1
	state.Members[m.name()] = &maintenance.Member{Name: m.name(), Incarnation: m.incarnation, RaftID: m.raftID, Voter: true}
	snapshot, err := state.Encode()
	if err != nil {
		return err
	}
	return consensus.Bootstrap(m.disk, "f", snapshot)
}

// startProcess starts the member's process with its disk. Attempts of a previous process run to their end.
func (m *member) startProcess() error {
	w := m.world
	m.state = maintenance.New()
	m.stateSince = m.clock()
	m.processStart = w.now
	m.leaseEnd = 0
	m.reports = map[string]maintenance.MemberReport{}
	m.confirmed = m.disk.Identity().Confirmed
	m.resetElectionTimeout()
	options := consensus.Options{Storage: m.disk, StateMachine: m, Log: discardLogger, Send: m.sendRaft}
	var err error
	m.core, err = consensus.NewCore(options, w.options.Seed+w.lastRaftID)
	return err
}

// resetElectionTimeout restarts the wait for a leader with a new random timeout.
func (m *member) resetElectionTimeout() {
	m.lastLeaderContact = m.world.tick
	m.electionTimeout = electionTicks + m.world.random.IntN(electionTicks)
}

// sendRaft sends a message of the core to a raft ID. Messages to past incarnations are dropped.
func (m *member) sendRaft(to uint64, raw []byte, _ bool) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(raw, message); err != nil {
		panic(err)
	}
	index, known := m.world.indexesByRaftID[to]
	if known && m.world.members[index].raftID == to {
		m.world.send(envelope{from: m.index, to: index, raft: message})
	}
}

// Apply implements consensus.StateMachine. It also checks that all members apply the same entry at each index.
func (m *member) Apply(index uint64, data []byte) {
	seq := m.state.Seq
	m.state.Apply(index, data)
	if m.state.Seq != seq {
		m.stateSince = m.clock()
	}
	m.world.recordApplied(m, index, string(data))
}

// Snapshot implements consensus.StateMachine.
func (m *member) Snapshot() ([]byte, error) { return m.state.Encode() }

// Restore implements consensus.StateMachine.
func (m *member) Restore(data []byte) error {
	state, err := maintenance.Decode(data)
	if err != nil {
		return err
	}
	m.state = state
	m.stateSince = m.clock()
	return nil
}

// name returns the member's name in the group.
func (m *member) name() string { return fmt.Sprint(m.index) }

// clock returns the time on the member's monotonic clock.
func (m *member) clock() time.Duration { return time.Duration(float64(m.world.now) * m.clockSpeed) }

// isRunning reports whether the member has not failed and its process is not paused.
func (m *member) isRunning() bool { return m.core != nil && m.world.tick >= m.pausedUntil }

// advance simulates one tick of a member that is running.
func (m *member) advance() {
	w := m.world
	m.withCore(func(core *consensus.Core) { core.Tick(true) })
	if m.core == nil {
		return
	}
	status := m.core.Status()
	if status.IsLeader {
		w.recordLeader(m, status.Term)
		m.lastLeaderContact = w.tick
		m.lead()
	} else if w.tick-m.lastLeaderContact > m.electionTimeout && m.joined && slices.Contains(status.Voters, m.raftID) {
		m.resetElectionTimeout()
		m.withCore((*consensus.Core).Campaign)
	}
	if w.tick-m.lastReportTick >= int(reportInterval/tickInterval) {
		m.lastReportTick = w.tick
		m.sendReport()
	}
	m.startAttempts()
}

// withCore calls f with the core unless the member has failed. If f panics, as a core does in an impossible state, the member fails.
func (m *member) withCore(f func(*consensus.Core)) {
	if m.core == nil {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			m.world.trace("member %d has failed: %v", m.index, reason)
			m.core = nil
		}
	}()
	f(m.core)
}

var discardLogger = func() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logger
}()
