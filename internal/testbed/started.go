package testbed

import (
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/report"
)

// freshFor is how long a dispatcher counts as just started.
const freshFor = 5 * time.Second

// countStarted counts how dispatchers did right after they started again, next to the others at the same time: what they had to
// learn anew shows there. Nil where none started during the day.
func (r *run) countStarted() *report.StartedLine {
	type span struct{ from, until time.Duration }
	fresh := map[int][]span{}
	for _, m := range r.ledger.Moments() {
		if m.What == invariant.Ready && m.At > r.load.Origin() {
			fresh[m.Dispatcher] = append(fresh[m.Dispatcher], span{m.At, m.At + freshFor})
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	in := func(dispatcher int, at time.Duration) bool {
		for _, s := range fresh[dispatcher] {
			if at >= s.from && at < s.until {
				return true
			}
		}
		return false
	}
	out := &report.StartedLine{}
	for _, t := range r.ledger.Tries() {
		timely := 0
		if t.Outcome == invariant.Served && t.Ended <= t.Due {
			timely = 1
		}
		if in(t.Dispatcher, t.Sent) {
			out.Tries, out.InTime = out.Tries+1, out.InTime+timely
			continue
		}
		for d := range fresh {
			if in(d, t.Sent) {
				out.OtherTries, out.OtherInTime = out.OtherTries+1, out.OtherInTime+timely
				break
			}
		}
	}
	return out
}
