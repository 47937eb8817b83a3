package frontend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"birchfork/internal/memory"
	"birchfork/internal/upstream"
)

// Sizes of request bodies.
const (
	maxBodyBytes        = 64 << 10
	unbudgetedBodyBytes = 4 << 10 // maximum size without a reservation; the limit on connections bounds the total of such bodies
	initialBodyBytes    = 512     // initial capacity if the length is unknown
)

// outgoingRequest is the request that is sent to workers, with the memory of its body and of results. The handler and each attempt hold a
// reference to it; the release of the last reference returns the memory.
type outgoingRequest struct {
	upstream.Request

	budget     *memory.Budget
	reserved   int64 // bytes reserved from the budget
	references atomic.Int32
}

func (r *outgoingRequest) retain() { r.references.Add(1) }

func (r *outgoingRequest) release() {
	if r.references.Add(-1) == 0 {
		r.budget.Release(r.reserved)
		r.ReleaseResults()
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
		if !r.budget.Reserve(capacity - r.reserved) {
			return errOverLimit
		}
		r.reserved = capacity
	}
	r.Body = append(make([]byte, 0, capacity), r.Body...)
	return nil
}
