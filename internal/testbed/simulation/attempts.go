package simulation

import (
	"time"

	"birchfork/internal/maintenance"
)

// attemptsPerTick is how many machines a member considers to send to in a tick.
const attemptsPerTick = 2

// attempt is a request that runs at a machine.
type attempt struct {
	machine int
	worker  string // name by the member's endpoint list
	member  int
	end     time.Duration
}

// startAttempts has the member send to random machines where its state and lease allow it, and checks that operators have none of them.
func (m *member) startAttempts() {
	if m.core == nil {
		return
	}
	w := m.world
	leased, excluded := m.state.Leased(), m.state.Excluded()
	for range attemptsPerTick {
		machine := w.random.IntN(w.options.Machines)
		worker := m.workerAt(machine)
		needsLease := !m.confirmed || w.contains(leased, worker, machine)
		maySend := !needsLease || m.clock() < m.leaseEnd || w.options.Mutant == NoLease
		if w.contains(excluded, worker, machine) || !maySend {
			continue
		}
		if since, inMaintenance := w.maintenanceSince[machineName(machine)]; inMaintenance {
			w.violation("clear: member %d sends to %s, which staff have since %.2fs", m.index, machineName(machine), since.Seconds())
		}
		duration := time.Duration(w.random.Int64N(int64(maxAttemptDuration)))
		w.attempts = append(w.attempts, attempt{machine: machine, worker: worker, member: m.index, end: w.now + duration})
	}
}

// contains reports whether a worker is in a set, by its name or its host.
func (w *world) contains(set maintenance.WorkerSet, worker string, machine int) bool {
	return set.Workers[worker] || set.Hosts[hostName(machine)] && w.options.Mutant != IgnoresHosts
}
