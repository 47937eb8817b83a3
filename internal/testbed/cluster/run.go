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

// Launcher returns the command that starts a member with the configuration files of the platform and of the operator. It enables a
// failpoint unless failpointName is empty.
type Launcher func(failpointName, config, operator string) *exec.Cmd

// harness is the state of one run.
type harness struct {
	options     Options
	scenario    *scenario.Scenario // load and fleet of the group
	dir         string             // the members' files
	addresses   []string           // on which each member listens for the others
	links       map[[2]int]*link   // by the numbers of the connecting member and of its target
	environment *testbed.Environment

	mu                 sync.Mutex
	outerLinks         []outerLink // to workers and discovery, in runs with faults of these links
	maintenanceWindows []MaintenanceWindow
	statuses           []observedStatus
	result             *Result
	processStarts      map[string]int // processes started so far, by the member's name
	reconfigured       bool           // members are configured with the full deadlines
	injected           []Fault        // faults that have begun; At is on the ledger's clock
	writtenOverrides   []writtenOverride
	overrideReplies    map[int]overrideReply // latest reply of each member
	linkFaults         []Fault               // active faults of links
	workerOutages      []workerOutage
	faultyMembers      map[int]bool  // members with a process fault
	lastDiskLoss       time.Duration // when a disk was or will be lost last, on the ledger's clock; 0: never
}

// workerOutage is a period in which a worker was down or disabled, on the ledger's clock; until is 0 if it did not end.
type workerOutage struct{ from, until time.Duration }

// observedStatus is a member's reply to a status call. Times are on the ledger's clock.
type observedStatus struct {
	requestedAt, receivedAt time.Duration
	status                  coordinator.Status
}

// Run starts a group, executes its scenario and checks the invariants. An error means that the run could not be set up or completed;
// violations are in the result's report.
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
	if err := h.writeOperatorFiles(h.options.JoiningMember); err != nil {
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

// newHarness returns a harness with its own directory, which close removes.
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
		return nil, fmt.Errorf("creating the members' directory: %w", err)
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
	_ = os.RemoveAll(h.dir) // leftovers remain in the temporary directory
}

// testbedOptions returns the options of the underlying testbed run.
func (h *harness) testbedOptions() testbed.Options {
	return testbed.Options{
		Scenario:           h.scenario,
		Seed:               h.options.Seed,
		Policy:             testbed.PolicyRules,
		Alongside:          h.execute,
		AdditionalCheck:    h.checkInvariants,
		WorkerAddress:      h.outerLinkMapper(LoseWorkers),
		DiscoveryAddress:   h.outerLinkMapper(LoseDiscovery),
		StartTimeout:       h.options.For, // a member that lost its disk does not serve until a majority is reachable
		ConfiguredScenario: h.deliveredScenario,
		KeepFirstList:      h.options.OldLists,
		Logs:               h.options.Logs,
		Launch:             h.launch,
	}
}

// launch returns the command that starts the member to which a configuration file belongs.
func (h *harness) launch(config string) *exec.Cmd {
	name := strings.TrimSuffix(filepath.Base(config), ".json")
	cmd := h.options.Launch(h.failpointFor(name), config, h.operatorFile(name))
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "TMPDIR="+h.dir, "EDGE_OPERATOR=127.0.0.1:0")
	return cmd
}

// failpointFor returns the failpoint for the next process of a member and counts that process.
func (h *harness) failpointFor(name string) string {
	selected := h.options.Failpoint
	for _, single := range []struct {
		failpoint string
		member    int
	}{
		{failpoint.DiskFull, h.options.FullDisk},
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

// completeResult sets the fields of the result that are known at the end of the run.
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
	mark := func(kind, target string, from, until time.Duration) {
		finished.Faults = append(finished.Faults, report.FaultMark{Kind: kind, At: seconds(from), Until: seconds(until), Target: target})
	}
	for _, f := range h.injected {
		target := fmt.Sprintf("dispatcher %d", f.Member)
		if f.isOneOf(workerFaults) {
			target = fmt.Sprintf("worker %d", f.Member)
		}
		mark(f.Kind, target, f.At, f.At+f.For)
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

// recordStatus records the last observed state of the plan, or an error of the run.
func (h *harness) recordStatus(last string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.LastStatus = last
}
