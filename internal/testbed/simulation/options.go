package simulation

import (
	"cmp"
	"io"
	"time"
)

// Durations and bounds of a simulated group, on the world's clock.
const (
	tickInterval        = 50 * time.Millisecond
	leaseDuration       = 1 * time.Second
	maxAttemptDuration  = 600 * time.Millisecond
	reportInterval      = 200 * time.Millisecond
	driftDivisor        = 100 // clocks of two members differ by at most one part in driftDivisor
	warmUpDuration      = 400 * time.Millisecond
	electionTicks       = 20                     // a member campaigns after one to two times this many ticks without a leader
	maxEndpointLag      = 20                     // upper bound of the ticks until a member has an endpoint list update, exclusive
	maintenanceDuration = 500 * time.Millisecond // how long operators work on a machine
)

// Defaults of Options.
const (
	defaultMachines      = 6
	defaultZones         = 2
	defaultFaultInterval = 48
)

// maxUnavailable is the number of machines that the simulated plan allows to be unavailable at the same time.
const maxUnavailable = 2

// Streams of the random generators, which make them independent for the same seed.
const (
	worldStream       = 4711
	faultStream       = 4712
	replicationStream = 4713
)

// Options determines a history of Simulate.
type Options struct {
	Seed          uint64
	Members       int
	Voters        int       // the first members vote; at most Members
	Ticks         int       // maximum length
	Machines      int       // machines of the plan, with one worker each; the plan names every second one by its host; 0: 6
	Zones         int       // zones of the workers; the plan allows one unavailable machine in each; 0: 2
	Mutant        string    // one of Mutants; empty: none
	FaultInterval int       // mean ticks between random faults; 0: 48
	Faults        []Fault   // in order of Tick; nil: RandomFaults
	Idle          bool      // operators submit no plan
	StopWithPlan  bool      // the history ends with the plan
	Trace         io.Writer // receives a line for each event; nil: no trace
}

// withDefaults returns the options with defaults for Machines and Zones.
func (o Options) withDefaults() Options {
	o.Machines = cmp.Or(o.Machines, defaultMachines)
	o.Zones = cmp.Or(o.Zones, defaultZones)
	return o
}

// The mutants. Each disables one safeguard.
const (
	NoLease            = "no lease at the send"
	LongLease          = "a lease that is longer than what is waited for"
	LeaseFromReply     = "a lease that counts from its answer"
	LeaseWithoutQuorum = "a lease without a quorum's word"
	LosesState         = "a voter that forgets under its old id"
	FewReports         = "clear without a follower's word"
	NoBudget           = "a budget that is not counted"
	CountsTimeTwice    = "time that counts twice"
	IgnoresUnavailable = "machines away by themselves that nobody counts"
	IgnoresHosts       = "hosts that nobody keeps away from"
)

// Mutants lists all mutants.
var Mutants = []string{
	NoLease, LongLease, LeaseFromReply, LeaseWithoutQuorum, LosesState,
	FewReports, NoBudget, CountsTimeTwice, IgnoresUnavailable, IgnoresHosts,
}
