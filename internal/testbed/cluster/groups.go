package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/failpoint"
	"birchfork/internal/gossip"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// Options is what a run is made of.
type Options struct {
	Scenario
	Seed   uint64
	Logs   string                                         // a folder for all that members log; empty: none
	Launch func(plant, config, operator string) *exec.Cmd // starts a member with a fault; empty: with none
}

// The kinds of faults.
const (
	Cut    = "cut"    // nothing passes between the member and the others
	Deaf   = "deaf"   // nothing reaches the member; what it sends arrives
	Mute   = "mute"   // nothing that the member sends arrives
	Apart  = "apart"  // nothing passes between the member and the one that leads then; all else does
	Flap   = "flap"   // as cut, for 300 ms out of 600
	Reset  = "reset"  // its links are reset
	Slow   = "slow"   // its links have 300 ms more, one way
	Narrow = "narrow" // its links pass 2 kB a second
	Torn   = "torn"   // its links break after 700 bytes
	Stop   = "stop"   // its process stands still
	Kill   = "kill"   // its process is killed, and started again with its disk
	Crash  = "crash"  // ... as when its machine goes down: temporary files are lost
	Wipe   = "wipe"   // ... and with an empty disk
	Old    = "old"    // it works on, is killed, and started again with the disk that it had at the fault's beginning
	Put    = "put"    // as old, on another machine: temporary files are lost too
	Alien  = "alien"  // killed, and started again with the words that the next member's disk has
	Term   = "term"   // its process ends in order and is started again
	Renew  = "renew"  // a process starts beside it, and takes its place
	Halves = "halves" // the group is in two: members of even numbers, and of odd ones
	Thirds = "thirds" // ... in three, by their numbers modulo three
	Ring   = "ring"   // each member reaches the one before it and the one after it alone
	Far    = "far"    // nothing passes between the member and the workers
	Unlist = "unlist" // nothing passes between the member and discovery
	Spoilt = "spoilt" // all jobs of the member fail at the first worker, those of others do not
	Errs   = "errs"   // all jobs of all members fail at the first worker
	Down   = "down"   // the worker of that number, no member, is killed and starts again cold
	Leaves = "leaves" // ... is listed as draining and goes on all the while, then starts anew
	Hang   = "hang"   // jobs at the worker of that number do not end by themselves
)

// ofWorkers are the kinds whose number is a worker's.
var ofWorkers = map[string]bool{Down: true, Leaves: true, Hang: true}

// Kinds are all kinds of faults that a storm draws.
var Kinds = []string{Cut, Deaf, Mute, Apart, Flap, Reset, Slow, Narrow, Torn, Stop, Kill, Crash, Wipe, Old, Put, Alien, Term, Renew, Halves, Thirds, Ring, Far, Unlist, Spoilt, Errs, Down, Leaves, Hang}

// Fault is one fault of the timetable.
type Fault struct {
	Kind   string        `toml:"kind"`
	Member int           `toml:"member"` // -1: the one that leads then
	At     time.Duration `toml:"at"`     // since the group was founded and its plan ran
	For    time.Duration `toml:"for"`

	other int           // whom it is apart from
	lost  time.Duration // when a disk was lost or replaced, on the ledger's clock; 0: not yet, or none
}

func (f Fault) String() string {
	return fmt.Sprintf("%s of member %d at %v for %v", f.Kind, f.Member, f.At, f.For)
}

// Work is one machine that staff had, as they saw it.
type Work struct {
	Machine string
	Runners []int         // workers of the fleet
	Told    time.Duration // when the answer came that it is clear
	Back    time.Duration // right before they said done; 0: they never did
}

// Result is what a run came to.
type Result struct {
	Report  *report.Report
	Works   []Work
	Origin  time.Duration // when all were in and the plan ran: faults count from here
	Ended   time.Duration // when the plan was seen to have ended; 0: it was not
	Last    string        // what was last seen of the plan
	Calls   int           // of staff
	Unclear int           // ... that had no settled answer in time
	Bytes   int64         // over all links, with their headers
	First   time.Duration // from the plan's running until staff had a machine
	Silence time.Duration // the longest time without a settled answer
	Faults  []Fault
	Reached []time.Duration // from the yes to a word "out" until the last member told of it
	CPU     time.Duration   // of all members from the origin to the end, where none was restarted
	Passed  int64           // messages between members over the same time
	Carried int64           // ... and their bytes, without headers
}

// rig is one run.
type rig struct {
	o     Options
	day   *scenario.Scenario
	dir   string
	real  []string // where each member listens for the others
	links map[[2]int]*link
	stage *testbed.Stage

	mu     sync.Mutex
	outer  []outer // to workers and discovery, in runs with faults there
	works  []Work
	seen   []seen
	result *Result
	starts map[string]int // processes of each member
	tuned  bool           // members are told the whole deadlines
	had    []Fault        // as they came: At on the ledger's clock
	spoken []spoken
	told   map[int]told
	on     []Fault // of the links
	downs  []down
	busy   map[int]bool  // members whose process a fault has
	wiped  time.Duration // when the last disk was lost
}

// outer is a link from a member to a worker or to discovery.
type outer struct {
	kind    string // of the fault that it may have
	member  int
	address string
	link    *link
}

// down is a worker that was away by itself.
type down struct{ from, until time.Duration }

// seen is an answer on how things stand.
type seen struct {
	asked, came time.Duration
	status      coordinator.Status
}

// Run plays a day with a group.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	g := &rig{o: o, links: map[[2]int]*link{}, result: &Result{}, busy: map[int]bool{}, told: map[int]told{}, starts: map[string]int{}}
	var err error
	if g.day, err = day(o.Members, o.For); err != nil {
		return nil, err
	}
	if g.dir, err = os.MkdirTemp("", "birchfork-group-"); err != nil {
		return nil, fmt.Errorf("a folder for the members: %w", err)
	}
	defer func() { _ = os.RemoveAll(g.dir) }() // what is left lies in the temporary directory
	defer func() {
		for _, k := range g.links {
			k.close()
		}
		for _, o := range g.outer {
			o.link.close()
		}
	}()
	if err := g.lay(); err != nil {
		return nil, err
	}
	g.result.Faults = append(slices.Clone(o.Faults), g.draw()...)
	g.o.Words = append(slices.Clone(g.o.Words), g.drawWords()...)
	rep, err := testbed.Run(ctx, testbed.Options{
		Scenario: g.day, Seed: o.Seed, Policy: testbed.PolicyRules, Beside: g.play, Judge: g.judge, WorkerAt: g.by(Far), ListAt: g.by(Unlist),
		UpWithin: o.For, // without a majority a member without its disk sends nothing, and so does not serve
		Told:     g.terms,
		OldLists: o.OldLists, Logs: o.Logs,
		Launch: func(config string) *exec.Cmd {
			name := strings.TrimSuffix(filepath.Base(config), ".json")
			fault := o.Plant
			for its, member := range map[string]int{failpoint.DiskFull: o.Failing, failpoint.DiskStall: o.Stalling, failpoint.NewerEntries: o.Newer} {
				if member > 0 && name == fmt.Sprintf("d%d", member) {
					fault = its
				}
			}
			g.mu.Lock()
			if g.starts[name]++; o.Older > 0 && name == fmt.Sprintf("d%d", o.Older) && g.starts[name] == 1 {
				fault = failpoint.OlderBuild
			}
			g.mu.Unlock()
			cmd := o.Launch(fault, config, g.operator(name))
			if cmd.Env == nil {
				cmd.Env = os.Environ()
			}
			cmd.Env = append(cmd.Env, "TMPDIR="+g.dir, "EDGE_OPERATOR=127.0.0.1:0")
			return cmd
		},
	})
	if err != nil {
		return nil, err
	}
	for _, k := range g.links {
		k.mu.Lock()
		g.result.Bytes += k.bytes
		k.mu.Unlock()
	}
	g.result.Report, g.result.Works = rep, g.works
	g.mark(rep)
	if len(g.works) > 0 {
		g.result.First = g.works[0].Told - g.result.Origin
	}
	var last time.Duration
	slices.SortFunc(g.seen, func(a, b seen) int { return int(a.came - b.came) })
	for _, s := range g.seen {
		if !s.status.Confirmed {
			continue
		}
		if last > 0 {
			g.result.Silence = max(g.result.Silence, s.came-last)
		}
		last = s.came
	}
	return g.result, nil
}

func (g *rig) operator(name string) string { return filepath.Join(g.dir, name+".toml") }
func (g *rig) temporary(i int) string      { return filepath.Join(g.dir, fmt.Sprintf("birchfork-d%d", i)) }
func (g *rig) folder(i int) string         { return filepath.Join(g.dir, fmt.Sprintf("disk-d%d", i)) }

// lay lays the links and writes the members' files.
func (g *rig) lay() error {
	n := g.o.Members
	var err error
	if g.real, err = testbed.FreeAddresses(n); err != nil {
		return err
	}
	for from := range n {
		for to := range n {
			if to == from {
				continue
			}
			if g.links[[2]int{from, to}], err = newLink(fakes.Loopback(), g.real[to]); err != nil {
				return err
			}
		}
	}
	return g.files(g.o.Joins)
}

// files writes the members' files, without one that is in none yet; 0: all are in.
func (g *rig) files(without int) error {
	n := g.o.Members
	for from := range n {
		var b strings.Builder
		if from != without || without == 0 {
			fmt.Fprintf(&b, "[group]\nname = \"lab\"\nplans = true\nlease = %q\n", g.o.Lease)
			if !g.o.Diskless {
				fmt.Fprintf(&b, "folder = %q\n", g.folder(from))
			}
			for to := range n {
				if to == without && without > 0 {
					continue
				}
				at := g.real[to]
				if to != from {
					at = g.links[[2]int{from, to}].address()
				}
				fmt.Fprintf(&b, "[[group.member]]\nname = \"d%d\"\nlink = %q\nvoter = %t\n", to, at, to < voters(n))
			}
		}
		if err := os.WriteFile(g.operator(fmt.Sprintf("d%d", from)), []byte(b.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// join has a member that is down get its place in all files while the plan runs: the others are restarted one after the other, and
// then it starts.
func (g *rig) join(ctx context.Context) {
	g.stage.Kill(ctx, g.o.Joins, joinsAfter, func() {
		if err := g.files(0); err != nil {
			g.note(err.Error())
		}
		for i := range g.real {
			if i != g.o.Joins && ctx.Err() == nil {
				g.stage.Terminate(ctx, i)
			}
		}
	})
}

// by lays links to addresses outside of the group as they are met, for one kind of fault; nil where no such fault is played.
func (g *rig) by(kind string) func(member int, address string) string {
	if !slices.ContainsFunc(g.result.Faults, func(f Fault) bool { return f.Kind == kind }) {
		return nil
	}
	return func(member int, address string) string {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, o := range g.outer {
			if o.kind == kind && o.member == member && o.address == address {
				return o.link.address()
			}
		}
		host, _, err := net.SplitHostPort(address) // what it leads to is known by its host
		k, fails := newLink(host, address)
		if err := errors.Join(err, fails); err != nil {
			g.result.Last = err.Error()
			return address
		}
		g.outer = append(g.outer, outer{kind, member, address, k})
		k.set(g.wrong(-1, -1, kind, member))
		return k.address()
	}
}

// voters is how many of so many members vote.
func voters(n int) int {
	if n >= 5 {
		return 5
	}
	return 3
}

// draw draws further faults from the seed, over the middle of the day.
func (g *rig) draw() (out []Fault) {
	r := rand.New(rand.NewPCG(g.o.Seed, 77))
	length := g.o.For
	for range g.o.Storm {
		f := Fault{Kind: Kinds[r.IntN(len(Kinds))], Member: r.IntN(g.o.Members+1) - 1}
		if ofWorkers[f.Kind] { // one that is in no plan
			f.Member = r.IntN(workers - machinesMost)
		}
		f.At = time.Duration(r.Int64N(int64(length / 2)))
		f.For = 50*time.Millisecond + time.Duration(r.Int64N(int64(length/5)))
		out = append(out, f)
	}
	return out
}

// drawWords draws further words of staff on runners that are in no plan; at two fifths of the day all of these are put back at each
// member, so that whatever it knows of ends, and the plan may go on.
func (g *rig) drawWords() (out []Word) {
	r := rand.New(rand.NewPCG(g.o.Seed, 78))
	for range g.o.Say {
		out = append(out, Word{Member: r.IntN(g.o.Members), Worker: r.IntN(workers - machinesMost), Out: r.IntN(5) < 3,
			At: time.Duration(r.Int64N(int64(g.o.For * 2 / 5)))})
	}
	for i := range g.o.Members * min(g.o.Say, 1) {
		for w := range workers - machinesMost {
			out = append(out, Word{Member: i, Worker: w, At: g.o.For * 2 / 5, last: true})
		}
	}
	return out
}

// terms are what a member is told of the day.
func (g *rig) terms(_ int, s *scenario.Scenario) *scenario.Scenario {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.o.Retuned || g.tuned {
		return s
	}
	short := *s
	short.Classes = slices.Clone(s.Classes)
	for i := range short.Classes {
		short.Classes[i].Patience /= tunedPart
	}
	return &short
}

// tune has members told the whole deadlines.
func (g *rig) tune() {
	g.mu.Lock()
	g.tuned = true
	g.mu.Unlock()
	for i := range g.real {
		g.stage.Reload(i)
	}
}

// mark puts what happened into the report's timetable.
func (g *rig) mark(rep *report.Report) {
	at := func(d time.Duration) float64 { return (d - g.stage.Origin()).Seconds() }
	for _, f := range g.had {
		whom := fmt.Sprintf("dispatcher %d", f.Member)
		if ofWorkers[f.Kind] {
			whom = fmt.Sprintf("worker %d", f.Member)
		}
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: f.Kind, At: at(f.At), Until: at(f.At + f.For), Whom: whom})
	}
	for _, w := range g.works {
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: "with staff", At: at(w.Told), Until: at(max(w.Back, w.Told)), Whom: w.Machine})
	}
	for _, w := range g.spoken {
		kind := "word back"
		if w.Out {
			kind = "word out"
		}
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: kind, At: at(w.asked), Until: at(w.came), Whom: fmt.Sprintf("%s, at dispatcher %d", w.name, w.Member)})
	}
}

// play has staff and faults play beside the day.
func (g *rig) play(ctx context.Context, s *testbed.Stage) {
	g.stage = s
	var all sync.WaitGroup
	defer all.Wait()
	if err := g.found(ctx); err != nil {
		g.note("the group was not founded: " + err.Error())
		return
	}
	for i := range g.real {
		all.Go(func() { g.look(ctx, i) })
	}
	if g.o.Older > 0 {
		all.Go(func() {
			sleep(ctx, olderFor)
			g.stage.Terminate(ctx, g.o.Older)
		})
	}
	if g.o.Joins > 0 {
		all.Go(func() { g.join(ctx) })
	}
	planned := g.o.Machines > 0 && !g.o.ByHand
	if planned && !g.begin(ctx) {
		return
	}
	g.result.Origin = g.stage.Ledger().Now()
	cpu, passed, carried := g.used(ctx)
	defer func() {
		now, m, b := g.used(context.WithoutCancel(ctx))
		g.result.CPU, g.result.Passed, g.result.Carried = now-cpu, m-passed, b-carried
	}()
	if g.o.Retuned {
		all.Go(func() { sleep(ctx, tunedAfter); g.tune() })
	}
	for _, f := range g.result.Faults {
		all.Go(func() { g.fault(ctx, f) })
	}
	g.saySome(ctx, &all)
	if g.o.ByHand {
		g.byHandAll(ctx)
	}
	if planned {
		for i := range g.o.Machines {
			all.Go(func() { g.work(ctx, i) })
		}
		g.again(ctx)
	}
	all.Wait()
}

// When what a scenario asks for happens.
const (
	olderFor   = 3 * time.Second
	joinsAfter = 3 * time.Second // the plan runs by then
	tunedAfter = 500 * time.Millisecond
	tunedPart  = 8 // of the deadlines: then a lease and what attempts were waited for is less than one that runs to its deadline
)

// used is what members have used and sent so far.
func (g *rig) used(ctx context.Context) (cpu time.Duration, messages, bytes int64) {
	for i := range g.real {
		cpu += g.stage.CPU(i)
		if r, err := (&coordinator.Client{Addresses: g.real[i : i+1]}).Do(ctx, coordinator.Call{Status: true, Local: true}); err == nil && r.Status != nil {
			messages, bytes = messages+r.Status.Links["taken"], bytes+r.Status.Links["bytes_in"]
		}
	}
	return cpu, messages, bytes
}

// byHandAll has staff take the machines out by words at each member, one after the other.
func (g *rig) byHandAll(ctx context.Context) {
	say := func(w int, out bool) {
		for i := range g.real {
			for ctx.Err() == nil {
				if r, err := gossip.CallMember(ctx, g.real[i], gossip.Call{Worker: g.stage.Day().Workers[w].Name, Disabled: out}); err == nil && !r.Invalid {
					break
				}
				sleep(ctx, 100*time.Millisecond)
			}
		}
	}
	for i := range g.o.Machines {
		w := worker(g.stage.Day(), i)
		say(w, true)
		sleep(ctx, 2*g.day.Classes[0].Patience) // nobody tells them when nothing runs there any more
		sleep(ctx, g.o.Work)
		if ctx.Err() != nil {
			return
		}
		g.stage.Fleet().Down(w)
		sleep(ctx, restarts)
		g.stage.Fleet().Up(w)
		say(w, false)
		sleep(ctx, g.day.Terms.WarmWithin)
	}
	g.mu.Lock()
	g.result.Ended = g.stage.Ledger().Now()
	g.mu.Unlock()
}

// again has staff pause the plan and resume it, and then an answer of theirs count as lost: the first call comes again.
func (g *rig) again(ctx context.Context) {
	halt := &maintenance.Command{ID: fmt.Sprintf("halt-%d", g.o.Seed), Kind: maintenance.CommandPausePlan, Name: "work"}
	if g.surely(ctx, halt) && g.surely(ctx, &maintenance.Command{Kind: maintenance.CommandResumePlan, Name: "work"}) {
		halt.ID = fmt.Sprintf("halt-%d", g.o.Seed)
		g.surely(ctx, halt)
	}
}

func (g *rig) note(last string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Last = last
}

// at are the members in an order that begins with one.
func (g *rig) at(first int) *coordinator.Client {
	return &coordinator.Client{Addresses: append(slices.Clone(g.real[first:]), g.real[:first]...)}
}

// call makes a call of staff at any member.
func (g *rig) call(ctx context.Context, c coordinator.Call) (*coordinator.Reply, error) {
	r, err := g.at(rand.IntN(len(g.real))).Do(ctx, c)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Calls++
	if err == nil && strings.HasPrefix(r.Text, "no member has settled") {
		g.result.Unclear++
	}
	return r, err
}

// found founds the group and waits until all are in.
func (g *rig) found(ctx context.Context) error {
	last := ""
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := g.at(0).Do(ctx, coordinator.Call{Bootstrap: true})
		if err != nil {
			return err
		}
		if last = r.Text; r.Code != maintenance.CodeOK {
			continue
		}
		break
	}
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := g.at(0).Do(ctx, coordinator.Call{Status: true})
		if err != nil {
			return err
		}
		votes := 0
		if r.Status == nil {
			continue
		}
		for _, m := range r.Status.Members {
			if m.IsVoter && m.LastReport >= 0 {
				votes++
			}
		}
		in := len(g.real) - min(g.o.Joins, 1)
		if last = fmt.Sprintf("%+v", r.Status.Members); len(r.Status.Members) == in && votes == voters(len(g.real)) {
			return nil
		}
	}
	return errors.New(last)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restarts is how long a runner takes to come up again.
const restarts = 200 * time.Millisecond

// machine is the name of the plan's machine of a worker.
func machine(i int) string { return fmt.Sprintf("m%d", i) }

// worker is the one that a machine of the plan has: the last of the day, which are the slowest, first.
func worker(day *scenario.Day, machine int) int { return len(day.Workers) - 1 - machine }

// begin has staff hand a plan in and start it, and waits until it runs; false: it does not.
func (g *rig) begin(ctx context.Context) bool {
	day := g.stage.Day()
	plans := make([]*maintenance.Plan, max(g.o.Plans, 1))
	for i := range plans {
		plans[i] = &maintenance.Plan{Name: planName(i), MaxUnavailable: g.o.Out, OnOverdue: maintenance.OverdueWait}
	}
	for i := range g.o.Machines {
		p := plans[i%len(plans)]
		m := maintenance.Machine{Name: machine(i), Workers: []string{day.Workers[worker(day, i)].Name}}
		if g.o.Hosts {
			m.Workers, m.Host = nil, g.stage.Fleet().Workers[worker(day, i)].Host()
		}
		p.Machines = append(p.Machines, m)
	}
	for _, p := range plans {
		for _, c := range []*maintenance.Command{{Kind: maintenance.CommandSubmitPlan, Plan: p}, {Kind: maintenance.CommandStartPlan, Name: p.Name}} {
			if !g.surely(ctx, c) {
				return false
			}
		}
	}
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := g.at(0).Do(ctx, coordinator.Call{Status: true})
		if err == nil && g.plansAre(r.Status, maintenance.PlanRunning) {
			return true
		}
	}
	return false
}

// planName is that of staff's plans.
func planName(i int) string {
	if i == 0 {
		return "work"
	}
	return fmt.Sprintf("work-%d", i+1)
}

// plansAre tells whether all of staff's plans are known to be in a phase.
func (g *rig) plansAre(s *coordinator.Status, phase maintenance.PlanPhase) bool {
	if s == nil || len(s.Plans) < max(g.o.Plans, 1) {
		return false
	}
	return !slices.ContainsFunc(s.Plans, func(p coordinator.PlanStatus) bool { return p.Phase != phase })
}

// surely makes a call until it is answered with yes; a lost answer's call is made again under its id.
func (g *rig) surely(ctx context.Context, c *maintenance.Command) bool {
	for ; ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		r, err := g.call(ctx, coordinator.Call{Command: c})
		if err == nil && r.Code == maintenance.CodeOK {
			return true
		}
		if err == nil && !strings.HasPrefix(r.Text, "no member has settled") {
			if c.ID = ""; r.Code == maintenance.CodeInvalid {
				g.note(fmt.Sprintf("%s: %s", c.Kind, r.Text))
				return false
			}
		}
	}
	return false
}

// work waits for one machine, works on it, starts its runner anew and gives it back.
func (g *rig) work(ctx context.Context, i int) {
	l := g.stage.Ledger()
	if !g.surely(ctx, &maintenance.Command{Kind: maintenance.CommandClaimMachine, Machine: machine(i)}) {
		return
	}
	g.mu.Lock()
	at := len(g.works)
	w := worker(g.stage.Day(), i)
	g.works = append(g.works, Work{Machine: machine(i), Runners: []int{w}, Told: l.Now()})
	g.mu.Unlock()
	// The runner stands there, so that what is sent is seen.
	if g.o.Renamed {
		sleep(ctx, g.o.Work/2)
		g.stage.Fleet().Down(w)
		g.stage.Fleet().Rename(w, "new-"+machine(i))
		g.stage.Fleet().Up(w)
		sleep(ctx, g.o.Work/2)
	} else {
		sleep(ctx, g.o.Work)
	}
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	g.works[at].Back = l.Now()
	g.mu.Unlock()
	g.stage.Fleet().Down(w)
	sleep(ctx, restarts)
	g.stage.Fleet().Up(w)
	g.surely(ctx, &maintenance.Command{Kind: maintenance.CommandReturnMachine, Machine: machine(i)})
}

// look asks a member now and then how things stand.
func (g *rig) look(ctx context.Context, member int) {
	l := g.stage.Ledger()
	c := &coordinator.Client{Addresses: []string{g.real[member]}}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, 100*time.Millisecond)
		asked := l.Now()
		r, err := c.Do(ctx, coordinator.Call{Status: true, Local: i%2 == 0})
		if err != nil || r.Status == nil {
			continue
		}
		g.mu.Lock()
		g.seen = append(g.seen, seen{asked, l.Now(), *r.Status})
		if s := r.Status; s.Confirmed && len(s.Plans) > 0 && g.result.Ended == 0 {
			g.result.Last = fmt.Sprintf("%+v", s.Plans[0])
			if g.plansAre(s, maintenance.PlanEnded) {
				g.result.Ended = l.Now()
			}
		}
		g.mu.Unlock()
	}
}

// leader is the member that leads by the newest settled answer; 0 where none is known.
func (g *rig) leader() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.seen) - 1; i >= 0; i-- {
		var n int
		if _, err := fmt.Sscanf(g.seen[i].status.Leader, "d%d", &n); err == nil && g.seen[i].status.Confirmed {
			return n
		}
	}
	return 0
}

// fault lets one fault happen.
func (g *rig) fault(ctx context.Context, f Fault) {
	if sleep(ctx, f.At); ctx.Err() != nil {
		return
	}
	if f.Member < 0 {
		f.Member = g.leader()
	}
	if slices.Contains([]string{Stop, Kill, Crash, Wipe, Old, Put, Alien, Term, Renew}, f.Kind) {
		if !g.seize(&f) {
			return
		}
		defer g.free(f.Member)
	}
	at := g.stage.Ledger().Now()
	if f.Kind == Apart { // else it is not told apart from the one that leads in the end
		if f.other = g.leader(); f.other == f.Member {
			f.other = (f.Member + 1) % len(g.real)
		}
	}
	g.mu.Lock()
	n := len(g.had)
	g.had = append(g.had, Fault{f.Kind, f.Member, at, never, f.other, 0}) // it lasts until we know better
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.had[n].For = g.stage.Ledger().Now() - at
		g.mu.Unlock()
	}()
	loses := func(change func()) func() {
		return func() {
			g.mu.Lock()
			g.had[n].lost = g.stage.Ledger().Now()
			g.mu.Unlock()
			change()
		}
	}
	switch f.Kind {
	case Crash:
		up, back := context.WithCancel(ctx)
		var staff sync.WaitGroup
		staff.Go(func() { g.vouch(up, f) })
		g.stage.Kill(ctx, f.Member, f.For, func() { g.erase(g.temporary(f.Member)) })
		back()
		staff.Wait()
	case Stop:
		g.stage.Stop(ctx, f.Member, f.For)
	case Kill:
		g.stage.Kill(ctx, f.Member, f.For, nil)
	case Wipe:
		g.stage.Kill(ctx, f.Member, f.For, loses(func() {
			g.erase(g.folder(f.Member))
			g.erase(g.temporary(f.Member))
		}))
	case Old, Put:
		was := g.read(f.Member, "group.db", "words.db")
		sleep(ctx, f.For)
		g.stage.Kill(ctx, f.Member, 0, loses(func() {
			g.write(f.Member, was)
			if f.Kind == Put {
				g.erase(g.temporary(f.Member))
			}
		}))
	case Alien:
		g.stage.Kill(ctx, f.Member, f.For, loses(func() { g.write(f.Member, g.read((f.Member+1)%len(g.real), "words.db")) }))
	case Term:
		g.stage.Terminate(ctx, f.Member)
	case Renew:
		g.stage.Upgrade(ctx, f.Member)
	case Down, Leaves:
		l := g.stage.Ledger()
		g.mu.Lock()
		at := len(g.downs)
		g.downs = append(g.downs, down{from: l.Now()})
		g.mu.Unlock()
		if f.Kind == Leaves {
			g.stage.Fleet().Leave(f.Member)
			sleep(ctx, f.For)
			g.stage.Fleet().Down(f.Member)
			sleep(ctx, restarts)
		} else {
			g.stage.Fleet().Down(f.Member)
			sleep(ctx, f.For)
		}
		g.mu.Lock()
		g.downs[at].until = l.Now()
		g.mu.Unlock()
		g.stage.Fleet().Up(f.Member)
	case Hang:
		g.stage.Fleet().Workers[f.Member].Hang(true)
		sleep(ctx, f.For)
		g.stage.Fleet().Workers[f.Member].Hang(false)
	case Spoilt:
		w := g.stage.Fleet().Workers[0]
		w.ErrFor(f.Member, true)
		sleep(ctx, f.For)
		w.ErrFor(f.Member, false)
	case Errs:
		w := g.stage.Fleet().Workers[0]
		w.Err(1)
		sleep(ctx, f.For)
		w.Err(0)
	case Flap:
		f.Kind = Cut
		for end := time.Now().Add(f.For); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, flapEvery) {
			g.set(f, true)
			sleep(ctx, flapEvery)
			g.set(f, false)
		}
	default:
		g.set(f, true)
		sleep(ctx, f.For)
		g.set(f, false)
	}
}

// vouchAfter is how long staff wait for a member that nothing tells whether its disk is the last one. With another disk lost too few
// of three voters are left to tell.
const vouchAfter = 8 * time.Second

// vouch has staff say that the disk of a member that came down with its machine is its last one, once it has waited for long.
func (g *rig) vouch(ctx context.Context, f Fault) {
	for sleep(ctx, f.For+vouchAfter); ctx.Err() == nil; sleep(ctx, time.Second) {
		// Refused or unreachable: it is called again.
		_, _ = (&coordinator.Client{Addresses: g.real[f.Member : f.Member+1]}).Do(ctx, coordinator.Call{ConfirmDisk: true})
	}
}

// never is longer than any day.
const never = 24 * time.Hour

// read are files of a member's disk as they are, by name.
func (g *rig) read(member int, names ...string) map[string][]byte {
	files := map[string][]byte{}
	for _, name := range names {
		if raw, err := os.ReadFile(filepath.Join(g.folder(member), name)); err == nil && len(raw) > 0 {
			files[name] = raw
		}
	}
	return files
}

func (g *rig) write(member int, files map[string][]byte) {
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(g.folder(member), name), raw, 0o600); err != nil {
			g.note(err.Error())
		}
	}
}

// erase removes a directory of a member; a fault whose directory stays has not happened as planned.
func (g *rig) erase(dir string) {
	if err := os.RemoveAll(dir); err != nil {
		g.note(err.Error())
	}
}

// flapEvery is how long a link that flaps is in either state.
const flapEvery = 300 * time.Millisecond

// wipesApart is how far apart two disks may be lost: a majority of voters that forgets has no history to go on by, and no
// promise holds. A voter has its place again some seconds after it is back.
const wipesApart = 12 * time.Second

// seize takes a member's process for a fault; false: another one has it. Of disks that would be lost too soon one after the
// other the second is kept.
func (g *rig) seize(f *Fault) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[f.Member] {
		return false
	}
	now := g.stage.Ledger().Now()
	if (f.Kind == Wipe || f.Kind == Old || f.Kind == Put) && g.wiped > 0 && now-g.wiped < wipesApart {
		f.Kind = Kill
	}
	if f.Kind == Wipe || f.Kind == Old || f.Kind == Put {
		g.wiped = now + f.For
	}
	g.busy[f.Member] = true
	return true
}

func (g *rig) free(member int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.busy, member)
}

// set turns a fault of links on or off and works out what is wrong with each link now.
func (g *rig) set(f Fault, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on {
		g.on = append(g.on, f)
	} else if i := slices.Index(g.on, f); i >= 0 {
		g.on = slices.Delete(g.on, i, i+1)
	}
	for pair, k := range g.links {
		k.set(g.wrong(pair[0], pair[1], "", -1))
	}
	for _, o := range g.outer {
		o.link.set(g.wrong(-1, -1, o.kind, o.member))
	}
}

// wrong is what is wrong with a link now: of two members, whose connections these are and whom they reach, or of a member to
// what a kind of faults is for. The lock is held.
func (g *rig) wrong(from, to int, outer string, member int) (now fault) {
	for _, f := range g.on {
		out, in := from == f.Member, to == f.Member
		cut := false
		switch f.Kind {
		case Far, Unlist:
			cut = f.Kind == outer && f.Member == member
		case Halves:
			cut = outer == "" && from%2 != to%2
		case Thirds:
			cut = outer == "" && from%3 != to%3
		case Ring:
			n := len(g.real)
			cut = outer == "" && (from+1)%n != to && (to+1)%n != from
		}
		now.there, now.back = now.there || cut, now.back || cut
		if !out && !in {
			continue
		}
		switch f.Kind {
		case Cut:
			now.there, now.back = true, true
		case Apart:
			if from == f.other || to == f.other {
				now.there, now.back = true, true
			}
		case Deaf:
			now.there, now.back = now.there || in, now.back || out
		case Mute:
			now.there, now.back = now.there || out, now.back || in
		case Reset:
			now.reset = true
		case Slow:
			now.delay = 300 * time.Millisecond
		case Narrow:
			now.rate = 2000
		case Torn:
			now.after = 700
		}
	}
	return now
}
