package testbed

import (
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// propagationDeadline is the time after which a dispatcher counts as notified of an endpoint update that its discovery agent
// offers.
const propagationDeadline = 6 * time.Second

// terms returns the parameters of the rules for the invariant checker. The slack of the time limits includes the testbed's own
// lag.
func (r *run) terms() invariant.Terms {
	s := r.schedule.Scenario
	t := invariant.Terms{
		Attempts: s.Terms.Attempts, DrainGrace: s.Terms.DrainGrace, PropagationDeadline: propagationDeadline,
		Slack: invariant.DefaultSlack + r.ownLag(),
	}
	for _, c := range s.Classes {
		t.Classes = append(t.Classes, invariant.Class{
			Name: c.Name, Safe: c.Effect == scenario.Safe, Keyed: c.Effect == scenario.Keyed, Group: c.Group, Window: c.Window,
		})
	}
	for _, w := range r.schedule.Workers {
		t.Workers = append(t.Workers, invariant.Worker{Name: w.Name, Zone: w.Zone, Cell: w.Cell})
	}
	return t
}

// ownLag returns the largest lag of the testbed itself during the run.
func (r *run) ownLag() time.Duration {
	return time.Duration(max(r.arrivalLag.At(100), r.clockLag.At(100)) * float64(time.Millisecond))
}
