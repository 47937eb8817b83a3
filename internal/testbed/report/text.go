package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"birchfork/internal/testbed/invariant"
)

// Limits of a summary; the JSON form holds more.
const (
	maxViolationsShown = 12
	maxWorkersShown    = 12
)

// Text writes a human-readable summary of the run.
func (r *Report) Text(w io.Writer) error {
	t := &textTable{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	r.writeRun(t)
	r.writeRequests(t)
	r.writeParts(t)
	r.writeProcesses(t)
	r.writeConditions(t)
	r.writeTestbed(t)
	r.writeRules(t)
	if err := t.w.Flush(); err != nil {
		return err
	}
	r.writeViolations(w)
	r.writeRemarks(w)
	_, err := fmt.Fprintln(w, r.conclusion())
	return err
}

// textTable is a table of two columns: names and values.
type textTable struct{ w *tabwriter.Writer }

// row adds a row. Its second column is made of format and values.
func (t *textTable) row(name, format string, values ...any) {
	fmt.Fprintf(t.w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
}

// writeRun writes the scenario, the seed and the size of the run.
func (r *Report) writeRun(t *textTable) {
	t.row("scenario", "%s, seed %d, day %s, policy %s%s", r.Scenario, r.Seed, r.ScheduleDigest, r.Policy, mutantSuffix(r.Mutant))
	t.row("played", "%.0f s, %.0f requests/s (%.2f of the capacity), %d workers, %d dispatchers",
		r.Seconds, r.Rate, r.Load, len(r.Workers), r.Dispatchers)
}

// writeRequests writes the outcomes of requests, their latency and the cost of retries.
func (r *Report) writeRequests(t *textTable) {
	t.row("requests", "%d: %d served, %d in time, %d refused, %d failed", r.Requests, r.Served, r.ServedInTime, r.Refused, r.Failed)
	t.row("goodput", "%.3f (worth in time over worth asked)", r.Goodput)
	if len(r.Faults) > 0 {
		t.row("in trouble", "goodput %.3f while a trouble was on; %s", r.GoodputInFault, r.recoveryText())
	}
	l := &r.Latency
	t.row("latency ms", "p50 %.0f  p90 %.0f  p99 %.0f  p99.9 %.0f  max %.0f", l.P50, l.P90, l.P99, l.P999, l.Max)
	t.row("tries", "%.3f retries a request; %d attempts at workers; %.1f%% of their work served nobody",
		r.RetriesPerRequest, r.Attempts, 100*r.WastedWork)
}

// recoveryText describes the time to recover from the last fault.
func (r *Report) recoveryText() string {
	if r.Recovery < 0 {
		return "not as before again within the run"
	}
	return fmt.Sprintf("as before %.1f s after the last", r.Recovery)
}

// writeParts writes a row per class and per tenant.
func (r *Report) writeParts(t *textTable) {
	for _, c := range r.Classes {
		t.row("class "+c.Name, "%d, goodput %.3f, p50 %.0f ms, p99 %.0f ms", c.Requests, c.Goodput, c.Latency.P50, c.Latency.P99)
	}
	for _, tenant := range r.Tenants {
		t.row("tenant "+tenant.Name, "%d, goodput %.3f, p99 %.0f ms", tenant.Requests, tenant.Goodput, tenant.Latency.P99)
	}
}

// writeProcesses writes the resource usage of the dispatchers and each worker's share of the work.
func (r *Report) writeProcesses(t *textTable) {
	t.row("dispatchers", "%.0f us of CPU a request, %.1f MB at the most, %d descriptors at the most", r.CPUPerRequest, r.RSSPeakMB, r.FDPeak)
	shares := make([]string, 0, maxWorkersShown+1)
	for i, worker := range r.Workers {
		if i == maxWorkersShown {
			shares = append(shares, fmt.Sprintf("and %d more", len(r.Workers)-i))
			break
		}
		shares = append(shares, fmt.Sprintf("%s %.0f%%", worker.Name, 100*worker.Share))
	}
	t.row("work by worker", "%s", strings.Join(shares, "  "))
}

// writeConditions writes the faults, the misbehaving clients and the requests right after restarts.
func (r *Report) writeConditions(t *textTable) {
	for _, f := range r.Faults {
		t.row("trouble", "%.1f to %.1f s: %s %s", f.At, f.Until, f.Kind, f.Target)
	}
	if m := r.Misbehaving; m != nil {
		t.row("rude clients", "%d sent: %d answered or closed, %d ignored, %d served", m.Sent, m.Answered, m.Ignored, m.Served)
	}
	if s := r.AfterRestarts; s != nil {
		t.row("right after a start", "%d of %d in time within 5 s; of the others' meanwhile %d of %d", s.InTime, s.Tries, s.OtherInTime, s.OtherTries)
	}
}

// writeTestbed writes the lag and the throughput of the testbed itself, which limit the figures.
func (r *Report) writeTestbed(t *textTable) {
	throughput := ""
	if r.Testbed.MaxThroughput > 0 {
		throughput = fmt.Sprintf("; ceiling %.0f requests/s straight at a worker", r.Testbed.MaxThroughput)
	}
	t.row("the rig", "late by %.1f ms at p99, %.1f at the most%s", r.Testbed.LagP99, r.Testbed.LagMax, throughput)
}

// writeRules writes the number of violations of each rule.
func (r *Report) writeRules(t *textTable) {
	rules := make([]string, 0, len(invariant.Rules))
	for _, name := range invariant.Rules {
		rules = append(rules, fmt.Sprintf("%s %d", name, r.Rules[name]))
	}
	t.row("rules broken", "%s; crashes %d", strings.Join(rules, ", "), r.Crashes)
}

// writeViolations writes the first violations with their evidence, then the crashes.
func (r *Report) writeViolations(w io.Writer) {
	for i, v := range r.Violations {
		if i == maxViolationsShown {
			fmt.Fprintf(w, "... and more; --json keeps the first %d\n", len(r.Violations))
			break
		}
		fmt.Fprintln(w, v)
	}
	for _, c := range r.CrashNotes {
		fmt.Fprintln(w, "crash:", c)
	}
}

// writeRemarks warns of figures that are unreliable or incomplete.
func (r *Report) writeRemarks(w io.Writer) {
	if r.RanLate {
		fmt.Fprintln(w, "The rig itself ran late: this machine was too busy, and the figures are worth little.")
	}
	if r.Interrupted {
		fmt.Fprintln(w, "The run was broken off: the figures are of its first part.")
	}
}

// conclusion returns the last line of the summary.
func (r *Report) conclusion() string {
	if r.Broken() {
		return "A rule was broken, or a dispatcher crashed."
	}
	return "All rules were kept."
}

// mutantSuffix names the mutant for the end of the row of the scenario. It is empty without one.
func mutantSuffix(name string) string {
	if name == "" {
		return ""
	}
	return ", planted fault " + name
}
