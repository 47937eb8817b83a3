// Package cluster runs a group of dispatchers as real processes under faults and checks its invariants.
//
// Each member is a process of the program. Each directed link between two members passes through a forwarder that can block, delay,
// throttle and reset it. Simulated operators submit maintenance plans, work on drained machines and write overrides, while faults are
// injected according to the timetable of a [Scenario]. After the run, the group's invariants are checked against the observations of
// workers and operators; the members' own logs are not used as evidence.
package cluster
