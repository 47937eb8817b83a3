// Package simulation simulates the pure cores of a group in virtual time and checks their rules.
//
// Simulate runs the raft cores of a group with their storage, maintenance plans and leases. Links lose and delay messages, members
// stop, restart and lose their disks, workers become unavailable, and clocks drift. SimulateReplication runs replicas of operator
// overrides under partitions, lost disks and outdated disks.
//
// A history is determined by its options: the same seed gives the same history, byte by byte, on any machine. Each random choice comes
// from the seed and is made in a fixed order, which the digests in testdata/golden guard. Mutants disable single safeguards of the
// simulated members, to show that the checks notice.
//
// Real processes are tested by internal/testbed/cluster.
package simulation
