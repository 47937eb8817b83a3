package consensus

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// chain is a state machine that tells every order of entries from every other.
type chain struct {
	t    *testing.T
	last uint64
	sum  uint64
}

func (c *chain) Apply(index uint64, data []byte) {
	if index <= c.last {
		c.t.Errorf("entry %d comes after %d", index, c.last)
	}
	c.last, c.sum = index, xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, c.sum), data...))
}

func (c *chain) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.last), c.sum), nil
}

func (c *chain) Restore(data []byte) error {
	c.last, c.sum = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	return nil
}

// wires carry messages between cores at once; those to a core that is cut off are lost.
type wires struct {
	t         *testing.T
	cores     map[uint64]*Core
	chains    map[uint64]*chain
	folders   map[uint64]string
	cut       map[uint64]bool
	queue     []*raftpb.Message
	snapshots int
}

func (w *wires) start(id uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := OpenDisk(w.folders[id], Identity{Group: "g", Name: fmt.Sprint(id), Life: "l", ID: id})
	if err == nil && d.Empty() && id == 1 {
		err = Found(d, "f", make([]byte, 16))
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.chains[id] = &chain{t: w.t}
	w.cores[id], err = NewCore(Options{Disk: d, Machine: w.chains[id], Log: log, Send: func(to uint64, raw []byte, snap bool) {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(raw, m); err != nil {
			w.t.Fatal(err)
		}
		if snap && !w.cut[to] {
			w.snapshots++
		}
		w.queue = append(w.queue, m)
	}}, id)
	if err != nil {
		w.t.Fatal(err)
	}
}

// pump lets ticks go by, and delivers all that is said in each.
func (w *wires) pump(ticks int) {
	for range ticks {
		for id := uint64(1); id <= 3; id++ {
			w.cores[id].Tick(true)
		}
		for len(w.queue) > 0 {
			m := w.queue[0]
			w.queue = w.queue[1:]
			if !w.cut[m.GetTo()] && !w.cut[m.GetFrom()] && w.cores[m.GetTo()] != nil {
				w.cores[m.GetTo()].Step(m)
			}
		}
	}
}

func (w *wires) same(what string) {
	w.t.Helper()
	for id := uint64(2); id <= 3; id++ {
		if *w.chains[id] != *w.chains[1] {
			w.t.Errorf("%s: member %d has %+v, the leader %+v", what, id, *w.chains[id], *w.chains[1])
		}
	}
}

// The log is cut, on the disk and in memory; who is a little behind catches up by it, who is far behind by a snapshot, and a
// restart goes on from what the disk has.
func TestTheLogIsCutAndCaughtUp(t *testing.T) {
	w := &wires{t: t, cores: map[uint64]*Core{}, chains: map[uint64]*chain{}, folders: map[uint64]string{}, cut: map[uint64]bool{}}
	for id := uint64(1); id <= 3; id++ {
		w.folders[id] = t.TempDir()
		w.start(id)
	}
	w.cores[1].Campaign()
	for id := uint64(2); id <= 3; id++ {
		learner := raftpb.ConfChangeAddLearnerNode
		w.cut[id] = true
		if err := w.cores[1].Change([]*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &id}}, []byte("in")); err != nil {
			t.Fatal(err)
		}
		w.pump(2)
		if slices.Contains(w.cores[1].Caught(), id) {
			t.Errorf("member %d counts as caught up before it has anything", id)
		}
		w.cut[id] = false
		for range 3 * election { // it counts as heard of from a heartbeat that it answers until raft looks anew
			if w.pump(1); slices.Contains(w.cores[1].Caught(), id) {
				break
			}
		}
		if !slices.Contains(w.cores[1].Caught(), id) {
			t.Errorf("member %d does not count as caught up", id)
		}
	}
	propose := func(n int) {
		t.Helper()
		for i := range n {
			if err := w.cores[1].Propose(fmt.Appendf(nil, "entry %d", i)); err != nil {
				t.Fatal(err)
			}
			if i%50 == 0 {
				w.pump(1)
			}
		}
		w.pump(5)
	}
	propose(20)
	w.same("in")
	joins := w.snapshots
	w.cut[3] = true
	propose(kept / 2)
	w.cut[3] = false
	w.pump(20)
	w.same("a little behind")
	if w.snapshots != joins {
		t.Errorf("%d snapshots for one that the log had all for", w.snapshots-joins)
	}
	w.cut[3] = true
	propose(snapshotAfter + 2*kept)
	w.cut[3] = false
	w.pump(40)
	w.same("far behind")
	if w.snapshots == joins {
		t.Error("it came without a snapshot")
	}
	first, err := w.cores[1].o.Disk.cache.FirstIndex()
	if err != nil || first < snapshotAfter-kept {
		t.Errorf("the log begins at %d still: %v", first, err)
	}
	for id := uint64(1); id <= 3; id++ {
		if err := w.cores[id].o.Disk.Close(); err != nil {
			t.Fatal(err)
		}
		w.start(id)
		w.cores[id].settle()
	}
	w.same("started again")
	if last, _ := w.cores[1].o.Disk.cache.LastIndex(); w.chains[1].last != last {
		t.Errorf("the leader has %d of %d entries in force", w.chains[1].last, last)
	}
}
