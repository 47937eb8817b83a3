package cluster

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/failpoint"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// Options configures a run.
type Options struct {
	Scenario
	Seed   uint64
	Logs   string // directory for the members' logs; empty: none
	Launch Launcher
}

// Launcher returns the command that starts a member with the platform's and the operators' configuration files, and with a failpoint
// switched on unless its name is empty.
type Launcher func(failpointName, config, operator string) *exec.Cmd

// harness is the state of one run.
type harness struct {
	options     Options
	scenario    *scenario.Scenario // the load and fleet that the group serves
	dir         string             // the members' files
	addresses   []string           // where each member listens for the others
	links       map[[2]int]*link   // by the numbers of the member that connects and of the one that it reaches
	environment *testbed.Environment

	mu                 sync.Mutex
	outerLinks         []outerLink // to workers and discovery, in runs with faults there
	maintenanceWindows []MaintenanceWindow
	statuses           []observedStatus
	result             *Result
	processStarts      map[string]int // processes started so far, by the member's name
	reconfigured       bool           // members get the full deadlines
	injected           []Fault        // the faults that began; At is on the ledger's clock
	writtenOverrides   []writtenOverride
	overrideReplies    map[int]overrideReply // each member's latest
	linkFaults         []Fault               // active faults of links
	workerOutages      []workerOutage
	faultyMembers      map[int]bool  // members with a process fault
	lastDiskLoss       time.Duration // when a disk was last lost, on the ledger's clock; 0: never
}

// workerOutage is a time for which a worker was down or disabled, on the ledger's clock; until 0: it did not end.
type workerOutage struct{ from, until time.Duration }

// observedStatus is a member's answer to a status call, with its times on the ledger's clock.
type observedStatus struct {
	requestedAt, receivedAt time.Duration
	status                  coordinator.Status
}

// Run starts a group, plays its scenario and checks the invariants. An error means that the run could not be set up or finished; broken
// invariants are in the result's report.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	h, err := newHarness(o)
	if err != nil {
		return nil, err
	}
	defer h.close()
	if err := h.createLinks(); err != nil {
		return nil, err
	}
	if err := h.writeOperatorFiles(h.options.Joins); err != nil {
		return nil, err
	}
	h.result.Faults = append(slices.Clone(o.Faults), h.randomFaults()...)
	h.options.Overrides = append(slices.Clone(h.options.Overrides), h.randomOverrides()...)
	finished, err := testbed.Run(ctx, h.testbedOptions())
	if err != nil {
		return nil, err
	}
	h.completeResult(finished)
	return h.result, nil
}

// newHarness returns a harness with a directory of its own, which close removes.
func newHarness(o Options) (*harness, error) {
	h := &harness{
		options:         o,
		links:           map[[2]int]*link{},
		result:          &Result{},
		faultyMembers:   map[int]bool{},
		overrideReplies: map[int]overrideReply{},
		processStarts:   map[string]int{},
	}
	var err error
	if h.scenario, err = baseScenario(o.Members, o.For); err != nil {
		return nil, err
	}
	if h.dir, err = os.MkdirTemp("", "birchfork-group-"); err != nil {
		return nil, fmt.Errorf("a folder for the members: %w", err)
	}
	return h, nil
}

// close closes all links and removes the members' files.
func (h *harness) close() {
	for _, l := range h.links {
		l.close()
	}
	for _, o := range h.outerLinks {
		o.link.close()
	}
	_ = os.RemoveAll(h.dir) // what is left lies in the temporary directory
}

// testbedOptions returns the options of the testbed's run below the group.
func (h *harness) testbedOptions() testbed.Options {
	return testbed.Options{
		Scenario:           h.scenario,
		Seed:               h.options.Seed,
		Policy:             testbed.PolicyRules,
		Alongside:          h.play,
		AdditionalCheck:    h.checkInvariants,
		WorkerAddress:      h.outerLinkMapper(LoseWorkers),
		DiscoveryAddress:   h.outerLinkMapper(LoseDiscovery),
		StartTimeout:       h.options.For, // without a majority a member without its disk sends nothing, and so does not serve
		ConfiguredScenario: h.deliveredScenario,
		KeepFirstList:      h.options.OldLists,
		Logs:               h.options.Logs,
		Launch:             h.launch,
	}
}

// launch returns the command that starts the member of a configuration file.
func (h *harness) launch(config string) *exec.Cmd {
	name := strings.TrimSuffix(filepath.Base(config), ".json")
	cmd := h.options.Launch(h.failpointFor(name), config, h.operatorFile(name))
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "TMPDIR="+h.dir, "EDGE_OPERATOR=127.0.0.1:0")
	return cmd
}

// failpointFor returns the failpoint of the next process of a member, and counts the process.
func (h *harness) failpointFor(name string) string {
	selected := h.options.Failpoint
	for _, single := range []struct {
		failpoint string
		member    int
	}{
		{failpoint.DiskFull, h.options.Failing},
		{failpoint.DiskStall, h.options.StallingDisk},
		{failpoint.NewerEntries, h.options.NewerEntries},
	} {
		if single.member > 0 && name == memberName(single.member) {
			selected = single.failpoint
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processStarts[name]++
	if h.options.OlderBuild > 0 && name == memberName(h.options.OlderBuild) && h.processStarts[name] == 1 {
		selected = failpoint.OlderBuild
	}
	return selected
}

// completeResult fills in what is known at the end of the run.
func (h *harness) completeResult(finished *report.Report) {
	for _, l := range h.links {
		l.mu.Lock()
		h.result.Bytes += l.bytes
		l.mu.Unlock()
	}
	h.result.Report, h.result.MaintenanceWindows = finished, h.maintenanceWindows
	h.addFaultMarks(finished)
	if len(h.maintenanceWindows) > 0 {
		h.result.FirstRelease = h.maintenanceWindows[0].ReleasedAt - h.result.Origin
	}
	slices.SortFunc(h.statuses, func(a, b observedStatus) int { return cmp.Compare(a.receivedAt, b.receivedAt) })
	var last time.Duration
	for _, s := range h.statuses {
		if !s.status.Confirmed {
			continue
		}
		if last > 0 {
			h.result.Silence = max(h.result.Silence, s.receivedAt-last)
		}
		last = s.receivedAt
	}
}

// addFaultMarks adds faults, maintenance windows and overrides to the report's timetable.
func (h *harness) addFaultMarks(finished *report.Report) {
	seconds := func(at time.Duration) float64 { return (at - h.environment.Origin()).Seconds() }
	mark := func(kind, whom string, from, until time.Duration) {
		finished.Faults = append(finished.Faults, report.FaultMark{Kind: kind, At: seconds(from), Until: seconds(until), Target: whom})
	}
	for _, f := range h.injected {
		whom := fmt.Sprintf("dispatcher %d", f.Member)
		if f.isOf(workerFaults) {
			whom = fmt.Sprintf("worker %d", f.Member)
		}
		mark(f.Kind, whom, f.At, f.At+f.For)
	}
	for _, w := range h.maintenanceWindows {
		mark("with staff", w.Machine, w.ReleasedAt, max(w.ReturnedAt, w.ReleasedAt))
	}
	for _, w := range h.writtenOverrides {
		kind := "word back"
		if w.Disabled {
			kind = "word out"
		}
		mark(kind, fmt.Sprintf("%s, at dispatcher %d", w.name, w.Member), w.requestedAt, w.acknowledgedAt)
	}
}

// recordStatus records what was last seen of the plan, or what kept it from going on.
func (h *harness) recordStatus(last string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.LastStatus = last
}
