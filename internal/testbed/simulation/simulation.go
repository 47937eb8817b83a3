// Package simulation plays a group's cores in virtual time: raft with its disk, the settled plans and the lease, with links that
// lose and hold messages, members that stop, die, forget and come back, and clocks that drift. One seed gives one history, to
// the byte, on any machine. It is simulated: real processes are played by internal/testbed/cluster.
package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// Times of a history, on the world's clock.
const (
	tick    = 50 * time.Millisecond
	lease   = 1 * time.Second
	attempt = 600 * time.Millisecond // the longest that one may run
	renew   = 200 * time.Millisecond
	drift   = 100 // clocks differ by one part in so many at the most
	warm    = 400 * time.Millisecond
	silence = 20                     // ticks: a member campaigns once to twice as long after the last word of a leader
	listLag = 20                     // ticks that news of runners takes to a member at the most
	work    = 500 * time.Millisecond // that staff have a machine
)

// Sizes of a history that says nothing of them.
const (
	defaultMachines       = 6
	defaultZones          = 2
	defaultMaxUnavailable = 2
	defaultFaultInterval  = 48
)

// Options is what a history is drawn by.
type Options struct {
	Seed          uint64
	Members       int
	Voters        int
	Ticks         int
	Machines      int       // of the plan, one runner each, every second one named by its host; 0: 6
	Zones         int       // of the runners, and one machine of each may be away; 0: 2
	Fault         string    // planted; empty: none
	FaultInterval int       // ticks from one trouble to the next, on the average; 0: 48
	Faults        []Fault   // in place of those drawn by the seed; nil: those
	Idle          bool      // staff hand nothing in
	StopWithPlan  bool      // no further than the plan's end
	Trace         io.Writer // what happens; may be nil
}

// The faults that can be planted.
const (
	NoLease            = "no lease at the send"
	LongLease          = "a lease that is longer than what is waited for"
	LeaseFromReply     = "a lease that counts from its answer"
	LeaseWithoutQuorum = "a lease without a quorum's word"
	LosesState         = "a voter that forgets under its old id"
	FewReports         = "clear without a follower's word"
	NoBudget           = "a budget that is not counted"
	CountsTimeTwice    = "time that counts twice"
	IgnoresUnavailable = "machines away by themselves that nobody counts"
	IgnoresHosts       = "hosts that nobody keeps away from"
)

// Mutants are their names.
var Mutants = []string{NoLease, LongLease, LeaseFromReply, LeaseWithoutQuorum, LosesState, FewReports, NoBudget, CountsTimeTwice, IgnoresUnavailable, IgnoresHosts}

// Result is what a history came to.
type Result struct {
	Broken  []string // rules, with what proves them
	Done    int      // machines that the plan was through with
	Leaders int      // changes of the lead
	Digest  uint64   // of all that happened
	Ticks   int      // that it took
	Times
	Cost []Cost // by member, since the group was founded or, with a plan, that was started
}

// Times are when things were first so, on the world's clock; 0: never.
type Times struct {
	Bootstrapped, Started, Drained, Ended time.Duration
	Committed, Applied                    []time.Duration // from each proposal until it was settled, and until all members had it in force
	Elected                               []time.Duration // from each loss of the leader by a trouble until another one led
}

// Cost is what one member sent of raft's, and how much it proposed.
type Cost struct{ Messages, Bytes, Proposed int }

// world is one history.
type world struct {
	options    Options
	random     *rand.Rand
	now        time.Duration
	members    []*member
	wire       []parcel
	partitions map[[2]int]int // links that lose all, until this tick
	ticks      int
	result     *Result
	hash       hash.Hash64
	settled    map[uint64]string        // what each entry was, as the first member applied it
	out        map[string]time.Duration // machines that staff were told to be clear, since when
	given      map[string]bool          // those that they gave back
	runs       []attemptAt
	ids        map[uint64]int
	next       uint64
	leader     int
	due        []Fault    // not yet
	names      [][]called // of each machine's runner, the newest last
	downs      []down
	began      map[string]bool          // machines that were seen to be taken
	offered    map[string]time.Duration // proposals, by their text
	forces     map[uint64]int           // members that have an entry in force
	lost       time.Duration            // since when a leader is lost by a trouble; 0: none is
}

// called is a runner's name since a tick.
type called struct {
	since int
	name  string
}

// down is a machine that is away by itself.
type down struct{ machine, from, until int }

// parcel is a message on its way.
type parcel struct {
	at       int // the tick that it comes at
	from, to int
	raft     *raftpb.Message
	do       func() // a report or its answer, in place of raft's message
}

// attemptAt is an attempt at a machine.
type attemptAt struct {
	machine int
	name    string // of its runner, as the member had it
	member  int
	ends    time.Duration
}

// member is one member of the world.
type member struct {
	w           *world
	index       int
	id          uint64
	incarnation string
	disk        *consensus.Storage
	core        *consensus.Core // nil: it is down
	state       *maintenance.State
	had         time.Duration // since when the state has its Seq, on its own clock
	since       time.Duration // of this process
	until       time.Duration // of the lease, on its own clock
	speed       float64       // of its clock
	stopped     int           // stands still until this tick
	lastReports int           // the tick of a leader's last word
	wait        int           // ticks of silence until it campaigns
	reports     map[string]maintenance.MemberReport
	requestedAt int // the tick of its last report
	knows       bool
	joined      bool
}

// Apply, Snapshot and Restore make a member the state machine of its core.
func (m *member) Apply(index uint64, data []byte) {
	was := m.state.Seq
	m.state.Apply(index, data)
	if m.state.Seq != was {
		m.had = m.clock()
	}
	at, offered := m.w.offered[string(data)]
	if m.w.forces[index]++; m.w.forces[index] == len(m.w.members) && offered {
		m.w.result.Applied = append(m.w.result.Applied, m.w.now-at)
	}
	if first, ok := m.w.settled[index]; !ok {
		m.w.settled[index] = string(data)
		if offered {
			m.w.result.Committed = append(m.w.result.Committed, m.w.now-at)
		}
		fmt.Fprintf(m.w.hash, "%d %s\n", index, data)
		m.w.inMaintenance(m.state, int(at/tick))
	} else if first != string(data) {
		m.w.broken("one order: entry %d is %s at member %d and was %s", index, data, m.index, first)
	}
}

func (m *member) Snapshot() ([]byte, error) { return m.state.Encode() }

func (m *member) Restore(data []byte) error {
	s, err := maintenance.Decode(data)
	if err == nil {
		m.state, m.had = s, m.clock()
	}
	return err
}

func (w *world) broken(format string, v ...any) {
	w.result.Broken = append(w.result.Broken, fmt.Sprintf("%.2fs ", w.now.Seconds())+fmt.Sprintf(format, v...))
	w.trace("BROKEN "+format, v...)
}

func (w *world) trace(format string, v ...any) {
	if w.options.Trace != nil {
		fmt.Fprintf(w.options.Trace, "%7.2fs "+format+"\n", append([]any{w.now.Seconds()}, v...)...)
	}
}

var nobody = func() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}()

// begin is a world before its first tick.
func begin(o Options) (*world, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 4711)), partitions: map[[2]int]int{}, result: &Result{}, hash: xxhash.New(),
		settled: map[uint64]string{}, out: map[string]time.Duration{}, given: map[string]bool{}, ids: map[uint64]int{}, leader: -1,
		began: map[string]bool{}, offered: map[string]time.Duration{}, forces: map[uint64]int{},
	}
	w.options.Machines, w.options.Zones = cmp.Or(o.Machines, defaultMachines), cmp.Or(o.Zones, defaultZones)
	if w.due = o.Faults; w.due == nil {
		w.due = DrawFaults(o)
	}
	w.result.Cost = make([]Cost, o.Members)
	for i := range w.options.Machines {
		w.names = append(w.names, []called{{0, workerName(i)}})
	}
	for i := range o.Members {
		w.members = append(w.members, &member{w: w, index: i, speed: 1 + (w.random.Float64()*2-1)/(2*drift+2)})
		if err := w.begin(w.members[i], i == 0); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Simulate plays one history.
func Simulate(o Options) (*Result, error) {
	w, err := begin(o)
	if err != nil {
		return nil, err
	}
	for w.ticks = 0; w.ticks < o.Ticks && len(w.result.Broken) == 0; w.ticks++ {
		if o.StopWithPlan && w.result.Ended > 0 {
			break
		}
		w.now = time.Duration(w.ticks) * tick
		w.step()
	}
	w.result.Ticks = w.ticks
	for i := range w.options.Machines {
		through := false
		for _, m := range w.members {
			if _, p := m.state.FindMachine("", machine(i)); p != nil && p.Phase == maintenance.MachineDone {
				through = true
			}
		}
		if through {
			w.result.Done++
		}
	}
	w.result.Digest = w.hash.Sum64()
	return w.result, nil
}

// begin starts a member on an empty disk, as another life.
func (w *world) begin(m *member, found bool) error {
	w.next++
	m.id, m.incarnation = w.next, fmt.Sprintf("life%d", w.next)
	w.ids[m.id] = m.index
	var err error
	if m.disk, err = consensus.OpenStorage("", consensus.Identity{Name: fmt.Sprint(m.index), Incarnation: m.incarnation, RaftID: m.id}); err != nil {
		return err
	}
	if found {
		s := maintenance.New()
		s.AppliedIndex = 1
		s.Members["0"] = &maintenance.Member{Name: "0", Incarnation: m.incarnation, RaftID: m.id, Voter: true}
		raw, err := s.Encode()
		if err != nil {
			return err
		}
		if err := consensus.Bootstrap(m.disk, "f", raw); err != nil {
			return err
		}
	}
	m.joined = found
	return w.start(m)
}

// start starts a member's process on its disk.
func (w *world) start(m *member) (err error) {
	m.state, m.had, m.since, m.until, m.reports, m.lastReports = maintenance.New(), m.clock(), w.now, 0, map[string]maintenance.MemberReport{}, w.ticks
	m.knows = m.disk.Identity().Confirmed
	m.wait = silence + w.random.IntN(silence)
	m.core, err = consensus.NewCore(consensus.Options{Storage: m.disk, StateMachine: m, Log: nobody, Send: func(to uint64, raw []byte, _ bool) {
		msg := &raftpb.Message{}
		if err := proto.Unmarshal(raw, msg); err != nil {
			panic(err)
		}
		if i, ok := w.ids[to]; ok && w.members[i].id == to {
			w.send(parcel{from: m.index, to: i, raft: msg})
		}
	}}, w.options.Seed+w.next)
	return err
}

// send puts a message on its way, or loses it.
func (w *world) send(p parcel) {
	if p.raft != nil {
		c := &w.result.Cost[p.from]
		c.Messages++
		c.Bytes += proto.Size(p.raft)
	}
	if w.partitions[[2]int{p.from, p.to}] > w.ticks || w.random.IntN(50) == 0 {
		return
	}
	p.at = w.ticks + 1 + w.random.IntN(2)
	if w.random.IntN(40) == 0 {
		p.at += w.random.IntN(40) // held on the way
	}
	w.wire = append(w.wire, p)
}

// clock is a member's monotonic clock.
func (m *member) clock() time.Duration { return time.Duration(float64(m.w.now) * m.speed) }

func (m *member) up() bool { return m.core != nil && m.w.ticks >= m.stopped }

// step is one tick of the world.
func (w *world) step() {
	w.injectFault()
	due := w.wire[:0:0]
	left := w.wire[:0:0]
	for _, p := range w.wire {
		if p.at <= w.ticks && w.ticks >= w.members[p.to].stopped {
			due = append(due, p)
		} else {
			left = append(left, p)
		}
	}
	w.wire = left
	for _, p := range due {
		w.arrive(p)
	}
	for _, m := range w.members {
		if m.up() {
			w.member(m)
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(a attemptAt) bool { return a.ends <= w.now })
	w.operate()
}

// safely carries out what may panic: a core that finds what cannot be takes part no more.
func (m *member) safely(f func(*consensus.Core)) {
	if m.core == nil {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			m.w.trace("member %d takes part no more: %v", m.index, v)
			m.core = nil
		}
	}()
	f(m.core)
}

func (w *world) arrive(p parcel) {
	m := w.members[p.to]
	if m.core == nil {
		return
	}
	if p.do != nil {
		p.do()
		return
	}
	if p.raft.GetTo() != m.id {
		return
	}
	switch p.raft.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		m.lastReports = w.ticks
	}
	m.safely(func(c *consensus.Core) { c.Step(p.raft) })
}

// member lets a member do what is due.
func (w *world) member(m *member) {
	m.safely(func(c *consensus.Core) { c.Tick(true) })
	if m.core == nil {
		return
	}
	s := m.core.Status()
	if s.IsLeader {
		if w.leader != m.index {
			w.leader = m.index
			w.result.Leaders++
			if w.lost > 0 {
				w.result.Elected = append(w.result.Elected, w.now-w.lost)
				w.lost = 0
			}
			w.trace("member %d leads, term %d", m.index, s.Term)
		}
		m.lastReports = w.ticks
		w.lead(m)
	} else if w.ticks-m.lastReports > m.wait && m.joined && slices.Contains(s.Voters, m.id) {
		m.lastReports, m.wait = w.ticks, silence+w.random.IntN(silence)
		m.safely((*consensus.Core).Campaign)
	}
	if w.ticks-m.requestedAt >= int(renew/tick) {
		m.requestedAt = w.ticks
		w.report(m)
	}
	w.sends(m)
}

// statusReport is what a member tells of itself.
func (m *member) statusReport() maintenance.MemberReport {
	word := maintenance.MemberReport{Incarnation: m.incarnation, Applied: m.state.AppliedIndex, SoleProcess: m.w.now-m.since > attempt}
	for _, a := range m.w.runs {
		if a.member == m.index && !slices.Contains(word.BusyWorkers, a.name) {
			word.BusyWorkers, word.BusyHosts = append(word.BusyWorkers, a.name), append(word.BusyHosts, host(a.machine))
		}
	}
	return word
}

// report has a member ask whoever leads, as far as it knows, for its lease, or to be taken in.
func (w *world) report(m *member) {
	began := m.clock()
	word, life, index := m.statusReport(), m.incarnation, m.index
	for _, l := range w.members { // it asks the leader; of several that take themselves for one, any
		if l.core == nil || !l.core.Status().IsLeader || w.random.IntN(4) == 0 && l.index != m.index {
			continue
		}
		answer := func(c uint64) {
			do := func() {
				if m.incarnation != life || m.core == nil || m.state.AppliedIndex < c {
					return
				}
				if w.options.Fault == LeaseFromReply {
					began = m.clock() + lease
				}
				m.knows = m.disk.MarkConfirmed() == nil
				m.until = began + lease
				if w.options.Fault == LongLease {
					m.until += 20 * lease
				}
			}
			if l.index == m.index {
				do()
			} else {
				w.send(parcel{from: l.index, to: index, do: do})
			}
		}
		ask := func() { w.reported(l, m, life, word, answer) }
		if l.index == m.index {
			ask()
		} else {
			w.send(parcel{from: m.index, to: l.index, do: ask})
		}
		return
	}
}

// reported is a member's report at one that takes itself for the leader.
func (w *world) reported(l, m *member, life string, word maintenance.MemberReport, answer func(uint64)) {
	name := fmt.Sprint(m.index)
	grant := func(index uint64, err error) {
		if err != nil || l.core == nil || l.core.Status().Applied < index {
			return
		}
		if is := l.state.Members[name]; is == nil || is.Incarnation != life {
			if m.incarnation == life {
				w.take(l, m)
			}
			return
		}
		l.reports[name] = word
		answer(l.state.AppliedIndex)
	}
	if w.options.Fault == LeaseWithoutQuorum {
		grant(0, nil)
		return
	}
	l.safely(func(c *consensus.Core) { c.ReadIndex(grant) })
}

// take takes a member in as a follower.
func (w *world) take(l, m *member) {
	raw, err := json.Marshal(maintenance.Command{Kind: maintenance.CommandJoinMember, Member: &maintenance.Member{
		Name: fmt.Sprint(m.index), Incarnation: m.incarnation, RaftID: m.id, Voter: m.index < w.options.Voters,
	}})
	if err != nil {
		panic(err)
	}
	m.joined = true
	learner := raftpb.ConfChangeAddLearnerNode
	l.safely(func(c *consensus.Core) {
		// A proposal that is dropped is made again at a later tick.
		_ = c.ProposeConfChange([]*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &m.id}}, raw)
	})
}

// lead proposes what has been heard, and who votes.
func (w *world) lead(m *member) {
	s := m.core.Status()
	m.reports[fmt.Sprint(m.index)] = m.statusReport()
	adv := &maintenance.Advance{
		StateSeq: m.state.Seq, Elapsed: m.clock() - m.had, FenceTimeout: (lease + attempt) * (drift + 1) / drift, WarmUp: warm,
		Reports: m.reports, Fleet: map[string]maintenance.Worker{},
	}
	switch w.options.Fault {
	case FewReports:
		adv.FenceTimeout = 1
	case CountsTimeTwice:
		adv.Elapsed *= 4
	}
	w.fleet(m, adv.Fleet)
	adv = m.state.Compact(adv)
	if m.state.WouldChange(adv) {
		w.propose(m, maintenance.Command{Kind: maintenance.CommandAdvance, Advance: adv})
	}
	caught := m.core.CaughtUp()
	for _, name := range m.state.MemberNames() {
		is := m.state.Members[name]
		if !is.Voter || !slices.Contains(s.Learners, is.RaftID) || !slices.Contains(caught, is.RaftID) {
			continue
		}
		add, remove := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode
		changes := []*raftpb.ConfChangeSingle{{Type: &add, NodeId: &is.RaftID}}
		for _, o := range is.PastIncarnations {
			if slices.Contains(s.Voters, o.RaftID) {
				changes = append(changes, &raftpb.ConfChangeSingle{Type: &remove, NodeId: &o.RaftID})
			}
		}
		m.safely(func(c *consensus.Core) {
			_ = c.ProposeConfChange(changes, nil) // made again at a later tick if it is dropped
		})
		return
	}
}

func machine(i int) string    { return fmt.Sprint("m", i) }
func workerName(i int) string { return fmt.Sprint("r", i) }
func host(i int) string       { return fmt.Sprint("h", i) }

// lag is how late a member hears of a runner, in ticks.
func (m *member) lag(machine int) int { return (7*m.index + 3*machine) % listLag }

// name is what a member takes a machine's runner to be called.
func (m *member) name(machine int) string {
	all := m.w.names[machine]
	for i := len(all) - 1; i > 0; i-- {
		if all[i].since+m.lag(machine) <= m.w.ticks {
			return all[i].name
		}
	}
	return all[0].name
}

// fleet is the list as a member has it.
func (w *world) fleet(m *member, all map[string]maintenance.Worker) {
	for i := range w.options.Machines {
		r := maintenance.Worker{Zone: fmt.Sprint(i % w.options.Zones), Kind: "k", Host: host(i), Weight: float64(1 + i%5)}
		now := m.name(i)
		for _, c := range w.names[i] {
			if c.name == now {
				break
			}
			old := r
			old.Unavailable, old.Gone = true, true
			all[c.name] = old
		}
		for _, d := range w.downs {
			if w.options.Fault != IgnoresUnavailable && d.machine == i && d.from+m.lag(i) <= w.ticks && w.ticks < d.until+m.lag(i) {
				r.Unavailable = true
			}
		}
		all[now] = r
	}
}

// inMaintenance judges each choice of a machine when it is first seen to be settled: with those that plans have, and those that had been
// away by themselves for so long that all had heard of it when it was proposed, no more than the plan allows. A choice that one
// leader proposed may be settled by the next one, seconds later.
func (w *world) inMaintenance(s *maintenance.State, proposed int) {
	for _, u := range s.Plans {
		for at, p := range u.MachineStates {
			if p.Phase != maintenance.MachineDraining || w.began[p.Name] {
				continue
			}
			w.began[p.Name] = true
			away, broken := 0, false
			for i, o := range u.MachineStates {
				by := slices.ContainsFunc(w.downs, func(d down) bool {
					return d.machine == i && d.from+listLag+known < proposed && w.ticks < d.until
				})
				switch {
				case o.Phase != maintenance.MachineWaiting && o.Phase != maintenance.MachineWarm && o.Phase != maintenance.MachineDone && o.Phase != maintenance.MachineSkipped:
					away++
				case by && i != at:
					away++
				}
				broken = broken || i == at && slices.ContainsFunc(w.downs, func(d down) bool { return d.machine == i && d.from < w.ticks })
			}
			if away > defaultMaxUnavailable && !broken && w.options.Fault != NoBudget {
				w.broken("budget: %d machines are away when %s is taken, %d may be", away, p.Name, defaultMaxUnavailable)
			}
		}
	}
}

// known is how many ticks a report may be on its way to the leader, and be counted, after the list has told its sender.
const known = 60

func (w *world) propose(m *member, c maintenance.Command) {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	w.result.Cost[m.index].Proposed += len(raw)
	w.offered[string(raw)] = w.now
	m.safely(func(k *consensus.Core) {
		_ = k.Propose(raw) // a proposal may be dropped, as in a real group
	})
}

// sends has a member send to machines, as its lease lets it, and judges each send.
func (w *world) sends(m *member) {
	if m.core == nil {
		return
	}
	leased, away := m.state.Leased(), m.state.InMaintenance()
	in := func(b maintenance.WorkerSet, name string, i int) bool {
		return b.Workers[name] || b.Hosts[host(i)] && w.options.Fault != IgnoresHosts
	}
	for range 2 {
		i := w.random.IntN(w.options.Machines)
		name := m.name(i)
		free := m.knows && !in(leased, name, i) || m.clock() < m.until
		if in(away, name, i) || !free && w.options.Fault != NoLease {
			continue
		}
		if since, ok := w.out[machine(i)]; ok {
			w.broken("clear: member %d sends to %s, which staff have since %.2fs", m.index, machine(i), since.Seconds())
		}
		w.runs = append(w.runs, attemptAt{i, name, m.index, w.now + time.Duration(w.random.Int64N(int64(attempt)))})
	}
}

// operate hand the plan in, work on what is clear and say done, at whoever leads by its own lights.
func (w *world) operate() {
	var l *member
	for _, m := range w.members {
		if m.up() && m.core.Status().IsLeader {
			l = m
		}
	}
	if l == nil || w.ticks < 60 || len(l.state.Members) < w.options.Members {
		return
	}
	if w.result.Bootstrapped == 0 {
		w.result.Bootstrapped = w.now
		clear(w.result.Cost)
	}
	if w.options.Idle {
		return
	}
	if len(l.state.Plans) == 0 {
		p := &maintenance.Plan{Name: "p", MaxUnavailable: defaultMaxUnavailable, MaxUnavailablePerZone: 1, OnOverdue: maintenance.OverdueWait}
		for i := range w.options.Machines {
			m := maintenance.Machine{Name: machine(i)}
			if i%2 == 0 {
				m.Workers = []string{workerName(i)}
			} else {
				m.Host = host(i)
			}
			p.Machines = append(p.Machines, m)
		}
		if w.options.Fault == NoBudget {
			p.MaxUnavailable, p.MaxUnavailablePerZone = w.options.Machines, 0
		}
		w.propose(l, maintenance.Command{ID: "hand", Kind: maintenance.CommandSubmitPlan, Plan: p})
		w.propose(l, maintenance.Command{ID: "start", Kind: maintenance.CommandStartPlan, Name: "p"})
		return
	}
	u := l.state.Plans[0]
	if w.result.Started == 0 && u.Phase != maintenance.PlanSubmitted {
		w.result.Started = w.now
		clear(w.result.Cost)
	}
	if w.result.Ended == 0 && u.Phase == maintenance.PlanEnded {
		w.result.Ended = w.now
	}
	for i, p := range u.MachineStates {
		since, out := w.out[p.Name]
		switch {
		case p.Phase == maintenance.MachineDrained && w.random.IntN(4) == 0:
			if w.result.Drained == 0 {
				w.result.Drained = w.now
			}
			w.propose(l, maintenance.Command{ID: fmt.Sprint("take", p.Name), Kind: maintenance.CommandClaimMachine, Machine: p.Name})
		case p.Phase == maintenance.MachineInMaintenance && w.given[p.Name]: // the answer may have been lost
			w.propose(l, maintenance.Command{ID: fmt.Sprint("done", p.Name), Kind: maintenance.CommandReturnMachine, Machine: p.Name})
		case p.Phase == maintenance.MachineInMaintenance && !out:
			w.trace("%s is clear, says member %d", p.Name, l.index)
			w.out[p.Name] = w.now
			if len(w.out) > defaultMaxUnavailable {
				w.broken("budget: %d machines are with staff, %d may be", len(w.out), defaultMaxUnavailable)
			}
			for _, a := range w.runs {
				if a.machine == i {
					w.broken("clear: an attempt of member %d runs at %s", a.member, p.Name)
				}
			}
			if i%2 == 1 { // its runner comes up under another name
				w.names[i] = append(w.names[i], called{w.ticks + int(work/tick)/2, fmt.Sprintf("%s-%d", workerName(i), w.ticks)})
			}
		case out && w.now-since > work:
			delete(w.out, p.Name) // from here it may be sent to
			w.given[p.Name] = true
		}
	}
}

// injectFault carries out what goes wrong in this tick.
func (w *world) injectFault() {
	for len(w.due) > 0 && w.due[0].Tick <= w.ticks {
		t := w.due[0]
		w.due = w.due[1:]
		w.trace("%s", t)
		w.one(t)
	}
}

func (w *world) one(t Fault) {
	if t.Member < 0 {
		if t.Member = w.leader; t.Member < 0 {
			return
		}
		w.lost = w.now
	}
	m, until := w.members[t.Member], w.ticks+t.For
	switch t.Kind {
	case Partition:
		for i := range w.members {
			if t.Way != 1 {
				w.partitions[[2]int{m.index, i}] = until
			}
			if t.Way != 2 {
				w.partitions[[2]int{i, m.index}] = until
			}
		}
	case Link:
		w.partitions[[2]int{m.index, t.Other}] = until
	case Stop:
		m.stopped = until
	case Asleep:
		m.stopped = until
		for i := range w.members {
			w.partitions[[2]int{m.index, i}], w.partitions[[2]int{i, m.index}] = until+30, until+30
		}
	case Down:
		w.downs = append(w.downs, down{t.Other, w.ticks, until})
	case Kill, Wipe:
		lost := t.Kind == Wipe && w.whole()
		m.stopped = 0
		// What it left behind runs to its end.
		var err error
		switch {
		case lost && w.options.Fault == LosesState:
			if m.disk, err = consensus.OpenStorage("", m.disk.Identity()); err == nil {
				err = w.start(m)
			}
		case lost:
			m.joined = false
			err = w.begin(m, false)
		default:
			err = w.start(m)
		}
		if err != nil {
			panic(err)
		}
	}
}

// whole tells whether all voters have their place: one more disk may be lost.
func (w *world) whole() bool {
	for _, m := range w.members[:w.options.Voters] {
		if m.core == nil || !m.joined || !slices.Contains(m.core.Status().Voters, m.id) {
			return false
		}
	}
	return true
}

// Line says in one line what a history came to.
func (r *Result) Line(seed uint64) string {
	verdict := "kept"
	if len(r.Broken) > 0 {
		verdict = "BROKEN " + strings.Join(r.Broken, "; ")
	}
	return fmt.Sprintf("seed %d: %s; %d machines done, %d leaders, digest %016x", seed, verdict, r.Done, r.Leaders, r.Digest)
}
