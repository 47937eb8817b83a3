// Package replication is the core of state that the members of a group replicate without consensus: each member accepts writes
// and uses its replica while it is partitioned, and merges make the replicas equal afterwards.
//
// A replica holds entries, the newest of each Key that it knows. An entry carries its Dot, which is unique, and the causal context
// in which it was written: it replaces those entries of its key that the context contains. Entries of one key that do not contain
// each other were written concurrently and are all kept, until another one that has seen them replaces them.
//
// Replicas exchange what the other's VersionVector does not contain, chunk by chunk (NextChunk, Merge). An entry that is gone needs no
// tombstone: one whose dot the version vector contains, and which the replica does not have, was replaced or dropped. An override
// that disables nothing is itself dropped once all members have it (CollectGarbage). Replicas with equal version vectors may still
// differ after one was restored from an outdated disk; digests of buckets find the difference (DifferingBuckets, Removed, Discard).
//
// The core has no I/O, no clock and no goroutine, and nothing in it is safe for concurrent use. docs/replication-design.md gives the
// reasons for the design.
package replication
