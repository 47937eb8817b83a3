package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// day is a usual day for so many members: short jobs, quick lists, no trouble of its own.
func day(members int, length time.Duration) (*scenario.Scenario, error) {
	s, err := scenario.Load("calm")
	if err != nil {
		return nil, err
	}
	if err := s.Override(60, length, workers, members); err != nil {
		return nil, err
	}
	for i := range s.Classes {
		s.Classes[i].Deadline = 2 * time.Second
	}
	s.Terms.ConnectTimeout = 300 * time.Millisecond
	s.Classes[0].Work = 600 * time.Millisecond
	s.Uneven = 0
	s.Terms.SlowStartWindow = time.Second
	s.List.Lag, s.List.Jitter = 100*time.Millisecond, 100*time.Millisecond
	return s, nil
}

// Rules broken in a run, by name.
func (r *Result) broken() map[string]int {
	out := map[string]int{}
	for _, b := range r.Report.Violations {
		out[b.Rule]++
	}
	if r.Report.Crashes > 0 {
		out["crash"] = r.Report.Crashes
	}
	return out
}

// Line says in one line what a run came to.
func (r *Result) Line(seed uint64) string {
	var broken []string
	all := r.broken()
	for _, rule := range slices.Concat(Rules, invariant.Rules, []string{"crash"}) {
		if n := all[rule]; n > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", rule, n))
		}
	}
	verdict := "kept"
	if len(broken) > 0 {
		verdict = "BROKEN " + strings.Join(broken, ", ")
	}
	words := ""
	if n := len(r.Convergence); n > 0 {
		all := slices.Sorted(slices.Values(r.Convergence))
		words = fmt.Sprintf("words at all members after %.2f s, the last after %.2f s, ", all[n/2].Seconds(), all[n-1].Seconds())
	}
	return fmt.Sprintf("seed %d: %s; %s%d machines, first one after %.1f s, plan through after %.1f s, %.1f s without a settled answer, %d calls (%d open), goodput %.3f, %.0f kB, %.1f MB; %s",
		seed, verdict, words, len(r.MachineWorks), r.FirstRelease.Seconds(), max(r.Ended-r.Origin, 0).Seconds(), r.Silence.Seconds(), r.Calls, r.UncommittedCalls,
		r.Report.Goodput, float64(r.Bytes)/1000, r.Report.RSSPeakMB, r.story())
}

// story is the faults in their order.
func (r *Result) story() string {
	all := slices.Clone(r.Faults)
	slices.SortFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	out := make([]string, 0, len(all))
	for _, f := range all {
		who := fmt.Sprintf("d%d", f.Member)
		if f.Member < 0 {
			who = "the leader"
		}
		out = append(out, fmt.Sprintf("%s %s %.1f-%.1f", f.Kind, who, f.At.Seconds(), (f.At+f.For).Seconds()))
	}
	return strings.Join(out, ", ")
}

// Append adds a run to a file, as a line of JSON.
func (r *Result) Append(path string, seed uint64) error {
	raw, err := json.Marshal(struct {
		Seed uint64
		*Result
		Broken map[string]int
	}{seed, r, r.broken()})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(append(raw, '\n'))
	return err
}

// Sum sums runs up.
type Sum struct {
	Runs, Broken, Machines int
	took, silence          *hdrhistogram.Histogram // milliseconds
}

// Add adds a run.
func (s *Sum) Add(r *Result) {
	if s.took == nil {
		s.took = hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
		s.silence = hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	}
	s.Runs++
	s.Machines += len(r.MachineWorks)
	if len(r.broken()) > 0 {
		s.Broken++
	}
	// Both stay below the histograms' maximum of an hour: a run is shorter.
	_ = s.silence.RecordValue(r.Silence.Milliseconds())
	if r.Ended > r.Origin {
		_ = s.took.RecordValue((r.Ended - r.Origin).Milliseconds())
	}
}

// Line says in one line what they came to.
func (s *Sum) Line() string {
	if s.took == nil {
		return "no run"
	}
	seconds := func(ms int64) float64 { return float64(ms) / 1000 }
	return fmt.Sprintf("%d runs, %d with a broken rule or a crash; %d machines worked on; %d plans through, median %.1f s, worst %.1f s; "+
		"longest time without a settled answer: median %.1f s, worst %.1f s",
		s.Runs, s.Broken, s.Machines, s.took.TotalCount(), seconds(s.took.ValueAtQuantile(50)), seconds(s.took.Max()),
		seconds(s.silence.ValueAtQuantile(50)), seconds(s.silence.Max()))
}
