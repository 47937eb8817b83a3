package simulation

import (
	"cmp"
	"io"
	"time"
)

// Durations and limits of a simulated group, on the world's clock.
const (
	tickInterval        = 50 * time.Millisecond
	leaseDuration       = 1 * time.Second
	maxAttemptDuration  = 600 * time.Millisecond
	reportInterval      = 200 * time.Millisecond
	driftDivisor        = 100 // clocks of two members differ by at most one part in driftDivisor
	warmUpDuration      = 400 * time.Millisecond
	electionTicks       = 20                     // a member campaigns after one to two times so many ticks without a leader
	maxEndpointLag      = 20                     // ticks until each member has an update of the endpoint list
	maintenanceDuration = 500 * time.Millisecond // for which operators work on a machine
)

// Defaults of Options.
const (
	defaultMachines      = 6
	defaultZones         = 2
	defaultFaultInterval = 48
)

// maxUnavailable is how many machines the simulated plan allows to be unavailable at a time.
const maxUnavailable = 2

// Streams of the random generators, which keep them apart for one seed.
const (
	worldStream       = 4711
	faultStream       = 4712
	replicationStream = 4713
)

// Options determines a history of Simulate.
type Options struct {
	Seed          uint64
	Members       int
	Voters        int       // the first members, at most all of them
	Ticks         int       // maximum length
	Machines      int       // of the plan, with one worker each; the plan names every second one by its host; 0: 6
	Zones         int       // of the workers; the plan allows one unavailable machine in each; 0: 2
	Mutant        string    // one of Mutants; empty: none
	FaultInterval int       // mean ticks from one random fault to the next; 0: 48
	Faults        []Fault   // in order of their ticks; nil: RandomFaults
	Idle          bool      // operators submit no plan
	StopWithPlan  bool      // the history ends with the plan
	Trace         io.Writer // gets a line for each event; nil: none
}

// withDefaults returns the options with the sizes of plan and fleet that are used for 0.
func (o Options) withDefaults() Options {
	o.Machines = cmp.Or(o.Machines, defaultMachines)
	o.Zones = cmp.Or(o.Zones, defaultZones)
	return o
}

// The mutants: each disables a safeguard.
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
