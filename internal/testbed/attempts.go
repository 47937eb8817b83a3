package testbed

import (
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/report"
)

// countAttempts adds the clients' tries and the workers' attempts to the report. An attempt that ran counts as wasted
// work if no client got its result.
func (r *run) countAttempts(out *report.Report) {
	servedResults := map[string]uint64{} // by request id
	for _, t := range r.ledger.Tries() {
		out.Tries++
		out.Outcomes[t.Outcome.String()]++
		if t.Outcome == invariant.Served {
			servedResults[t.ID] = t.Result
		}
	}
	ran, wasted := 0, 0
	for _, a := range r.ledger.Attempts() {
		out.Attempts++
		if !a.Ran {
			continue
		}
		ran++
		result, served := servedResults[a.ID]
		if !served || a.End != invariant.Done || a.Result != result {
			wasted++
		}
	}
	out.WastedWork = float64(wasted) / float64(max(ran, 1))
}

// addWorkerLines adds each worker's share of the work done and its share of the fleet's capacity.
func (r *run) addWorkerLines(out *report.Report) {
	totalWork, totalCapacity := time.Duration(0), 0.0
	for i, w := range r.fleet.Workers {
		_, work, _ := w.Stats()
		totalWork += work
		totalCapacity += float64(r.schedule.Workers[i].Cores) * r.schedule.Workers[i].Speed
	}
	for i, w := range r.fleet.Workers {
		jobs, work, overloads := w.Stats()
		spec := &r.schedule.Workers[i]
		out.Workers = append(out.Workers, report.WorkerLine{
			Name: w.Name, Kind: spec.Kind, Jobs: jobs, Share: work.Seconds() / max(totalWork.Seconds(), 1e-9),
			Capacity: float64(spec.Cores) * spec.Speed / totalCapacity, Overloads: overloads,
		})
	}
}
