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

// asDispatcher in the environment makes this program a dispatcher: the decider, or plant: and a fault.
const asDispatcher = "LAB_TEST_DISPATCHER"

func TestMain(m *testing.M) {
	who := os.Getenv(asDispatcher)
	if who == "" {
		os.Exit(m.Run())
	}
	if err := dispatch(who, os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func dispatch(who, path string) error {
	if fault, ok := strings.CutPrefix(who, "plant:"); ok {
		return mutant.Run(path, fault)
	}
	c, err := server.Load(path, "")
	if err != nil {
		return err
	}
	log := logrus.New()
	if who == PolicyRules {
		return server.Run(c, log, nil)
	}
	module, err := baseline.New(who, c.Settings, c.Seed)
	if err != nil {
		return err
	}
	return server.Run(c, log, module)
}

func launchTest(who string) Launch {
	return func(config string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], config)
		cmd.Env = append(os.Environ(), asDispatcher+"="+who)
		return cmd
	}
}

func loadDay(t *testing.T, name string, length time.Duration) *scenario.Scenario {
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

// children are the processes that this one has started and that run still.
func children(t *testing.T) (out []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Skip("this system does not tell of processes")
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

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not tell of descriptors")
	}
	return len(all)
}

// Each planted fault is caught by the name of its breach; the same dispatcher without one keeps all rules.
func TestRun_CatchesMutants(t *testing.T) {
	s := loadDay(t, "proof", 0)
	var all sync.WaitGroup
	side := make(chan struct{}, 5) // days at a time
	for _, f := range mutant.Mutants {
		all.Add(1)
		go func() {
			defer all.Done()
			side <- struct{}{}
			defer func() { <-side }()
			play := func() (*report.Report, error) {
				return Run(t.Context(), Options{Scenario: s, Seed: 1, Policy: "rules", Mutant: f.Name, Launch: launchTest("plant:" + f.Name)})
			}
			r, err := play()
			for again := 0; err == nil && r.RanLate && again < 3; again++ { // a day on which the rig itself had to wait says nothing
				r, err = play()
			}
			if err != nil {
				t.Errorf("%s: %v", f.Name, err)
				return
			}
			switch {
			case f.Violation == "":
				if r.Broken() {
					t.Errorf("%s: %v, %v", f.Name, r.Rules, r.CrashNotes)
				}
			case f.Rule == "":
				if r.Crashes == 0 || !strings.Contains(strings.Join(r.CrashNotes, "\n"), f.Violation) {
					t.Errorf("%s: no crash told as %q: %v", f.Name, f.Violation, r.CrashNotes)
				}
			case !slices.ContainsFunc(r.Violations, func(b invariant.Violation) bool { return b.Rule == f.Rule && b.Kind == f.Violation }):
				t.Errorf("%s: no breach %s/%s: %v", f.Name, f.Rule, f.Violation, r.Rules)
			case r.Rules[f.Rule] == 0:
				t.Errorf("%s: the rule %s counts no breach", f.Name, f.Rule)
			}
		}()
	}
	all.Wait()
}

// A day with troubles at once: counts agree with each other and with what was drawn, all rules are kept, and nothing is
// left behind.
func TestRun_LeavesNothingBehind(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	before := descriptors(t)
	s := loadDay(t, "all-at-once", 4*time.Second)
	s.Clients.Leave = 0.1
	s.Faults = append(s.Faults,
		scenario.Fault{Kind: scenario.DispKill, At: time.Second, For: 500 * time.Millisecond, Dispatchers: []int{1}},
		scenario.Fault{Kind: scenario.Silent, At: 1500 * time.Millisecond, For: time.Second, Workers: 2},
		scenario.Fault{Kind: scenario.ListMove, At: 1200 * time.Millisecond},
	)
	r, err := Run(t.Context(), Options{Scenario: s, Seed: 3, Policy: PolicyRules, Launch: launchTest(PolicyRules)})
	if err != nil {
		t.Fatal(err)
	}
	if want := len(s.Draw(3, false).Requests); r.Requests != want || r.Served+r.Refused+r.Failed != want || want < 100 {
		t.Errorf("%d requests (%d drawn): %d served, %d refused, %d failed", r.Requests, want, r.Served, r.Refused, r.Failed)
	}
	if r.Broken() || r.Interrupted || r.Lost != 0 {
		t.Errorf("rules %v, crashes %v, interrupted %v, lost %d:\n%v", r.Rules, r.CrashNotes, r.Interrupted, r.Lost, r.Violations)
	}
	if r.Served == 0 || r.Attempts < r.Served || r.CPUPerRequest <= 0 || r.RSSPeakMB <= 0 || r.Misbehaving == nil || r.Misbehaving.Served != 0 ||
		r.Outcomes["left"] == 0 {
		t.Errorf("figures that make no sense: %+v", r)
	}
	share := 0.0
	for _, w := range r.Workers {
		share += w.Share
	}
	if share < 0.999 || share > 1.001 {
		t.Errorf("the workers' shares add up to %v", share)
	}
	if left := children(t); len(left) != 0 {
		t.Errorf("processes left: %v", left)
	}
	goleak.VerifyNone(t, leaks)
	if after := descriptors(t); after > before+2 {
		t.Errorf("%d descriptors before, %d after", before, after)
	}
}

// A run that is broken off ends its dispatchers and reports its first part, marked.
func TestRun_InterruptedReportsFirstPart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := Options{Scenario: loadDay(t, "calm", 0), Seed: 1, Policy: PolicyRules, Launch: launchTest(PolicyRules)}
	all := len(o.Scenario.Draw(1, false).Requests)
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
		t.Errorf("interrupted %v with %d of %d requests, rules %v, %v", r.Interrupted, r.Requests, all, r.Rules, r.CrashNotes)
	}
	if left := children(t); len(left) != 0 {
		t.Errorf("processes left: %v", left)
	}
}

// A dispatcher that does not come up is an error with its own words, and nothing is left.
func TestRun_DispatcherDoesNotStart(t *testing.T) {
	_, err := Run(t.Context(), Options{Scenario: loadDay(t, "calm", time.Second), Seed: 1, Launch: func(string) *exec.Cmd {
		return exec.Command("sh", "-c", "echo out of order >&2; exit 1")
	}})
	if err == nil || !strings.Contains(err.Error(), "out of order") {
		t.Errorf("the error is %v", err)
	}
	_, err = Run(t.Context(), Options{Scenario: loadDay(t, "calm", time.Second), Seed: 1, Launch: func(string) *exec.Cmd {
		return exec.Command("/nothing/there")
	}})
	if err == nil {
		t.Error("a program that is not there was started")
	}
}

// Baselines serve behind the same store and keep the rules.
func TestTable_Baselines(t *testing.T) {
	cells := make([]Cell, 0, len(baseline.Policies))
	for _, p := range baseline.Policies {
		cells = append(cells, Cell{"calm", p, Options{Scenario: loadDay(t, "calm", 2*time.Second), Seed: 1, Policy: p, Launch: launchTest(p)}})
	}
	var out strings.Builder
	broken, err := Table(t.Context(), &out, cells, 3)
	if err != nil || broken || strings.Count(out.String(), "calm") != 3 || strings.Contains(out.String(), "calm  random       0.000") {
		t.Errorf("broken %v, %v:\n%s", broken, err, out.String())
	}
}

func TestOverhead_CountsRequests(t *testing.T) {
	var out strings.Builder
	err := Overhead(t.Context(), &out, OverheadOptions{Launch: launchTest(PolicyRules), Clients: []int{1, 8}, Length: 200 * time.Millisecond, Rounds: 1})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if err != nil || len(lines) != 3 || !strings.HasSuffix(lines[1], " 0") || !strings.HasSuffix(lines[2], " 0") {
		t.Errorf("%v:\n%s", err, out.String())
	}
}

// The page stands by itself, and a kept result reads back as it was.
func TestReport_SavedAndDrawn(t *testing.T) {
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
		t.Fatalf("read back %+v, %v", back, err)
	}
	if err := back.HTML(dir + "/r.html"); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(dir + "/r.html")
	if err != nil || strings.Count(string(page), "<svg") != 5 || strings.Contains(string(page), "<b>") || strings.Contains(string(page), "href=\"http") ||
		strings.Contains(string(page), "src=") {
		t.Errorf("the page is not as it should be: %v, %d pictures", err, strings.Count(string(page), "<svg"))
	}
	if err := r.Save(dir + "/none/r.json"); err == nil {
		t.Error("a result was written into a folder that is not there")
	}
	if err := report.Compare(io.Discard, [][2]*report.Report{{r, {Day: "other"}}}, "a", "b"); err == nil {
		t.Error("results of two days were compared")
	}
	var out strings.Builder
	other := *back
	other.Series = slices.Clone(back.Series)
	other.Goodput = 0.5
	if err := report.Compare(&out, [][2]*report.Report{{back, &other}}, "a", "b"); err != nil || !strings.Contains(out.String(), "goodput") {
		t.Errorf("%v: %s", err, out.String())
	}
}
