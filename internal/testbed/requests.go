package testbed

import (
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// seriesInterval is the length of one interval of the report's time series.
const seriesInterval = 500 * time.Millisecond

// requestSummary aggregates the client requests of a run, or of a class, a tenant or an interval of it.
type requestSummary struct {
	requested, inTime int
	value             float64 // total value if every request were answered in time
	good              float64 // value that was achieved
	latency           report.Histogram
	outcomes          map[string]int
}

func newRequestSummary() *requestSummary {
	return &requestSummary{latency: report.NewHistogram(), outcomes: map[string]int{}}
}

func newRequestSummaries(n int) []*requestSummary {
	all := make([]*requestSummary, n)
	for i := range all {
		all[i] = newRequestSummary()
	}
	return all
}

// goodput returns the share of the value that was achieved, or 0 without requests.
func (s *requestSummary) goodput() float64 {
	if s.value == 0 {
		return 0
	}
	return s.good / s.value
}

// line returns the summary as a line of the report.
func (s *requestSummary) line(name string) report.PartLine {
	return report.PartLine{Name: name, Requests: s.requested, InTime: s.inTime, Goodput: s.goodput(), Latency: s.latency.Latency()}
}

// requestCounter aggregates client requests by class, tenant and interval of arrival.
type requestCounter struct {
	run       *run
	total     *requestSummary
	classes   []*requestSummary
	tenants   []*requestSummary
	intervals []*requestSummary
	retries   int
}

// countRequests adds the outcomes of the clients' requests to the report.
func (r *run) countRequests(out *report.Report) {
	s := r.schedule.Scenario
	counter := &requestCounter{
		run: r, total: newRequestSummary(), classes: newRequestSummaries(len(s.Classes)), tenants: newRequestSummaries(len(s.Tenants)),
		intervals: newRequestSummaries(int((s.For + seriesInterval - 1) / seriesInterval)),
	}
	for i, result := range r.load.Results() {
		if result.Requested {
			counter.add(out, &r.schedule.Requests[i], &result)
		}
	}
	out.Goodput, out.Latency = counter.total.goodput(), counter.total.latency.Latency()
	out.RetriesPerRequest = float64(counter.retries) / float64(max(out.Requests, 1))
	for i, c := range s.Classes {
		out.Classes = append(out.Classes, counter.classes[i].line(c.Name))
	}
	for i, t := range s.Tenants {
		out.Tenants = append(out.Tenants, counter.tenants[i].line(t.Name))
	}
	counter.addSeries(out)
}

// add counts one client request with its result.
func (c *requestCounter) add(out *report.Report, request *scenario.Request, result *loadgen.Result) {
	schedule := c.run.schedule
	latency := result.Ended - c.run.load.Origin() - request.At
	value := schedule.Value(request)
	good, inTime := 0.0, false
	out.Requests++
	c.retries += result.Tries - 1
	switch result.Outcome {
	case invariant.Served:
		out.Served++
		inTime = latency <= schedule.LatencyObjective(request)
		good = value * schedule.Scenario.Classes[request.Class].LateWeight
		if inTime {
			good = value
			out.ServedInTime++
		}
	case invariant.Refused:
		out.Refused++
	default:
		out.Failed++
	}
	for _, s := range c.summariesOf(request) {
		s.requested++
		s.value += value
		s.good += good
		s.outcomes[result.Outcome.String()]++
		if inTime {
			s.inTime++
		}
		if result.Outcome == invariant.Served {
			s.latency.Add(latency)
		}
	}
}

// summariesOf returns the summaries that include a request.
func (c *requestCounter) summariesOf(request *scenario.Request) []*requestSummary {
	interval := min(int(request.At/seriesInterval), len(c.intervals)-1)
	all := []*requestSummary{c.total, c.classes[request.Class], c.intervals[interval]}
	if request.Tenant >= 0 {
		all = append(all, c.tenants[request.Tenant])
	}
	return all
}

// addSeries adds the time series to the report.
func (c *requestCounter) addSeries(out *report.Report) {
	for i, s := range c.intervals {
		if s.requested > 0 || !out.Interrupted {
			out.Series = append(out.Series, report.Point{
				At: (time.Duration(i) * seriesInterval).Seconds(), Requested: s.requested, InTime: s.inTime, Value: s.value, Good: s.good,
				P50: s.latency.At(50), P99: s.latency.At(99), Outcomes: s.outcomes,
			})
		}
	}
}
