package cluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/report"
)

// crashKey is the name under which crashes of members are counted among the violated rules.
const crashKey = "crash"

// MaintenanceWindow is the period in which operators had a machine, as they observed it. Times are on the ledger's clock.
type MaintenanceWindow struct {
	Machine    string        `json:"Machine"`
	Workers    []int         `json:"Runners"` // numbers of the machine's workers
	ReleasedAt time.Duration `json:"Told"`    // when the reply arrived that the machine is drained
	ReturnedAt time.Duration `json:"Back"`    // right before operators returned the machine; 0: never
}

// Result is the outcome of a run. The JSON tags are the keys in the files that Append writes.
type Result struct {
	Report             *report.Report      `json:"Report"`
	MaintenanceWindows []MaintenanceWindow `json:"Works"`
	Origin             time.Duration       `json:"Origin"`  // when all members had joined and the plan was running; faults count from here
	Ended              time.Duration       `json:"Ended"`   // when the plan was first observed as ended; 0: never
	LastStatus         string              `json:"Last"`    // last observed state of the plan, or an error of the run
	Calls              int                 `json:"Calls"`   // calls of operators
	UncommittedCalls   int                 `json:"Unclear"` // calls whose reply left open whether they were committed
	Bytes              int64               `json:"Bytes"`   // over all links between members, including headers
	FirstRelease       time.Duration       `json:"First"`   // from the origin until the first machine was drained
	Silence            time.Duration       `json:"Silence"` // longest time without a confirmed reply
	Faults             []Fault             `json:"Faults"`
	Convergence        []time.Duration     `json:"Reached"` // for each disabling override: from its acknowledgement until the last member had it
	CPU                time.Duration       `json:"CPU"`     // of all members from the origin to the end; valid if none was restarted
	Messages           int64               `json:"Passed"`  // messages between members in the same period
	MessageBytes       int64               `json:"Carried"` // bytes of these messages, without headers
}

// violationCounts returns the number of violations by rule and the number of crashes. It has no zero counts.
func (r *Result) violationCounts() map[string]int {
	counts := map[string]int{}
	for _, v := range r.Report.Violations {
		counts[v.Rule]++
	}
	if r.Report.Crashes > 0 {
		counts[crashKey] = r.Report.Crashes
	}
	return counts
}

// Line returns the result of a run with the given seed as one human-readable line.
func (r *Result) Line(seed uint64) string {
	return fmt.Sprintf("seed %d: %s; %s%d machines maintained, the first drained after %.1f s; plan ended after %.1f s; longest time without a confirmed reply %.1f s; %d calls, %d with unknown outcome; goodput %.3f; %.0f kB between members; peak RSS %.1f MB; %s",
		seed, r.verdict(), r.convergenceText(), len(r.MaintenanceWindows), r.FirstRelease.Seconds(), max(r.Ended-r.Origin, 0).Seconds(), r.Silence.Seconds(),
		r.Calls, r.UncommittedCalls, r.Report.Goodput, float64(r.Bytes)/1000, r.Report.RSSPeakMB, r.timetable())
}

// verdict returns the violated rules with their numbers of violations.
func (r *Result) verdict() string {
	var violated []string
	counts := r.violationCounts()
	for _, rule := range slices.Concat(Rules, invariant.Rules, []string{crashKey}) {
		if n := counts[rule]; n > 0 {
			violated = append(violated, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(violated) == 0 {
		return "kept"
	}
	return "BROKEN " + strings.Join(violated, ", ")
}

// convergenceText returns the median and the longest convergence time of overrides; empty if there were none.
func (r *Result) convergenceText() string {
	if len(r.Convergence) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(r.Convergence))
	median, longest := sorted[len(sorted)/2], sorted[len(sorted)-1]
	return fmt.Sprintf("overrides at all members after %.2f s (median), %.2f s (maximum); ", median.Seconds(), longest.Seconds())
}

// timetable formats the faults in order of their start times.
func (r *Result) timetable() string {
	faults := slices.Clone(r.Faults)
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		target := memberName(f.Member)
		if f.Member < 0 {
			target = "the leader"
		}
		texts = append(texts, fmt.Sprintf("%s %s %.1f-%.1f", f.Kind, target, f.At.Seconds(), (f.At+f.For).Seconds()))
	}
	return strings.Join(texts, ", ")
}

// Append appends the result of a run with the given seed to a file as a line of JSON.
func (r *Result) Append(path string, seed uint64) error {
	raw, err := json.Marshal(struct {
		Seed uint64
		*Result
		Broken map[string]int
	}{seed, r, r.violationCounts()})
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
