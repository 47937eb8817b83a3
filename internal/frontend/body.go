package frontend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"birchfork/internal/upstream"
)

// Sizes of request bodies.
const (
	maxBodyBytes        = 64 << 10
	unbudgetedBodyBytes = 4 << 10 // maximum size without a reservation; the limit on connections bounds the total of such bodies
	initialBodyBytes    = 512     // initial capacity if the length is unknown
)

// MemoryBudget limits the total bytes of request bodies in memory. The zero value has a limit of 0. It is safe for concurrent use.
type MemoryBudget struct{ limit, available atomic.Int64 }

// SetLimit sets the size of the budget. Existing reservations are kept, even if they exceed the new limit.
func (b *MemoryBudget) SetLimit(n int64) { b.available.Add(n - b.limit.Swap(n)) }

// reserve reserves n bytes and returns true; if fewer are available it reserves none and returns false.
func (b *MemoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *MemoryBudget) release(n int64) { b.available.Add(n) }

// outgoingRequest is the request that is sent to workers, with the memory of its body. The handler and each attempt hold a reference to it;
// the release of the last reference returns the memory to the budget.
type outgoingRequest struct {
	upstream.Request

	budget     *MemoryBudget
	reserved   int64 // bytes reserved from the budget
	references atomic.Int32
}

func (r *outgoingRequest) retain() { r.references.Add(1) }

func (r *outgoingRequest) release() {
	if r.references.Add(-1) == 0 {
		r.budget.release(r.reserved)
	}
}

// errBodyTooLong is returned for a body of more than maxBodyBytes. Its text is sent to the client.
var errBodyTooLong = errors.New("the body is over 64 KiB")

// readBody reads the body. Memory is reserved as bytes arrive, not by the announced length. A small body needs no reservation, so that
// clients with huge bodies do not crowd out others. The error is errBodyTooLong, errOverLimit, or the error of the read.
func (r *outgoingRequest) readBody(httpRequest *http.Request) error {
	if httpRequest.ContentLength > maxBodyBytes { // rejected before it is read
		return errBodyTooLong
	}
	capacity := int64(initialBodyBytes)
	if httpRequest.ContentLength >= 0 {
		capacity = min(httpRequest.ContentLength, unbudgetedBodyBytes) + 1 // one byte more to detect the end
	}
	r.Body = make([]byte, 0, capacity)
	for {
		if len(r.Body) == cap(r.Body) {
			if err := r.growBody(); err != nil {
				return err
			}
		}
		n, err := httpRequest.Body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case len(r.Body) > maxBodyBytes:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// growBody doubles the capacity of the body, up to one byte more than maxBodyBytes.
func (r *outgoingRequest) growBody() error {
	capacity := min(2*int64(cap(r.Body)), maxBodyBytes+1)
	if capacity > unbudgetedBodyBytes+1 {
		if !r.budget.reserve(capacity - r.reserved) {
			return errOverLimit
		}
		r.reserved = capacity
	}
	r.Body = append(make([]byte, 0, capacity), r.Body...)
	return nil
}
