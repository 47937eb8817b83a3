// Package replication is the core of the state that the members of a group replicate without consensus. Each member accepts writes and uses
// its replica during a partition. Merges make the replicas equal afterwards.
//
// A replica holds the newest known entries of each Key. An entry has a unique Dot and the causal context in which it was written. It
// replaces the entries of its key that the context contains. Entries of one key whose contexts do not contain each other were written
// concurrently: all are kept until an entry that has seen them replaces them.
//
// Replicas exchange the entries that the other's VersionVector does not contain, in chunks (NextChunk, Merge). A removed entry needs no
// tombstone: an entry whose dot the version vector contains, and which the replica does not hold, was replaced or dropped. An override that
// does not disable its worker is dropped once all members have it (CollectGarbage). Replicas with equal version vectors may still differ
// after one was restored from an outdated disk: digests of buckets locate the difference (DifferingBuckets, Removed, Discard).
//
// The core has no I/O, clock or goroutine, and nothing in it is safe for concurrent use. docs/replication-design.md gives the reasons for
// the design.
package replication
