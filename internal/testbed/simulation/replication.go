package simulation

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchfork/internal/replication"
)

// ReplicationOptions is what a history of copies is drawn by: words of staff that members tell each other, as internal/gossip does.
type ReplicationOptions struct {
	Seed         uint64
	Members      int
	Overrides    int           // that are said at random members over Say
	Workers      int           // that they are on; 0: as many as there are words
	WriteFor     time.Duration // 0: all are there at the beginning, at the first member
	PartitionFor time.Duration // for which the first member is cut off, from the beginning
	Faults       int           // further cuts, stops, lost and old disks, drawn from the seed over Say
	IdleFor      time.Duration // that is counted at the end, when all are one
}

// ReplicationResult is what it came to.
type ReplicationResult struct {
	Broken         []string
	ConvergedAfter time.Duration // from the last word and the last fault until all copies are the same
	Messages       int           // up to then, with their answers
	Bytes          int
	Idle           Cost // of all members in an idle second
	Digest         uint64
}

// Times of the protocol: internal/gossip's.
const (
	gossipInterval  = time.Second
	requestTimeout  = time.Second
	gossipFanout    = 3
	maxChunkEntries = 200
	startDelay      = 2 * time.Second  // a member tells what its disk has once it has heard of others, or after so long
	convergeWithin  = 60 * time.Second // after the last fault all have to be one
)

// replicationWorld is one history.
type replicationWorld struct {
	options ReplicationOptions
	random  *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	members []*replicaMember
	result  *ReplicationResult
	last    time.Duration // of a word or a fault
	written map[string]time.Duration
	gone    map[string]time.Duration // runners of which no copy had a word any more, since when
}

// replicaMember is one member.
type replicaMember struct {
	index            int
	replica          *replication.Replica
	incarnations     int
	asking           map[int]bool
	pulls            map[int]*replication.PullProgress
	receivedVersions map[int]replication.VersionVector
	partitioned      time.Duration // nothing passes until then
	since            time.Duration // of this process
	first            time.Duration // when another one was first heard of; 0: not yet
	caught           map[int]bool  // members that have told all they had
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), e[i].seq-e[j].seq) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

func (w *replicationWorld) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// SimulateReplication plays one history.
func SimulateReplication(o ReplicationOptions) *ReplicationResult {
	c := &replicationWorld{options: o, random: rand.New(rand.NewPCG(o.Seed, 4713)), result: &ReplicationResult{}, written: map[string]time.Duration{}, gone: map[string]time.Duration{}}
	for i := range o.Members {
		m := &replicaMember{index: i}
		c.begin(m)
		m.first = -startDelay // long ago
		c.members = append(c.members, m)
	}
	c.members[0].partitioned = o.PartitionFor
	if c.last = o.PartitionFor; o.WriteFor == 0 {
		for i := range o.Overrides {
			c.writeOverride(c.members[0], i)
		}
	}
	for i := range o.Members {
		c.after(time.Duration(c.random.Int64N(int64(gossipInterval))), func() { c.round(c.members[i]) })
	}
	if o.WriteFor > 0 {
		for i := range o.Overrides {
			c.after(time.Duration(c.random.Int64N(int64(o.WriteFor))), func() { c.writeOverride(c.members[c.random.IntN(o.Members)], i) })
		}
		for range o.Faults {
			c.after(time.Duration(c.random.Int64N(int64(o.WriteFor))), c.fault)
		}
	}
	for c.queue.Len() > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
		if len(c.result.Broken) > 0 || c.now > c.last && c.now > o.WriteFor && c.converged() {
			break
		}
		if c.now > max(c.last, o.WriteFor)+convergeWithin {
			c.broken("not one %v after the last fault", convergeWithin)
			break
		}
	}
	c.result.ConvergedAfter = c.now - c.last
	c.result.Digest = c.members[0].replica.Digest()
	if messages, bytes := c.result.Messages, c.result.Bytes; o.IdleFor > 0 {
		for end := c.now + o.IdleFor; c.queue.Len() > 0 && c.now < end; {
			e := heap.Pop(&c.queue).(event)
			c.now = e.at
			e.do()
		}
		c.result.Idle = Cost{Messages: int(float64(c.result.Messages-messages) / o.IdleFor.Seconds()), Bytes: int(float64(c.result.Bytes-bytes) / o.IdleFor.Seconds())}
		c.result.Messages, c.result.Bytes = messages, bytes
	}
	return c.result
}

func (w *replicationWorld) broken(format string, v ...any) {
	w.result.Broken = append(w.result.Broken, fmt.Sprintf("%.2fs ", w.now.Seconds())+fmt.Sprintf(format, v...))
}

// begin is a member's process with an empty copy: a life that nobody had before.
func (w *replicationWorld) begin(m *replicaMember) {
	m.incarnations++
	m.since, m.first, m.caught = w.now, 0, map[int]bool{}
	m.replica = replication.New(fmt.Sprintf("m%d-%d", m.index, m.incarnations))
	m.asking, m.pulls, m.receivedVersions = map[int]bool{}, map[int]*replication.PullProgress{}, map[int]replication.VersionVector{}
}

// converged tells whether all copies are the same.
func (w *replicationWorld) converged() bool {
	return !slices.ContainsFunc(w.members, func(m *replicaMember) bool { return m.replica.Digest() != w.members[0].replica.Digest() })
}

func (w *replicationWorld) writeOverride(m *replicaMember, i int) {
	name, out := fmt.Sprint("r", i%cmp.Or(w.options.Workers, w.options.Overrides)), true
	if w.options.Workers > 0 {
		out = w.random.IntN(2) == 0
	}
	if _, err := m.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: name, Disabled: out, Member: fmt.Sprint(m.index)}); err != nil {
		w.broken("a word was not taken: %v", err)
	}
	w.written[name], w.last = w.now, max(w.last, w.now)
	w.disseminate(m)
}

// disseminate goes to a few at once.
func (w *replicationWorld) disseminate(m *replicaMember) {
	for range gossipFanout {
		w.syncWith(m, w.other(m))
	}
}

func (w *replicationWorld) other(m *replicaMember) *replicaMember {
	i := w.random.IntN(len(w.members) - 1)
	if i >= m.index {
		i++
	}
	return w.members[i]
}

func (w *replicationWorld) round(m *replicaMember) {
	w.syncWith(m, w.other(m))
	w.collectGarbage(m)
	w.after(gossipInterval/2+time.Duration(w.random.Int64N(int64(gossipInterval))), func() { w.round(m) })
}

func (w *replicationWorld) collectGarbage(m *replicaMember) {
	if len(m.receivedVersions) < len(w.members)-1 {
		return
	}
	var all []replication.VersionVector
	for i := range w.members { // in one order, so that the history is one
		if i != m.index {
			all = append(all, m.receivedVersions[i])
		}
	}
	m.replica.CollectGarbage(all)
}

// request carries a message and its answer; either may be lost, and then the asker has waited.
func (w *replicationWorld) request(from, to *replicaMember, in any, do func() (out any), then func(out any), lost func()) {
	incarnation := from.incarnations
	size := func(v any) int {
		raw, err := json.Marshal(v)
		if err != nil {
			w.broken("a message: %v", err)
		}
		return len(raw)
	}
	way := func() time.Duration {
		return time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
	}
	passes := func() bool { return w.now >= from.partitioned && w.now >= to.partitioned }
	fails := func() { w.after(requestTimeout, func() { delete(from.asking, to.index); lost() }) }
	w.result.Messages++
	w.result.Bytes += size(in)
	if !passes() {
		fails()
		return
	}
	w.after(way(), func() {
		if !passes() {
			fails()
			return
		}
		out := do()
		w.result.Messages++
		w.result.Bytes += size(out)
		w.after(way(), func() {
			switch {
			case from.incarnations != incarnation: // another process has its place
			case !passes():
				fails()
			default:
				then(out)
			}
		})
	})
}

// hello, as internal/gossip has it.
type digestMessage struct {
	Version uint64   `json:"seen"`
	Sum     uint64   `json:"sum"`
	Sums    []uint64 `json:"sums,omitempty"`
}

func (m *replicaMember) hello() digestMessage {
	return digestMessage{Version: m.replica.Version().Digest(), Sum: m.replica.Digest()}
}

// syncWith takes all that a member has and we have not.
func (w *replicationWorld) syncWith(m, to *replicaMember) { w.syncStep(m, to, false) }

func (w *replicationWorld) syncStep(m, to *replicaMember, again bool) {
	if m.asking[to.index] {
		return
	}
	m.asking[to.index] = true
	is, seen := m.hello(), m.replica.Version()
	done := func() { delete(m.asking, to.index) }
	w.request(m, to, is, func() any {
		its := to.hello()
		to.first = cmp.Or(to.first, w.now)
		switch {
		case its.Version == is.Version && its.Sum == is.Sum:
			to.receivedVersions[m.index] = to.replica.Version()
			return its
		case its.Version == is.Version:
			its.Sums = to.replica.BucketDigests()
		}
		w.syncWith(to, m)
		return its
	}, func(out any) {
		its := out.(digestMessage)
		m.first = cmp.Or(m.first, w.now)
		switch {
		case its.Version == is.Version && its.Sum == is.Sum:
			m.receivedVersions[to.index], m.caught[to.index] = seen, true
			done()
		case its.Version == is.Version && len(its.Sums) > 0:
			dots, at := m.replica.DotsInBuckets(m.replica.DifferingBuckets(its.Sums)), m.replica.Version().Digest()
			w.request(m, to, dots, func() any {
				if to.replica.Version().Digest() != at {
					return []replication.Dot(nil)
				}
				return to.replica.Removed(dots)
			}, func(out any) { m.replica.Discard(out.([]replication.Dot)); m.caught[to.index] = true; done() }, func() {})
		default:
			w.pull(m, to, again)
		}
	}, func() {})
}

// pull takes pieces up to the last one.
func (w *replicationWorld) pull(m, to *replicaMember, again bool) {
	p := m.pulls[to.index]
	if p == nil {
		p = &replication.PullProgress{}
		m.pulls[to.index] = p
	}
	type ask struct {
		Seen replication.VersionVector
		From replication.Cursor
	}
	in := ask{m.replica.Version(), p.Cursor}
	w.request(m, to, in, func() any {
		if len(to.caught) < min(2, len(w.members)-1) && (to.first == 0 || w.now < to.first+startDelay) {
			return nil // it has just started
		}
		return to.replica.NextChunk(in.Seen, in.From, maxChunkEntries)
	}, func(out any) {
		piece, ok := out.(replication.Chunk)
		if !ok {
			delete(m.asking, to.index)
			return
		}
		changed, err := m.replica.Merge(p, piece)
		if err != nil {
			delete(m.pulls, to.index)
			delete(m.asking, to.index)
			return
		}
		for _, what := range changed {
			name := what.Name
			if at, ok := w.gone[name]; ok && at > w.written[name] && w.remembered(m, to, name) {
				w.broken("member %d has a word on %s that all had forgotten at %.2fs", m.index, name, at.Seconds())
			}
		}
		if !piece.Done {
			w.pull(m, to, again)
			return
		}
		delete(m.asking, to.index)
		if again {
			m.caught[to.index] = true
		} else {
			w.syncStep(m, to, true)
		}
		if len(changed) > 0 {
			w.disseminate(m)
		}
	}, func() {})
}

// remembered tells whether a member took a word "out" that one who has seen it go could have told it of, all the time since the
// process began that told it: while all those are out of reach, an old disk's words count.
func (w *replicationWorld) remembered(m, from *replicaMember, name string) bool {
	all := m.replica.Get(replication.KindOverride, name)
	return replication.IsDisabled(all) && slices.ContainsFunc(w.members, func(o *replicaMember) bool {
		return o != from && max(o.since, o.partitioned) < from.since && o.replica.Version().Contains(all[0].Dot) && len(o.replica.Get(replication.KindOverride, name)) == 0
	})
}

// fault is a cut, a lost disk, or one of a while ago.
func (w *replicationWorld) fault() {
	m := w.members[w.random.IntN(len(w.members))]
	length := time.Duration(w.random.Int64N(int64(5 * time.Second)))
	switch kind := w.random.IntN(4); {
	case kind == 3 && !slices.ContainsFunc(w.members, func(o *replicaMember) bool { return o != m && o.replica.Version().Covers(m.replica.Version()) }):
		// What it alone has would be lost with its disk.
	case kind == 3:
		w.begin(m)
	case kind == 2:
		old := m.replica.NextChunk(replication.VersionVector{}, replication.Cursor{}, replication.MaxOverrides)
		w.last = max(w.last, w.now+length)
		w.after(length, func() {
			if slices.ContainsFunc(w.members, func(o *replicaMember) bool { return o != m && o.replica.Version().Covers(m.replica.Version()) }) {
				w.begin(m)
				if err := m.replica.Restore(old.Version, old.Entries); err != nil {
					w.broken("a disk: %v", err)
				}
			}
		})
	default:
		m.partitioned = max(m.partitioned, w.now+length)
	}
	w.last = max(w.last, m.partitioned, w.now)
	for name := range w.written {
		if !slices.ContainsFunc(w.members, func(m *replicaMember) bool { return len(m.replica.Get(replication.KindOverride, name)) > 0 }) {
			w.gone[name] = w.now
		}
	}
}
