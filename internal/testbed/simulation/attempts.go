package simulation

import (
	"time"

	"birchfork/internal/maintenance"
)

// attemptsPerTick is the number of machines that a member considers as targets of attempts in a tick.
const attemptsPerTick = 2

// attempt is a running attempt of a request on a machine.
type attempt struct {
	machine int
	worker  string // name according to the member's endpoint list
	member  int
	end     time.Duration
}

// startAttempts starts attempts of the member at random machines if its state and lease allow it, and checks that none of the machines is
// in maintenance.
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
			w.violation("clear: member %d sends to %s, which has been in maintenance since %.2fs", m.index, machineName(machine), since.Seconds())
		}
		duration := time.Duration(w.random.Int64N(int64(maxAttemptDuration)))
		w.attempts = append(w.attempts, attempt{machine: machine, worker: worker, member: m.index, end: w.now + duration})
	}
}

// contains reports whether a set contains a worker by its name or host.
func (w *world) contains(set maintenance.WorkerSet, worker string, machine int) bool {
	return set.Workers[worker] || set.Hosts[hostName(machine)] && w.options.Mutant != IgnoresHosts
}
