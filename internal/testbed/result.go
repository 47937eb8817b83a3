package testbed

import (
	"fmt"
	"strings"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

const (
	lateThreshold = 40 * time.Millisecond // for the testbed's own lag at p99; a run above it is reported as late
	maxViolations = 200                   // kept in a report
)

// report summarises the run.
func (r *run) report(verdict *invariant.Verdict) *report.Report {
	s := r.schedule.Scenario
	out := &report.Report{
		Version: report.Version, Scenario: s.Name, About: s.About, Seed: r.schedule.Seed, ScheduleDigest: r.schedule.Digest(),
		Seconds: s.For.Seconds(), Rate: s.Rate, Load: s.Load(), Dispatchers: s.Dispatchers,
		Rules: verdict.Count(), Crashes: len(verdict.Crashes), Lost: verdict.Lost, Excused: verdict.Excused, Outcomes: map[string]int{},
		Testbed: report.TestbedLine{
			LagP99: max(r.arrivalLag.At(99), r.clockLag.At(99)), LagMax: max(r.arrivalLag.At(100), r.clockLag.At(100)),
			Slack: r.terms().Slack.Seconds() * 1000,
		},
	}
	out.RanLate = out.Testbed.LagP99 > lateThreshold.Seconds()*1000
	out.Violations = verdict.Violations[:min(len(verdict.Violations), maxViolations)]
	for _, c := range verdict.Crashes {
		note := fmt.Sprintf("dispatcher %d %s at %.3fs: %s", c.Dispatcher, c.Kind, c.At.Seconds(), c.Detail)
		out.CrashNotes = append(out.CrashNotes, strings.TrimRight(note, ": "))
	}
	r.countRequests(out)
	r.countAttempts(out)
	r.addWorkerLines(out)
	out.AfterRestarts = r.countAfterRestarts()
	r.addUsage(out)
	r.addFaults(out)
	r.addMisbehavingClients(out)
	return out
}

// addUsage adds the resource usage of all dispatchers.
func (r *run) addUsage(out *report.Report) {
	total := usage{}
	for _, d := range r.dispatchers {
		u := d.used()
		total.cpu += u.cpu
		total.rss = max(total.rss, u.rss)
		total.fds = max(total.fds, u.fds)
	}
	out.CPUPerRequest = float64(total.cpu.Microseconds()) / float64(max(out.Tries, 1))
	out.RSSPeakMB = float64(total.rss) / (1 << 20)
	out.FDPeak = total.fds
}

// addFaults adds the injected faults, the goodput during them and the time to recover from them.
func (r *run) addFaults(out *report.Report) {
	for _, e := range r.schedule.Events {
		out.Faults = append(out.Faults, report.FaultMark{Kind: e.Kind, At: e.At.Seconds(), Until: e.Until.Seconds(), Target: r.describeTarget(&e)})
	}
	out.SummarizeFaults()
}

// addMisbehavingClients adds the counts of misbehaving clients, if there were any. Each one that was served is a
// violation, because its input is not a valid request.
func (r *run) addMisbehavingClients(out *report.Report) {
	clients := &r.faults.misbehaving
	if clients.Sent.Load() == 0 {
		return
	}
	out.Misbehaving = &report.MisbehavingLine{
		Sent: clients.Sent.Load(), Answered: clients.Answered.Load(), Ignored: clients.Ignored.Load(), Served: clients.Served.Load(),
		NotConnected: clients.NotConnected.Load(),
	}
	if out.Misbehaving.Served > 0 {
		out.Rules[invariant.Answers] += int(out.Misbehaving.Served)
	}
}

// describeTarget returns what a fault affects, as the report shows it.
func (r *run) describeTarget(e *scenario.Event) string {
	switch e.Kind {
	case scenario.TrafficJump:
		return fmt.Sprintf("%g times the traffic", e.Factor)
	case scenario.TenantFlood:
		return fmt.Sprintf("%s, %g times", r.schedule.Scenario.Tenants[e.Tenant].Name, e.Factor)
	case scenario.ListLate, scenario.ListSilent, scenario.ListWrong, scenario.ListMove, scenario.DispatcherKill, scenario.DispatcherTerminate,
		scenario.DispatcherReload, scenario.IdleClients, scenario.MisbehavingClients:
		if len(e.Dispatchers) == len(r.dispatchers) {
			return "all dispatchers"
		}
		return "dispatcher " + strings.Trim(fmt.Sprint(e.Dispatchers), "[]")
	}
	if len(e.Workers) == len(r.schedule.Workers) {
		return "all workers"
	}
	var names []string
	for _, w := range e.Workers {
		names = append(names, r.schedule.Workers[w].Name)
	}
	return strings.Join(names, " ")
}
