// Package maintenance is the core of rolling maintenance: it decides which machines of the fleet may be taken out of service, in which
// order and when, within a disruption budget.
//
// The core is a deterministic state machine. Its only input is the commands of the group's replicated log, which State.Apply executes in
// order. Its output is the changed State, and Events to be logged. It has no I/O, clock, goroutine or random source: the same commands give
// the same state, byte by byte, at each member of the group. The state of the fleet and the elapsed time also arrive as a command: the
// leader's proposal, an Advance.
//
// A machine of a running plan goes through these phases:
//
//	waiting -> draining -> drained -> in maintenance -> returning -> warm -> done
//
// A waiting machine may be skipped. A machine that is withdrawn before operators have claimed it (draining or drained -> returning) ends as
// skipped. A machine that is not back in service in time is failed until it is, or until it is skipped.
//
// The package enforces two rules. First, no request is sent to a worker of a machine from the start of the drain until operators return the
// machine. A machine counts as drained only once each member has confirmed the drain, or once the lease and the attempts of a silent member
// must have ended (State.FenceTimeout). Second, no machine is drained beyond the plan's budget, which counts everything that is out of
// service for any reason.
//
// Nothing here is safe for concurrent use. The coordinator guards its State with a lock.
package maintenance
