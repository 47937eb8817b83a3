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
	Partition             = "cut"    // nothing passes between the member and the others
	DropInbound           = "deaf"   // nothing reaches the member; what it sends arrives
	DropOutbound          = "mute"   // nothing that the member sends arrives
	PartitionFromLeader   = "apart"  // nothing passes between the member and the one that leads then; all else does
	FlappingPartition     = "flap"   // as cut, for 300 ms out of 600
	ResetLinks            = "reset"  // its links are reset
	DelayLinks            = "slow"   // its links have 300 ms more, one way
	LimitBandwidth        = "narrow" // its links pass 2 kB a second
	BreakLinks            = "torn"   // its links break after 700 bytes
	PauseProcess          = "stop"   // its process stands still
	KillProcess           = "kill"   // its process is killed, and started again with its disk
	CrashMachine          = "crash"  // ... as when its machine goes down: temporary files are lost
	LoseDisk              = "wipe"   // ... and with an empty disk
	OutdatedDisk          = "old"    // it works on, is killed, and started again with the disk that it had at the fault's beginning
	OutdatedDiskElsewhere = "put"    // as old, on another machine: temporary files are lost too
	ForeignDisk           = "alien"  // killed, and started again with the words that the next member's disk has
	Terminate             = "term"   // its process ends in order and is started again
	Upgrade               = "renew"  // a process starts beside it, and takes its place
	SplitInTwo            = "halves" // the group is in two: members of even numbers, and of odd ones
	SplitInThree          = "thirds" // ... in three, by their numbers modulo three
	RingTopology          = "ring"   // each member reaches the one before it and the one after it alone
	LoseWorkers           = "far"    // nothing passes between the member and the workers
	LoseDiscovery         = "unlist" // nothing passes between the member and discovery
	FailForMember         = "spoilt" // all jobs of the member fail at the first worker, those of others do not
	FailForAll            = "errs"   // all jobs of all members fail at the first worker
	WorkerCrash           = "down"   // the worker of that number, no member, is killed and starts again cold
	WorkerDrain           = "leaves" // ... is listed as draining and goes on all the while, then starts anew
	WorkerHang            = "hang"   // jobs at the worker of that number do not end by themselves
)

// workerFaults are the kinds whose number is a worker's.
var workerFaults = map[string]bool{WorkerCrash: true, WorkerDrain: true, WorkerHang: true}

// FaultKinds are all kinds of faults that a storm draws.
var FaultKinds = []string{Partition, DropInbound, DropOutbound, PartitionFromLeader, FlappingPartition, ResetLinks, DelayLinks, LimitBandwidth, BreakLinks, PauseProcess, KillProcess, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Terminate, Upgrade, SplitInTwo, SplitInThree, RingTopology, LoseWorkers, LoseDiscovery, FailForMember, FailForAll, WorkerCrash, WorkerDrain, WorkerHang}

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

// MachineWork is one machine that staff had, as they saw it.
type MachineWork struct {
	Machine    string        `json:"Machine"`
	Workers    []int         `json:"Runners"` // workers of the fleet
	ReleasedAt time.Duration `json:"Told"`    // when the answer came that it is clear
	ReturnedAt time.Duration `json:"Back"`    // right before they said done; 0: they never did
}

// Result is what a run came to.
type Result struct {
	Report           *report.Report  `json:"Report"`
	MachineWorks     []MachineWork   `json:"Works"`
	Origin           time.Duration   `json:"Origin"`  // when all were in and the plan ran: faults count from here
	Ended            time.Duration   `json:"Ended"`   // when the plan was seen to have ended; 0: it was not
	LastStatus       string          `json:"Last"`    // what was last seen of the plan
	Calls            int             `json:"Calls"`   // of staff
	UncommittedCalls int             `json:"Unclear"` // ... that had no settled answer in time
	Bytes            int64           `json:"Bytes"`   // over all links, with their headers
	FirstRelease     time.Duration   `json:"First"`   // from the plan's running until staff had a machine
	Silence          time.Duration   `json:"Silence"` // the longest time without a settled answer
	Faults           []Fault         `json:"Faults"`
	Convergence      []time.Duration `json:"Reached"` // from the yes to a word "out" until the last member told of it
	CPU              time.Duration   `json:"CPU"`     // of all members from the origin to the end, where none was restarted
	Messages         int64           `json:"Passed"`  // messages between members over the same time
	MessageBytes     int64           `json:"Carried"` // ... and their bytes, without headers
}

// harness is one run.
type harness struct {
	options     Options
	day         *scenario.Scenario
	dir         string
	addresses   []string // where each member listens for the others
	links       map[[2]int]*link
	environment *testbed.Environment

	mu               sync.Mutex
	outerLinks       []outerLink // to workers and discovery, in runs with faults there
	machineWorks     []MachineWork
	statuses         []observedStatus
	result           *Result
	starts           map[string]int // processes of each member
	reconfigured     bool           // members are told the whole deadlines
	injected         []Fault        // as they came: At on the ledger's clock
	writtenOverrides []writtenOverride
	overrideReplies  map[int]overrideReply
	linkFaults       []Fault // of the links
	workerOutages    []workerOutage
	faultyMembers    map[int]bool  // members whose process a fault has
	lastDiskLoss     time.Duration // when the last disk was lost
}

// outerLink is a link from a member to a worker or to discovery.
type outerLink struct {
	kind    string // of the fault that it may have
	member  int
	address string
	link    *link
}

// workerOutage is a worker that was away by itself.
type workerOutage struct{ from, until time.Duration }

// observedStatus is an answer on how things stand.
type observedStatus struct {
	requestedAt, receivedAt time.Duration
	status                  coordinator.Status
}

// Run plays a day with a group.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	g := &harness{options: o, links: map[[2]int]*link{}, result: &Result{}, faultyMembers: map[int]bool{}, overrideReplies: map[int]overrideReply{}, starts: map[string]int{}}
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
		for _, o := range g.outerLinks {
			o.link.close()
		}
	}()
	if err := g.lay(); err != nil {
		return nil, err
	}
	g.result.Faults = append(slices.Clone(o.Faults), g.drawFaults()...)
	g.options.Overrides = append(slices.Clone(g.options.Overrides), g.drawOverrides()...)
	rep, err := testbed.Run(ctx, testbed.Options{
		Scenario: g.day, Seed: o.Seed, Policy: testbed.PolicyRules, Alongside: g.play, CheckMore: g.checkInvariants, WorkerAddress: g.by(LoseWorkers), DiscoveryAddress: g.by(LoseDiscovery),
		StartTimeout:       o.For, // without a majority a member without its disk sends nothing, and so does not serve
		ConfiguredScenario: g.terms,
		KeepFirstList:      o.OldLists, Logs: o.Logs,
		Launch: func(config string) *exec.Cmd {
			name := strings.TrimSuffix(filepath.Base(config), ".json")
			fault := o.Failpoint
			for its, member := range map[string]int{failpoint.DiskFull: o.Failing, failpoint.DiskStall: o.StallingDisk, failpoint.NewerEntries: o.NewerEntries} {
				if member > 0 && name == fmt.Sprintf("d%d", member) {
					fault = its
				}
			}
			g.mu.Lock()
			if g.starts[name]++; o.OlderBuild > 0 && name == fmt.Sprintf("d%d", o.OlderBuild) && g.starts[name] == 1 {
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
	g.result.Report, g.result.MachineWorks = rep, g.machineWorks
	g.mark(rep)
	if len(g.machineWorks) > 0 {
		g.result.FirstRelease = g.machineWorks[0].ReleasedAt - g.result.Origin
	}
	var last time.Duration
	slices.SortFunc(g.statuses, func(a, b observedStatus) int { return int(a.receivedAt - b.receivedAt) })
	for _, s := range g.statuses {
		if !s.status.Confirmed {
			continue
		}
		if last > 0 {
			g.result.Silence = max(g.result.Silence, s.receivedAt-last)
		}
		last = s.receivedAt
	}
	return g.result, nil
}

func (h *harness) operator(name string) string { return filepath.Join(h.dir, name+".toml") }
func (h *harness) temporary(i int) string {
	return filepath.Join(h.dir, fmt.Sprintf("birchfork-d%d", i))
}
func (h *harness) folder(i int) string { return filepath.Join(h.dir, fmt.Sprintf("disk-d%d", i)) }

// lay lays the links and writes the members' files.
func (h *harness) lay() error {
	n := h.options.Members
	var err error
	if h.addresses, err = testbed.FreeAddresses(n); err != nil {
		return err
	}
	for from := range n {
		for to := range n {
			if to == from {
				continue
			}
			if h.links[[2]int{from, to}], err = newLink(fakes.Loopback(), h.addresses[to]); err != nil {
				return err
			}
		}
	}
	return h.files(h.options.Joins)
}

// files writes the members' files, without one that is in none yet; 0: all are in.
func (h *harness) files(without int) error {
	n := h.options.Members
	for from := range n {
		var b strings.Builder
		if from != without || without == 0 {
			fmt.Fprintf(&b, "[group]\nname = \"lab\"\nplans = true\nlease = %q\n", h.options.Lease)
			if !h.options.Diskless {
				fmt.Fprintf(&b, "folder = %q\n", h.folder(from))
			}
			for to := range n {
				if to == without && without > 0 {
					continue
				}
				at := h.addresses[to]
				if to != from {
					at = h.links[[2]int{from, to}].address()
				}
				fmt.Fprintf(&b, "[[group.member]]\nname = \"d%d\"\nlink = %q\nvoter = %t\n", to, at, to < voters(n))
			}
		}
		if err := os.WriteFile(h.operator(fmt.Sprintf("d%d", from)), []byte(b.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// join has a member that is down get its place in all files while the plan runs: the others are restarted one after the other, and
// then it starts.
func (h *harness) join(ctx context.Context) {
	h.environment.Kill(ctx, h.options.Joins, joinsAfter, func() {
		if err := h.files(0); err != nil {
			h.note(err.Error())
		}
		for i := range h.addresses {
			if i != h.options.Joins && ctx.Err() == nil {
				h.environment.Terminate(ctx, i)
			}
		}
	})
}

// by lays links to addresses outside of the group as they are met, for one kind of fault; nil where no such fault is played.
func (h *harness) by(kind string) func(member int, address string) string {
	if !slices.ContainsFunc(h.result.Faults, func(f Fault) bool { return f.Kind == kind }) {
		return nil
	}
	return func(member int, address string) string {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, o := range h.outerLinks {
			if o.kind == kind && o.member == member && o.address == address {
				return o.link.address()
			}
		}
		host, _, err := net.SplitHostPort(address) // what it leads to is known by its host
		k, fails := newLink(host, address)
		if err := errors.Join(err, fails); err != nil {
			h.result.LastStatus = err.Error()
			return address
		}
		h.outerLinks = append(h.outerLinks, outerLink{kind, member, address, k})
		k.set(h.wrong(-1, -1, kind, member))
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

// drawFaults draws further faults from the seed, over the middle of the day.
func (h *harness) drawFaults() (out []Fault) {
	r := rand.New(rand.NewPCG(h.options.Seed, 77))
	length := h.options.For
	for range h.options.RandomFaults {
		f := Fault{Kind: FaultKinds[r.IntN(len(FaultKinds))], Member: r.IntN(h.options.Members+1) - 1}
		if workerFaults[f.Kind] { // one that is in no plan
			f.Member = r.IntN(workers - maxMachines)
		}
		f.At = time.Duration(r.Int64N(int64(length / 2)))
		f.For = 50*time.Millisecond + time.Duration(r.Int64N(int64(length/5)))
		out = append(out, f)
	}
	return out
}

// drawOverrides draws further words of staff on runners that are in no plan; at two fifths of the day all of these are put back at each
// member, so that whatever it knows of ends, and the plan may go on.
func (h *harness) drawOverrides() (out []Override) {
	r := rand.New(rand.NewPCG(h.options.Seed, 78))
	for range h.options.RandomOverrides {
		out = append(out, Override{Member: r.IntN(h.options.Members), Worker: r.IntN(workers - maxMachines), Disabled: r.IntN(5) < 3,
			At: time.Duration(r.Int64N(int64(h.options.For * 2 / 5)))})
	}
	for i := range h.options.Members * min(h.options.RandomOverrides, 1) {
		for w := range workers - maxMachines {
			out = append(out, Override{Member: i, Worker: w, At: h.options.For * 2 / 5, isLast: true})
		}
	}
	return out
}

// terms are what a member is told of the day.
func (h *harness) terms(_ int, s *scenario.Scenario) *scenario.Scenario {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.options.Reconfigured || h.reconfigured {
		return s
	}
	short := *s
	short.Classes = slices.Clone(s.Classes)
	for i := range short.Classes {
		short.Classes[i].Deadline /= tunedPart
	}
	return &short
}

// tune has members told the whole deadlines.
func (h *harness) tune() {
	h.mu.Lock()
	h.reconfigured = true
	h.mu.Unlock()
	for i := range h.addresses {
		h.environment.Reload(i)
	}
}

// mark puts what happened into the report's timetable.
func (h *harness) mark(rep *report.Report) {
	at := func(d time.Duration) float64 { return (d - h.environment.Origin()).Seconds() }
	for _, f := range h.injected {
		whom := fmt.Sprintf("dispatcher %d", f.Member)
		if workerFaults[f.Kind] {
			whom = fmt.Sprintf("worker %d", f.Member)
		}
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: f.Kind, At: at(f.At), Until: at(f.At + f.For), Whom: whom})
	}
	for _, w := range h.machineWorks {
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: "with staff", At: at(w.ReleasedAt), Until: at(max(w.ReturnedAt, w.ReleasedAt)), Whom: w.Machine})
	}
	for _, w := range h.writtenOverrides {
		kind := "word back"
		if w.Disabled {
			kind = "word out"
		}
		rep.Faults = append(rep.Faults, report.FaultMark{Kind: kind, At: at(w.requestedAt), Until: at(w.acknowledgedAt), Whom: fmt.Sprintf("%s, at dispatcher %d", w.name, w.Member)})
	}
}

// play has staff and faults play beside the day.
func (h *harness) play(ctx context.Context, s *testbed.Environment) {
	h.environment = s
	var all sync.WaitGroup
	defer all.Wait()
	if err := h.found(ctx); err != nil {
		h.note("the group was not founded: " + err.Error())
		return
	}
	for i := range h.addresses {
		all.Go(func() { h.look(ctx, i) })
	}
	if h.options.OlderBuild > 0 {
		all.Go(func() {
			sleep(ctx, olderFor)
			h.environment.Terminate(ctx, h.options.OlderBuild)
		})
	}
	if h.options.Joins > 0 {
		all.Go(func() { h.join(ctx) })
	}
	planned := h.options.Machines > 0 && !h.options.WithoutPlan
	if planned && !h.begin(ctx) {
		return
	}
	h.result.Origin = h.environment.Ledger().Now()
	cpu, passed, carried := h.used(ctx)
	defer func() {
		now, m, b := h.used(context.WithoutCancel(ctx))
		h.result.CPU, h.result.Messages, h.result.MessageBytes = now-cpu, m-passed, b-carried
	}()
	if h.options.Reconfigured {
		all.Go(func() { sleep(ctx, tunedAfter); h.tune() })
	}
	for _, f := range h.result.Faults {
		all.Go(func() { h.fault(ctx, f) })
	}
	h.writeRandomOverrides(ctx, &all)
	if h.options.WithoutPlan {
		h.maintainByHand(ctx)
	}
	if planned {
		for i := range h.options.Machines {
			all.Go(func() { h.work(ctx, i) })
		}
		h.again(ctx)
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
func (h *harness) used(ctx context.Context) (cpu time.Duration, messages, bytes int64) {
	for i := range h.addresses {
		cpu += h.environment.CPU(i)
		if r, err := (&coordinator.Client{Addresses: h.addresses[i : i+1]}).Do(ctx, coordinator.Call{Status: true, Local: true}); err == nil && r.Status != nil {
			messages, bytes = messages+r.Status.Links["taken"], bytes+r.Status.Links["bytes_in"]
		}
	}
	return cpu, messages, bytes
}

// maintainByHand has staff take the machines out by words at each member, one after the other.
func (h *harness) maintainByHand(ctx context.Context) {
	say := func(w int, out bool) {
		for i := range h.addresses {
			for ctx.Err() == nil {
				if r, err := gossip.CallMember(ctx, h.addresses[i], gossip.Call{Worker: h.environment.Day().Workers[w].Name, Disabled: out}); err == nil && !r.Invalid {
					break
				}
				sleep(ctx, 100*time.Millisecond)
			}
		}
	}
	for i := range h.options.Machines {
		w := worker(h.environment.Day(), i)
		say(w, true)
		sleep(ctx, 2*h.day.Classes[0].Deadline) // nobody tells them when nothing runs there any more
		sleep(ctx, h.options.Work)
		if ctx.Err() != nil {
			return
		}
		h.environment.Fleet().Down(w)
		sleep(ctx, restarts)
		h.environment.Fleet().Up(w)
		say(w, false)
		sleep(ctx, h.day.Terms.SlowStartWindow)
	}
	h.mu.Lock()
	h.result.Ended = h.environment.Ledger().Now()
	h.mu.Unlock()
}

// again has staff pause the plan and resume it, and then an answer of theirs count as lost: the first call comes again.
func (h *harness) again(ctx context.Context) {
	halt := &maintenance.Command{ID: fmt.Sprintf("halt-%d", h.options.Seed), Kind: maintenance.CommandPausePlan, Name: "work"}
	if h.surely(ctx, halt) && h.surely(ctx, &maintenance.Command{Kind: maintenance.CommandResumePlan, Name: "work"}) {
		halt.ID = fmt.Sprintf("halt-%d", h.options.Seed)
		h.surely(ctx, halt)
	}
}

func (h *harness) note(last string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.LastStatus = last
}

// at are the members in an order that begins with one.
func (h *harness) at(first int) *coordinator.Client {
	return &coordinator.Client{Addresses: append(slices.Clone(h.addresses[first:]), h.addresses[:first]...)}
}

// call makes a call of staff at any member.
func (h *harness) call(ctx context.Context, c coordinator.Call) (*coordinator.Reply, error) {
	r, err := h.at(rand.IntN(len(h.addresses))).Do(ctx, c)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.Calls++
	if err == nil && strings.HasPrefix(r.Text, "no member has settled") {
		h.result.UncommittedCalls++
	}
	return r, err
}

// found founds the group and waits until all are in.
func (h *harness) found(ctx context.Context) error {
	last := ""
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := h.at(0).Do(ctx, coordinator.Call{Bootstrap: true})
		if err != nil {
			return err
		}
		if last = r.Text; r.Code != maintenance.CodeOK {
			continue
		}
		break
	}
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := h.at(0).Do(ctx, coordinator.Call{Status: true})
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
		in := len(h.addresses) - min(h.options.Joins, 1)
		if last = fmt.Sprintf("%+v", r.Status.Members); len(r.Status.Members) == in && votes == voters(len(h.addresses)) {
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
func (h *harness) begin(ctx context.Context) bool {
	day := h.environment.Day()
	plans := make([]*maintenance.Plan, max(h.options.Plans, 1))
	for i := range plans {
		plans[i] = &maintenance.Plan{Name: planName(i), MaxUnavailable: h.options.MaxUnavailable, OnOverdue: maintenance.OverdueWait}
	}
	for i := range h.options.Machines {
		p := plans[i%len(plans)]
		m := maintenance.Machine{Name: machine(i), Workers: []string{day.Workers[worker(day, i)].Name}}
		if h.options.Hosts {
			m.Workers, m.Host = nil, h.environment.Fleet().Workers[worker(day, i)].Host()
		}
		p.Machines = append(p.Machines, m)
	}
	for _, p := range plans {
		for _, c := range []*maintenance.Command{{Kind: maintenance.CommandSubmitPlan, Plan: p}, {Kind: maintenance.CommandStartPlan, Name: p.Name}} {
			if !h.surely(ctx, c) {
				return false
			}
		}
	}
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		r, err := h.at(0).Do(ctx, coordinator.Call{Status: true})
		if err == nil && h.plansAre(r.Status, maintenance.PlanRunning) {
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
func (h *harness) plansAre(s *coordinator.Status, phase maintenance.PlanPhase) bool {
	if s == nil || len(s.Plans) < max(h.options.Plans, 1) {
		return false
	}
	return !slices.ContainsFunc(s.Plans, func(p coordinator.PlanStatus) bool { return p.Phase != phase })
}

// surely makes a call until it is answered with yes; a lost answer's call is made again under its id.
func (h *harness) surely(ctx context.Context, c *maintenance.Command) bool {
	for ; ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		r, err := h.call(ctx, coordinator.Call{Command: c})
		if err == nil && r.Code == maintenance.CodeOK {
			return true
		}
		if err == nil && !strings.HasPrefix(r.Text, "no member has settled") {
			if c.ID = ""; r.Code == maintenance.CodeInvalid {
				h.note(fmt.Sprintf("%s: %s", c.Kind, r.Text))
				return false
			}
		}
	}
	return false
}

// work waits for one machine, works on it, starts its runner anew and gives it back.
func (h *harness) work(ctx context.Context, i int) {
	l := h.environment.Ledger()
	if !h.surely(ctx, &maintenance.Command{Kind: maintenance.CommandClaimMachine, Machine: machine(i)}) {
		return
	}
	h.mu.Lock()
	at := len(h.machineWorks)
	w := worker(h.environment.Day(), i)
	h.machineWorks = append(h.machineWorks, MachineWork{Machine: machine(i), Workers: []int{w}, ReleasedAt: l.Now()})
	h.mu.Unlock()
	// The runner stands there, so that what is sent is seen.
	if h.options.Renamed {
		sleep(ctx, h.options.Work/2)
		h.environment.Fleet().Down(w)
		h.environment.Fleet().Rename(w, "new-"+machine(i))
		h.environment.Fleet().Up(w)
		sleep(ctx, h.options.Work/2)
	} else {
		sleep(ctx, h.options.Work)
	}
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	h.machineWorks[at].ReturnedAt = l.Now()
	h.mu.Unlock()
	h.environment.Fleet().Down(w)
	sleep(ctx, restarts)
	h.environment.Fleet().Up(w)
	h.surely(ctx, &maintenance.Command{Kind: maintenance.CommandReturnMachine, Machine: machine(i)})
}

// look asks a member now and then how things stand.
func (h *harness) look(ctx context.Context, member int) {
	l := h.environment.Ledger()
	c := &coordinator.Client{Addresses: []string{h.addresses[member]}}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, 100*time.Millisecond)
		asked := l.Now()
		r, err := c.Do(ctx, coordinator.Call{Status: true, Local: i%2 == 0})
		if err != nil || r.Status == nil {
			continue
		}
		h.mu.Lock()
		h.statuses = append(h.statuses, observedStatus{asked, l.Now(), *r.Status})
		if s := r.Status; s.Confirmed && len(s.Plans) > 0 && h.result.Ended == 0 {
			h.result.LastStatus = fmt.Sprintf("%+v", s.Plans[0])
			if h.plansAre(s, maintenance.PlanEnded) {
				h.result.Ended = l.Now()
			}
		}
		h.mu.Unlock()
	}
}

// leader is the member that leads by the newest settled answer; 0 where none is known.
func (h *harness) leader() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.statuses) - 1; i >= 0; i-- {
		var n int
		if _, err := fmt.Sscanf(h.statuses[i].status.Leader, "d%d", &n); err == nil && h.statuses[i].status.Confirmed {
			return n
		}
	}
	return 0
}

// fault lets one fault happen.
func (h *harness) fault(ctx context.Context, f Fault) {
	if sleep(ctx, f.At); ctx.Err() != nil {
		return
	}
	if f.Member < 0 {
		f.Member = h.leader()
	}
	if slices.Contains([]string{PauseProcess, KillProcess, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Terminate, Upgrade}, f.Kind) {
		if !h.seize(&f) {
			return
		}
		defer h.free(f.Member)
	}
	at := h.environment.Ledger().Now()
	if f.Kind == PartitionFromLeader { // else it is not told apart from the one that leads in the end
		if f.other = h.leader(); f.other == f.Member {
			f.other = (f.Member + 1) % len(h.addresses)
		}
	}
	h.mu.Lock()
	n := len(h.injected)
	h.injected = append(h.injected, Fault{f.Kind, f.Member, at, never, f.other, 0}) // it lasts until we know better
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.injected[n].For = h.environment.Ledger().Now() - at
		h.mu.Unlock()
	}()
	loses := func(change func()) func() {
		return func() {
			h.mu.Lock()
			h.injected[n].lost = h.environment.Ledger().Now()
			h.mu.Unlock()
			change()
		}
	}
	switch f.Kind {
	case CrashMachine:
		up, back := context.WithCancel(ctx)
		var staff sync.WaitGroup
		staff.Go(func() { h.confirmDisk(up, f) })
		h.environment.Kill(ctx, f.Member, f.For, func() { h.erase(h.temporary(f.Member)) })
		back()
		staff.Wait()
	case PauseProcess:
		h.environment.Stop(ctx, f.Member, f.For)
	case KillProcess:
		h.environment.Kill(ctx, f.Member, f.For, nil)
	case LoseDisk:
		h.environment.Kill(ctx, f.Member, f.For, loses(func() {
			h.erase(h.folder(f.Member))
			h.erase(h.temporary(f.Member))
		}))
	case OutdatedDisk, OutdatedDiskElsewhere:
		was := h.read(f.Member, "group.db", "words.db")
		sleep(ctx, f.For)
		h.environment.Kill(ctx, f.Member, 0, loses(func() {
			h.write(f.Member, was)
			if f.Kind == OutdatedDiskElsewhere {
				h.erase(h.temporary(f.Member))
			}
		}))
	case ForeignDisk:
		h.environment.Kill(ctx, f.Member, f.For, loses(func() { h.write(f.Member, h.read((f.Member+1)%len(h.addresses), "words.db")) }))
	case Terminate:
		h.environment.Terminate(ctx, f.Member)
	case Upgrade:
		h.environment.Upgrade(ctx, f.Member)
	case WorkerCrash, WorkerDrain:
		l := h.environment.Ledger()
		h.mu.Lock()
		at := len(h.workerOutages)
		h.workerOutages = append(h.workerOutages, workerOutage{from: l.Now()})
		h.mu.Unlock()
		if f.Kind == WorkerDrain {
			h.environment.Fleet().Leave(f.Member)
			sleep(ctx, f.For)
			h.environment.Fleet().Down(f.Member)
			sleep(ctx, restarts)
		} else {
			h.environment.Fleet().Down(f.Member)
			sleep(ctx, f.For)
		}
		h.mu.Lock()
		h.workerOutages[at].until = l.Now()
		h.mu.Unlock()
		h.environment.Fleet().Up(f.Member)
	case WorkerHang:
		h.environment.Fleet().Workers[f.Member].Hang(true)
		sleep(ctx, f.For)
		h.environment.Fleet().Workers[f.Member].Hang(false)
	case FailForMember:
		w := h.environment.Fleet().Workers[0]
		w.FailFor(f.Member, true)
		sleep(ctx, f.For)
		w.FailFor(f.Member, false)
	case FailForAll:
		w := h.environment.Fleet().Workers[0]
		w.SetFailureRate(1)
		sleep(ctx, f.For)
		w.SetFailureRate(0)
	case FlappingPartition:
		f.Kind = Partition
		for end := time.Now().Add(f.For); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, flapEvery) {
			h.set(f, true)
			sleep(ctx, flapEvery)
			h.set(f, false)
		}
	default:
		h.set(f, true)
		sleep(ctx, f.For)
		h.set(f, false)
	}
}

// confirmDiskAfter is how long staff wait for a member that nothing tells whether its disk is the last one. With another disk lost too few
// of three voters are left to tell.
const confirmDiskAfter = 8 * time.Second

// confirmDisk has staff say that the disk of a member that came down with its machine is its last one, once it has waited for long.
func (h *harness) confirmDisk(ctx context.Context, f Fault) {
	for sleep(ctx, f.For+confirmDiskAfter); ctx.Err() == nil; sleep(ctx, time.Second) {
		// Refused or unreachable: it is called again.
		_, _ = (&coordinator.Client{Addresses: h.addresses[f.Member : f.Member+1]}).Do(ctx, coordinator.Call{ConfirmDisk: true})
	}
}

// never is longer than any day.
const never = 24 * time.Hour

// read are files of a member's disk as they are, by name.
func (h *harness) read(member int, names ...string) map[string][]byte {
	files := map[string][]byte{}
	for _, name := range names {
		if raw, err := os.ReadFile(filepath.Join(h.folder(member), name)); err == nil && len(raw) > 0 {
			files[name] = raw
		}
	}
	return files
}

func (h *harness) write(member int, files map[string][]byte) {
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(h.folder(member), name), raw, 0o600); err != nil {
			h.note(err.Error())
		}
	}
}

// erase removes a directory of a member; a fault whose directory stays has not happened as planned.
func (h *harness) erase(dir string) {
	if err := os.RemoveAll(dir); err != nil {
		h.note(err.Error())
	}
}

// flapEvery is how long a link that flaps is in either state.
const flapEvery = 300 * time.Millisecond

// wipesApart is how far apart two disks may be lost: a majority of voters that forgets has no history to go on by, and no
// promise holds. A voter has its place again some seconds after it is back.
const wipesApart = 12 * time.Second

// seize takes a member's process for a fault; false: another one has it. Of disks that would be lost too soon one after the
// other the second is kept.
func (h *harness) seize(f *Fault) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faultyMembers[f.Member] {
		return false
	}
	now := h.environment.Ledger().Now()
	if (f.Kind == LoseDisk || f.Kind == OutdatedDisk || f.Kind == OutdatedDiskElsewhere) && h.lastDiskLoss > 0 && now-h.lastDiskLoss < wipesApart {
		f.Kind = KillProcess
	}
	if f.Kind == LoseDisk || f.Kind == OutdatedDisk || f.Kind == OutdatedDiskElsewhere {
		h.lastDiskLoss = now + f.For
	}
	h.faultyMembers[f.Member] = true
	return true
}

func (h *harness) free(member int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.faultyMembers, member)
}

// set turns a fault of links on or off and works out what is wrong with each link now.
func (h *harness) set(f Fault, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on {
		h.linkFaults = append(h.linkFaults, f)
	} else if i := slices.Index(h.linkFaults, f); i >= 0 {
		h.linkFaults = slices.Delete(h.linkFaults, i, i+1)
	}
	for pair, k := range h.links {
		k.set(h.wrong(pair[0], pair[1], "", -1))
	}
	for _, o := range h.outerLinks {
		o.link.set(h.wrong(-1, -1, o.kind, o.member))
	}
}

// wrong is what is wrong with a link now: of two members, whose connections these are and whom they reach, or of a member to
// what a kind of faults is for. The lock is held.
func (h *harness) wrong(from, to int, outer string, member int) (now fault) {
	for _, f := range h.linkFaults {
		out, in := from == f.Member, to == f.Member
		cut := false
		switch f.Kind {
		case LoseWorkers, LoseDiscovery:
			cut = f.Kind == outer && f.Member == member
		case SplitInTwo:
			cut = outer == "" && from%2 != to%2
		case SplitInThree:
			cut = outer == "" && from%3 != to%3
		case RingTopology:
			n := len(h.addresses)
			cut = outer == "" && (from+1)%n != to && (to+1)%n != from
		}
		now.there, now.back = now.there || cut, now.back || cut
		if !out && !in {
			continue
		}
		switch f.Kind {
		case Partition:
			now.there, now.back = true, true
		case PartitionFromLeader:
			if from == f.other || to == f.other {
				now.there, now.back = true, true
			}
		case DropInbound:
			now.there, now.back = now.there || in, now.back || out
		case DropOutbound:
			now.there, now.back = now.there || out, now.back || in
		case ResetLinks:
			now.reset = true
		case DelayLinks:
			now.delay = 300 * time.Millisecond
		case LimitBandwidth:
			now.rate = 2000
		case BreakLinks:
			now.after = 700
		}
	}
	return now
}
