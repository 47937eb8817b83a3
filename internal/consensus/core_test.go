package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// hashChain is a state machine whose state depends on all entries and their order.
type hashChain struct {
	t         *testing.T
	lastIndex uint64
	sum       uint64
}

func (c *hashChain) Apply(index uint64, data []byte) {
	if index <= c.lastIndex {
		c.t.Errorf("entry %d applied after entry %d", index, c.lastIndex)
	}
	c.lastIndex = index
	c.sum = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, c.sum), data...))
}

func (c *hashChain) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.lastIndex), c.sum), nil
}

func (c *hashChain) Restore(data []byte) error {
	c.lastIndex = binary.BigEndian.Uint64(data)
	c.sum = binary.BigEndian.Uint64(data[8:])
	return nil
}

// testNetwork delivers messages between three cores without delay. Messages to and from partitioned cores are lost.
type testNetwork struct {
	t           *testing.T
	cores       map[uint64]*Core
	chains      map[uint64]*hashChain
	dirs        map[uint64]string
	partitioned map[uint64]bool
	queue       []*raftpb.Message
	snapshots   int
}

func (n *testNetwork) start(id uint64) {
	storage, err := OpenStorage(n.dirs[id], Identity{Group: "g", Name: fmt.Sprint(id), Incarnation: "l", RaftID: id})
	if err == nil && storage.IsEmpty() && id == 1 {
		err = Bootstrap(storage, "f", make([]byte, 16))
	}
	if err != nil {
		n.t.Fatal(err)
	}
	n.chains[id] = &hashChain{t: n.t}
	n.cores[id], err = NewCore(Options{Storage: storage, StateMachine: n.chains[id], Log: discardLogger(), Send: n.send}, id)
	if err != nil {
		n.t.Fatal(err)
	}
}

// send queues a message until run delivers it.
func (n *testNetwork) send(to uint64, raw []byte, snapshot bool) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(raw, message); err != nil {
		n.t.Fatal(err)
	}
	if snapshot && !n.partitioned[to] {
		n.snapshots++
	}
	n.queue = append(n.queue, message)
}

// run advances all cores by a number of ticks, and delivers the messages of each tick.
func (n *testNetwork) run(ticks int) {
	for range ticks {
		for id := uint64(1); id <= 3; id++ {
			n.cores[id].Tick(true)
		}
		for len(n.queue) > 0 {
			message := n.queue[0]
			n.queue = n.queue[1:]
			to := n.cores[message.GetTo()]
			isLost := n.partitioned[message.GetTo()] || n.partitioned[message.GetFrom()]
			if !isLost && to != nil {
				to.Step(message)
			}
		}
	}
}

// checkEqual checks that all state machines are in the same state.
func (n *testNetwork) checkEqual(when string) {
	n.t.Helper()
	for id := uint64(2); id <= 3; id++ {
		if *n.chains[id] != *n.chains[1] {
			n.t.Errorf("%s: member %d has state %+v, the leader %+v", when, id, *n.chains[id], *n.chains[1])
		}
	}
}

// TestCore_CompactsLogAndCatchesUp verifies that the log is compacted in memory and in the file, that a slightly lagging member catches up
// from the log and one that is far behind from a snapshot, and that members resume from the file after a restart.
func TestCore_CompactsLogAndCatchesUp(t *testing.T) {
	network := &testNetwork{
		t: t, cores: map[uint64]*Core{}, chains: map[uint64]*hashChain{}, dirs: map[uint64]string{}, partitioned: map[uint64]bool{},
	}
	for id := uint64(1); id <= 3; id++ {
		network.dirs[id] = t.TempDir()
		network.start(id)
	}
	network.cores[1].Campaign()
	network.addLearner(2)
	network.addLearner(3)
	network.propose(20)
	network.checkEqual("added")
	joinSnapshots := network.snapshots
	network.partitioned[3] = true
	network.propose(trailingEntries / 2)
	network.partitioned[3] = false
	network.run(20)
	network.checkEqual("a little behind")
	if network.snapshots != joinSnapshots {
		t.Errorf("%d snapshots sent to a member that could catch up from the log", network.snapshots-joinSnapshots)
	}
	network.partitioned[3] = true
	network.propose(snapshotThreshold + 2*trailingEntries)
	network.partitioned[3] = false
	network.run(40)
	network.checkEqual("far behind")
	if network.snapshots == joinSnapshots {
		t.Error("the member caught up without a snapshot")
	}
	first, err := network.cores[1].options.Storage.memory.FirstIndex()
	if err != nil || first < snapshotThreshold-trailingEntries {
		t.Errorf("log not compacted: first index %d, error %v, want at least %d", first, err, snapshotThreshold-trailingEntries)
	}
	for id := uint64(1); id <= 3; id++ {
		mustClose(t, network.cores[id].options.Storage)
		network.start(id)
		network.cores[id].process()
	}
	network.checkEqual("started again")
	if last, _ := network.cores[1].options.Storage.memory.LastIndex(); network.chains[1].lastIndex != last {
		t.Errorf("the leader has applied entries up to %d, want %d", network.chains[1].lastIndex, last)
	}
}

// addLearner adds a member at the first member, which is the leader. It checks that the new member counts as caught up only once it is
// reachable.
func (n *testNetwork) addLearner(id uint64) {
	n.t.Helper()
	leader := n.cores[1]
	n.partitioned[id] = true
	learner := raftpb.ConfChangeAddLearnerNode
	if err := leader.ProposeConfChange([]*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &id}}, []byte("in")); err != nil {
		n.t.Fatal(err)
	}
	n.run(2)
	if slices.Contains(leader.CaughtUp(), id) {
		n.t.Errorf("member %d counts as caught up before it has received entries", id)
	}
	n.partitioned[id] = false
	for range 3 * electionTicks { // raft counts a member as active from an answered heartbeat until the next activity check
		n.run(1)
		if slices.Contains(leader.CaughtUp(), id) {
			return
		}
	}
	n.t.Errorf("member %d does not count as caught up", id)
}

// propose proposes entries at the first member, and runs the network until they are committed.
func (n *testNetwork) propose(entries int) {
	n.t.Helper()
	for i := range entries {
		if err := n.cores[1].Propose(fmt.Appendf(nil, "entry %d", i)); err != nil {
			n.t.Fatal(err)
		}
		if i%50 == 0 {
			n.run(1)
		}
	}
	n.run(5)
}

// TestCore_BoundsVotesAfterStateLoss verifies that a member that may have lost state does not vote in a term in which it may have voted
// or for a log that may lack entries that it has acknowledged, and does not campaign while its own log may lack them.
func TestCore_BoundsVotesAfterStateLoss(t *testing.T) {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	promised := Position{Term: 5, LastIndex: 9, LastTerm: 4}
	storage, err := OpenStorage("", Identity{Name: "a", Incarnation: "l", RaftID: 1})
	if err == nil {
		err = Bootstrap(storage, "f", make([]byte, 16))
	}
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	core, err := NewCore(Options{
		Storage: storage, MaxPromised: &promised, StateMachine: &hashChain{}, Log: logger, Send: func(uint64, []byte, bool) { sent++ },
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if position := storage.Position(); position.Term != 5 {
		t.Errorf("storage is in term %d, want the promised term 5", position.Term)
	}
	for range 10 * electionTicks {
		core.Tick(false)
	}
	if core.Status().IsLeader {
		t.Error("the member leads with a log that lacks entries it may have acknowledged")
	}
	from, to := uint64(2), uint64(1)
	for _, request := range []struct {
		term, lastIndex, lastTerm uint64
		rejected                  bool
	}{{5, 9, 4, true}, {6, 9, 4, false}, {6, 8, 4, true}, {6, 20, 3, true}, {6, 1, 5, false}} {
		for _, kind := range []raftpb.MessageType{raftpb.MsgVote, raftpb.MsgPreVote} {
			message := &raftpb.Message{
				Type: &kind, From: &from, To: &to, Term: &request.term, Index: &request.lastIndex, LogTerm: &request.lastTerm,
			}
			if got := core.rejectsVoteRequest(message); got != request.rejected {
				t.Errorf("vote request %+v as %s: got rejected %t", request, kind, got)
			}
		}
	}
	kind := raftpb.MsgApp
	if core.rejectsVoteRequest(&raftpb.Message{Type: &kind, Term: &promised.Term}) {
		t.Error("a message with entries was rejected as a vote request")
	}
	core.options.MaxPromised = &Position{Term: 5, LastIndex: 1, LastTerm: 1} // the log has this entry
	for range 10 * electionTicks {
		core.Tick(false)
	}
	if !core.Status().IsLeader || core.Status().Term <= promised.Term {
		t.Errorf("%+v: the member does not lead although its log is complete", core.Status())
	}
}
