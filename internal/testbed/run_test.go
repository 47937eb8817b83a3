package testbed

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"birchfork/internal/server"
	"birchfork/internal/testbed/baseline"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/mutant"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// dispatcherVariable is the environment variable that makes the test binary run as a dispatcher. Its value is a policy, or
// mutantPrefix followed by the name of a mutant.
const (
	dispatcherVariable = "LAB_TEST_DISPATCHER"
	mutantPrefix       = "plant:"
)

func TestMain(m *testing.M) {
	variant := os.Getenv(dispatcherVariable)
	if variant == "" {
		os.Exit(m.Run())
	}
	if err := runDispatcher(variant, os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runDispatcher runs a dispatcher with a configuration file until a signal ends it.
func runDispatcher(variant, path string) error {
	if name, ok := strings.CutPrefix(variant, mutantPrefix); ok {
		return mutant.Run(path, name)
	}
	c, err := server.Load(path, "")
	if err != nil {
		return err
	}
	log := logrus.New()
	if variant == PolicyRules {
		return server.Run(c, log, nil)
	}
	module, err := baseline.New(variant, c.Settings, c.Seed)
	if err != nil {
		return err
	}
	return server.Run(c, log, module)
}

// launchTest returns a Launch that runs the test binary as a dispatcher.
func launchTest(variant string) Launch {
	return func(config string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], config)
		cmd.Env = append(os.Environ(), dispatcherVariable+"="+variant)
		return cmd
	}
}

// loadScenario loads a built-in scenario; a length above 0 replaces its own.
func loadScenario(t *testing.T, name string, length time.Duration) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Override(0, length, 0, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

// childProcesses returns the /proc files of the running child processes of this process.
func childProcesses(t *testing.T) (out []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Skip("this system does not list processes under /proc")
	}
	for _, s := range stats {
		raw, err := os.ReadFile(s)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(raw), ") ")
		if f := strings.Fields(rest); len(f) > 2 && f[1] == fmt.Sprint(os.Getpid()) {
			out = append(out, s)
		}
	}
	return out
}

// openDescriptors returns the number of open file descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list file descriptors under /proc")
	}
	return len(all)
}

// Each mutant is caught by its kind of violation. The same dispatcher without a fault keeps all rules.
func TestRun_CatchesMutants(t *testing.T) {
	s := loadScenario(t, "proof", 0)
	var running sync.WaitGroup
	slots := make(chan struct{}, 5) // runs at a time
	for _, m := range mutant.Mutants {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := runMutant(t, s, m.Name)
			if err != nil {
				t.Errorf("%s: %v", m.Name, err)
				return
			}
			expectMutantResult(t, &m, r)
		}()
	}
	running.Wait()
}

// runMutant runs a scenario with a mutant. It repeats the run up to three times while the testbed itself ran late, because such a
// run is inconclusive.
func runMutant(t *testing.T, s *scenario.Scenario, name string) (*report.Report, error) {
	o := Options{Scenario: s, Seed: 1, Policy: "rules", Mutant: name, Launch: launchTest(mutantPrefix + name)}
	r, err := Run(t.Context(), o)
	for retries := 0; err == nil && r.RanLate && retries < 3; retries++ {
		r, err = Run(t.Context(), o)
	}
	return r, err
}

// expectMutantResult checks that a run caught its mutant, or that it found no violation where none is expected.
func expectMutantResult(t *testing.T, m *mutant.Mutant, r *report.Report) {
	switch {
	case m.Violation == "":
		if r.Broken() {
			t.Errorf("%s: violations by rule %v, crashes %v, want none", m.Name, r.Rules, r.CrashNotes)
		}
	case m.Rule == "":
		if r.Crashes == 0 || !strings.Contains(strings.Join(r.CrashNotes, "\n"), m.Violation) {
			t.Errorf("%s: no crash note contains %q: %v", m.Name, m.Violation, r.CrashNotes)
		}
	case !slices.ContainsFunc(r.Violations, func(v invariant.Violation) bool { return v.Rule == m.Rule && v.Kind == m.Violation }):
		t.Errorf("%s: no violation %s/%s: %v", m.Name, m.Rule, m.Violation, r.Rules)
	case r.Rules[m.Rule] == 0:
		t.Errorf("%s: no violation counted for rule %s", m.Name, m.Rule)
	}
}

// A run with concurrent faults: the counts agree with each other and with the generated requests, all rules are kept, and no
// process, goroutine or descriptor is left.
func TestRun_LeavesNothingBehind(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	before := openDescriptors(t)
	s := loadScenario(t, "all-at-once", 4*time.Second)
	s.Clients.LeaveShare = 0.1
	s.Faults = append(s.Faults,
		scenario.Fault{Kind: scenario.DispatcherKill, At: time.Second, For: 500 * time.Millisecond, Dispatchers: []int{1}},
		scenario.Fault{Kind: scenario.MachineSilent, At: 1500 * time.Millisecond, For: time.Second, Workers: 2},
		scenario.Fault{Kind: scenario.ListMove, At: 1200 * time.Millisecond},
	)
	r, err := Run(t.Context(), Options{Scenario: s, Seed: 3, Policy: PolicyRules, Launch: launchTest(PolicyRules)})
	if err != nil {
		t.Fatal(err)
	}
	if want := len(s.Generate(3, false).Requests); r.Requests != want || r.Served+r.Refused+r.Failed != want || want < 100 {
		t.Errorf("%d requests, want the %d generated ones, at least 100: %d served, %d refused, %d failed", r.Requests, want, r.Served, r.Refused, r.Failed)
	}
	if r.Broken() || r.Interrupted || r.Lost != 0 {
		t.Errorf("violations by rule %v, crashes %v, interrupted %v, lost %d, want none of these:\n%v", r.Rules, r.CrashNotes, r.Interrupted, r.Lost, r.Violations)
	}
	if r.Served == 0 || r.Attempts < r.Served || r.CPUPerRequest <= 0 || r.RSSPeakMB <= 0 || r.Misbehaving == nil || r.Misbehaving.Served != 0 ||
		r.Outcomes["left"] == 0 {
		t.Errorf("implausible figures: %+v", r)
	}
	share := 0.0
	for _, w := range r.Workers {
		share += w.Share
	}
	if share < 0.999 || share > 1.001 {
		t.Errorf("the workers' shares add up to %v, want 1", share)
	}
	if left := childProcesses(t); len(left) != 0 {
		t.Errorf("processes left: %v", left)
	}
	goleak.VerifyNone(t, leaks)
	if after := openDescriptors(t); after > before+2 {
		t.Errorf("%d descriptors before, %d after, want at most 2 more", before, after)
	}
}

// An interrupted run ends its dispatchers, and its report covers the first part and is marked as interrupted.
func TestRun_InterruptedReportsFirstPart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := Options{Scenario: loadScenario(t, "calm", 0), Seed: 1, Policy: PolicyRules, Launch: launchTest(PolicyRules)}
	all := len(o.Scenario.Generate(1, false).Requests)
	o.Progress = func(done, _ int) {
		if done > 20 {
			cancel()
		}
	}
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Interrupted || r.Requests <= 20 || r.Requests >= all || r.Broken() {
		t.Errorf("interrupted %v with %d of %d requests, violations by rule %v, crashes %v; want an interrupted run with more than 20 requests but not all, and no violation",
			r.Interrupted, r.Requests, all, r.Rules, r.CrashNotes)
	}
	if left := childProcesses(t); len(left) != 0 {
		t.Errorf("processes left: %v", left)
	}
}

// The error about a dispatcher that does not start quotes its output.
func TestRun_DispatcherDoesNotStart(t *testing.T) {
	_, err := Run(t.Context(), Options{Scenario: loadScenario(t, "calm", time.Second), Seed: 1, Launch: func(string) *exec.Cmd {
		return exec.Command("sh", "-c", "echo out of order >&2; exit 1")
	}})
	if err == nil || !strings.Contains(err.Error(), "out of order") {
		t.Errorf("error %v, want one with the output \"out of order\"", err)
	}
	_, err = Run(t.Context(), Options{Scenario: loadScenario(t, "calm", time.Second), Seed: 1, Launch: func(string) *exec.Cmd {
		return exec.Command("/nothing/there")
	}})
	if err == nil {
		t.Error("no error for a program that does not exist")
	}
}

// Baselines serve requests with the same engine and keep the rules.
func TestTable_Baselines(t *testing.T) {
	cells := make([]Cell, 0, len(baseline.Policies))
	for _, p := range baseline.Policies {
		cells = append(cells, Cell{"calm", p, Options{Scenario: loadScenario(t, "calm", 2*time.Second), Seed: 1, Policy: p, Launch: launchTest(p)}})
	}
	var out strings.Builder
	broken, err := Table(t.Context(), &out, cells, 3)
	if err != nil || broken || strings.Count(out.String(), "calm") != 3 || strings.Contains(out.String(), "calm  random       0.000") {
		t.Errorf("broken %v, error %v, want 3 rows, no violation and served requests:\n%s", broken, err, out.String())
	}
}

func TestOverhead_CountsRequests(t *testing.T) {
	var out strings.Builder
	err := Overhead(t.Context(), &out, OverheadOptions{Launch: launchTest(PolicyRules), Clients: []int{1, 8}, Length: 200 * time.Millisecond, Rounds: 1})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if err != nil || len(lines) != 3 || !strings.HasSuffix(lines[1], " 0") || !strings.HasSuffix(lines[2], " 0") {
		t.Errorf("error %v, want a header and 2 rows without failed requests:\n%s", err, out.String())
	}
}

// The HTML page has no external references, and a saved result can be loaded again.
func TestReport_SaveAndHTML(t *testing.T) {
	r := &report.Report{
		Version: report.Version, Scenario: "<b>", Seconds: 2, Rules: map[string]int{}, Workers: []report.WorkerLine{{Name: "w1", Share: 1, Capacity: 1}},
		Series: []report.Point{{At: 0, Requested: 3, Value: 3, Good: 2, P50: 4, P99: 9, Outcomes: map[string]int{"served": 2, "refused": 1}}, {At: 0.5}},
		Faults: []report.FaultMark{{Kind: "jump", At: 0.5, Until: 1}},
	}
	dir := t.TempDir()
	if err := r.Save(dir + "/r.json"); err != nil {
		t.Fatal(err)
	}
	back, err := report.Load(dir + "/r.json")
	if err != nil || back.Series[0].Outcomes["refused"] != 1 {
		t.Fatalf("loaded %+v, error %v, want 1 refused request in the first interval", back, err)
	}
	if err := back.HTML(dir + "/r.html"); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(dir + "/r.html")
	if err != nil || strings.Count(string(page), "<svg") != 5 || strings.Contains(string(page), "<b>") || strings.Contains(string(page), "href=\"http") ||
		strings.Contains(string(page), "src=") {
		t.Errorf("error %v, %d charts, want a page with 5 charts, escaped text and no external references", err, strings.Count(string(page), "<svg"))
	}
	if err := r.Save(dir + "/none/r.json"); err == nil {
		t.Error("no error for a directory that does not exist")
	}
	if err := report.Compare(io.Discard, [][2]*report.Report{{r, {ScheduleDigest: "other"}}}, "a", "b"); err == nil {
		t.Error("no error for results of different workloads")
	}
	var out strings.Builder
	other := *back
	other.Series = slices.Clone(back.Series)
	other.Goodput = 0.5
	if err := report.Compare(&out, [][2]*report.Report{{back, &other}}, "a", "b"); err != nil || !strings.Contains(out.String(), "goodput") {
		t.Errorf("error %v, want a comparison of goodput:\n%s", err, out.String())
	}
}
