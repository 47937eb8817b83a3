package frontend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// MemoryBudget bounds the bytes that bodies hold together. The zero Budget has none to spare.
type MemoryBudget struct{ limit, available atomic.Int64 }

// SetLimit sets how much there is in all; what is taken stays taken.
func (b *MemoryBudget) SetLimit(n int64) { b.available.Add(n - b.limit.Swap(n)) }

func (b *MemoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

// upstreamRequest is what goes to a worker for one request, the same in all its attempts. It is held by the request and by each
// attempt; the last to release it gives its place back.
type upstreamRequest struct {
	method, target string // as the client sent them
	id             string
	headers        []byte // further ones that go on, each with its line end
	body           []byte
	clientConn     *clientConn // that it came on; nil: none that can be looked at

	budget     *MemoryBudget
	reserved   int64 // bytes of the budget that the body holds
	references atomic.Int32
}

func (r *upstreamRequest) retain() { r.references.Add(1) }

func (r *upstreamRequest) release() {
	if r.references.Add(-1) == 0 {
		r.budget.available.Add(r.reserved)
	}
}

var errBodyTooLong = errors.New("the body is over 64 KiB")

// readBody reads the body. Memory is taken as bytes come, not as a client announces them; a small body needs no place,
// so that clients with huge ones do not crowd out the usual ones.
func (r *upstreamRequest) readBody(httpRequest *http.Request) error {
	if httpRequest.ContentLength > maxBodyBytes { // answered before it is read
		return errBodyTooLong
	}
	initialCapacity := int64(512)
	if httpRequest.ContentLength >= 0 {
		initialCapacity = min(httpRequest.ContentLength, unbudgetedBodyBytes) + 1 // room to read the end
	}
	r.body = make([]byte, 0, initialCapacity)
	for {
		if len(r.body) == cap(r.body) {
			newCapacity := min(2*int64(cap(r.body)), maxBodyBytes+1)
			if additional := newCapacity - r.reserved; newCapacity > unbudgetedBodyBytes+1 {
				if !r.budget.reserve(additional) {
					return errOverLimit
				}
				r.reserved = newCapacity
			}
			r.body = append(make([]byte, 0, newCapacity), r.body...)
		}
		n, err := httpRequest.Body.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		switch {
		case len(r.body) > maxBodyBytes:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
