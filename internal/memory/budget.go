// Package memory limits the memory that data from peers takes in this process. It counts bytes that its callers are about to allocate, and
// allocates nothing itself.
package memory

import "sync/atomic"

// Budget limits the total of reserved bytes. The zero value has a limit of 0. It is safe for concurrent use.
type Budget struct{ limit, available atomic.Int64 }

// SetLimit sets the size of the budget. Existing reservations are kept, even if they exceed the new limit.
func (b *Budget) SetLimit(n int64) { b.available.Add(n - b.limit.Swap(n)) }

// Reserve reserves n bytes and returns true; if fewer are available it reserves none and returns false.
func (b *Budget) Reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.available.Add(n) }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.limit.Load() - b.available.Load() }
