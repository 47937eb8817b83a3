// Package cluster runs a group of dispatchers as real processes under faults and checks what the group promises.
//
// Each member is a process of the program. A forwarder lies on each directed link between two members, so that links can be blocked,
// delayed, throttled and reset. Simulated operators submit maintenance plans, work on drained machines and write overrides, while
// faults are injected by the timetable of a [Scenario]. After the run, invariants of the group are checked by what workers and
// operators observed; a member's own log lines are no evidence.
package cluster
