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

// MaintenanceWindow is the time for which operators had a machine, as they observed it. Times are on the ledger's clock.
type MaintenanceWindow struct {
	Machine    string        `json:"Machine"`
	Workers    []int         `json:"Runners"` // by their numbers
	ReleasedAt time.Duration `json:"Told"`    // when the answer came that the machine is drained
	ReturnedAt time.Duration `json:"Back"`    // right before they returned the machine; 0: they never did
}

// Result is the outcome of a run. Its JSON keys are those of the files that Append writes.
type Result struct {
	Report             *report.Report      `json:"Report"`
	MaintenanceWindows []MaintenanceWindow `json:"Works"`
	Origin             time.Duration       `json:"Origin"`  // when all members were in and the plan ran: faults count from here
	Ended              time.Duration       `json:"Ended"`   // when the plan was first seen to have ended; 0: it was not
	LastStatus         string              `json:"Last"`    // what was last seen of the plan
	Calls              int                 `json:"Calls"`   // operators' calls
	UncommittedCalls   int                 `json:"Unclear"` // ... whose outcome was open when they were answered
	Bytes              int64               `json:"Bytes"`   // over all links between members, with headers
	FirstRelease       time.Duration       `json:"First"`   // from the origin until the first machine was drained
	Silence            time.Duration       `json:"Silence"` // the longest time without a confirmed answer
	Faults             []Fault             `json:"Faults"`
	Convergence        []time.Duration     `json:"Reached"` // from each disabling override's acknowledgement until the last member had it
	CPU                time.Duration       `json:"CPU"`     // of all members from the origin to the end, where none was restarted
	Messages           int64               `json:"Passed"`  // messages between members over the same time
	MessageBytes       int64               `json:"Carried"` // ... and their bytes, without headers
}

// violationCounts returns the number of violations by rule, and of crashes, without those of none.
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

// Line returns the result of a run with a seed as one line for people.
func (r *Result) Line(seed uint64) string {
	return fmt.Sprintf("seed %d: %s; %s%d machines, first one after %.1f s, plan through after %.1f s, %.1f s without a settled answer, %d calls (%d open), goodput %.3f, %.0f kB, %.1f MB; %s",
		seed, r.verdict(), r.convergenceText(), len(r.MaintenanceWindows), r.FirstRelease.Seconds(), max(r.Ended-r.Origin, 0).Seconds(), r.Silence.Seconds(),
		r.Calls, r.UncommittedCalls, r.Report.Goodput, float64(r.Bytes)/1000, r.Report.RSSPeakMB, r.timetable())
}

// verdict returns which rules were violated, and how often.
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

// convergenceText returns the median and the longest time that overrides took to all members; empty: there were none.
func (r *Result) convergenceText() string {
	if len(r.Convergence) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(r.Convergence))
	median, longest := sorted[len(sorted)/2], sorted[len(sorted)-1]
	return fmt.Sprintf("words at all members after %.2f s, the last after %.2f s, ", median.Seconds(), longest.Seconds())
}

// timetable returns the faults in the order of their times.
func (r *Result) timetable() string {
	faults := slices.Clone(r.Faults)
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		who := memberName(f.Member)
		if f.Member < 0 {
			who = "the leader"
		}
		texts = append(texts, fmt.Sprintf("%s %s %.1f-%.1f", f.Kind, who, f.At.Seconds(), (f.At+f.For).Seconds()))
	}
	return strings.Join(texts, ", ")
}

// Append appends the result of a run with a seed to a file, as a line of JSON.
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
