package simulation

import (
	"fmt"

	"birchfork/internal/maintenance"
)

// workerName is the name of a machine's worker, valid from a tick on.
type workerName struct {
	since int
	name  string
}

// outage is a period, in ticks, in which a machine is unavailable independently of the plan.
type outage struct{ machine, from, until int }

func machineName(machine int) string       { return fmt.Sprint("m", machine) }
func hostName(machine int) string          { return fmt.Sprint("h", machine) }
func initialWorkerName(machine int) string { return fmt.Sprint("r", machine) }

// endpointLag returns the number of ticks until the member has an endpoint list update about a machine's worker.
func (m *member) endpointLag(machine int) int { return (7*m.index + 3*machine) % maxEndpointLag }

// workerAt returns the name of a machine's worker according to the member's endpoint list.
func (m *member) workerAt(machine int) string {
	names := m.world.workerNames[machine]
	for i := len(names) - 1; i > 0; i-- {
		if names[i].since+m.endpointLag(machine) <= m.world.tick {
			return names[i].name
		}
	}
	return names[0].name
}

// fleet returns the workers according to the member's endpoint list. Former names of a worker are marked as gone.
func (m *member) fleet() map[string]maintenance.Worker {
	w := m.world
	fleet := map[string]maintenance.Worker{}
	for i := range w.options.Machines {
		worker := maintenance.Worker{Zone: fmt.Sprint(i % w.options.Zones), Kind: "k", Host: hostName(i), Weight: float64(1 + i%5)}
		current := m.workerAt(i)
		for _, former := range w.workerNames[i] {
			if former.name == current {
				break
			}
			gone := worker
			gone.Unavailable, gone.Gone = true, true
			fleet[former.name] = gone
		}
		worker.Unavailable = w.options.Mutant != IgnoresUnavailable && m.knowsOutage(i)
		fleet[current] = worker
	}
	return fleet
}

// knowsOutage reports whether a machine has an outage according to the member's endpoint list.
func (m *member) knowsOutage(machine int) bool {
	tick := m.world.tick - m.endpointLag(machine)
	for _, o := range m.world.outages {
		if o.machine == machine && o.from <= tick && tick < o.until {
			return true
		}
	}
	return false
}
