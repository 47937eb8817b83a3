// Package simulation runs the deterministic cores of a group in virtual time and checks their invariants.
//
// Simulate runs the raft cores of a group with their storage, maintenance plans and leases. Links lose and delay messages, members
// pause, restart and lose their disks, workers become unavailable, and clocks drift. SimulateReplication runs replicas of operator
// overrides under partitions, lost disks and outdated disks.
//
// A history is determined by its options: the same seed gives the same history, byte by byte, on any machine. All random choices come
// from the seed and are made in a fixed order, which the digests in testdata/golden guard. A mutant disables one safeguard of the
// simulated members, to verify that the checks detect its absence.
//
// Package internal/testbed/cluster tests groups of real processes.
package simulation
