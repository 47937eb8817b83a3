// Package maintenance is the core of rolling maintenance: it decides which machines of the fleet may be taken out of service,
// in which order and when, under a disruption budget.
//
// The core is a deterministic state machine. Its only input are the commands of the group's replicated log, which State.Apply
// carries out one after the other; its output are the changed State and Events for the log. It has no I/O, no clock, no
// goroutine and no random source: the same commands give the same state, byte by byte, at each member of the group. What
// members know of the fleet, and the time that has passed, reach it as a command too: the leader's proposal, an Advance.
//
// A machine of a running plan passes through these phases:
//
//	waiting -> draining -> drained -> in maintenance -> returning -> warm -> done
//
// It may be skipped while it waits. One that is put back before operators had it (draining or drained -> returning) ends as
// skipped, and one that does not return in time is failed until it does, or until it is skipped.
//
// Two rules are enforced here. No worker of a machine is sent anything from the drain until the operators have given it back:
// a machine counts as drained only once each member has confirmed the drain, or once a silent member's lease and attempts must
// have ended (State.FenceTimeout). And no machine is taken beyond the plan's budget, in which counts whatever is out of service
// for any reason.
//
// Nothing here is safe for concurrent use; the coordinator guards its State by a lock.
package maintenance
