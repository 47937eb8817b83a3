package frontend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// Budget bounds the bytes that bodies hold together. The zero Budget has none to spare.
type Budget struct{ all, left atomic.Int64 }

// Set sets how much there is in all; what is taken stays taken.
func (b *Budget) Set(n int64) { b.left.Add(n - b.all.Swap(n)) }

func (b *Budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// call is what goes to a worker for one request, the same in all its attempts. It is held by the request and by each
// attempt; the last to release it gives its place back.
type call struct {
	method, target string // as the client sent them
	id             string
	headers        []byte // further ones that go on, each with its line end
	body           []byte
	client         *clientConn // that it came on; nil: none that can be looked at

	budget *Budget
	place  int64 // bytes of the budget that the body holds
	held   atomic.Int32
}

func (c *call) hold() { c.held.Add(1) }

func (c *call) release() {
	if c.held.Add(-1) == 0 {
		c.budget.left.Add(c.place)
	}
}

var errLongBody = errors.New("the body is over 64 KiB")

// readBody reads the body. Memory is taken as bytes come, not as a client announces them; a small body needs no place,
// so that clients with huge ones do not crowd out the usual ones.
func (c *call) readBody(r *http.Request) error {
	if r.ContentLength > bodyMost { // answered before it is read
		return errLongBody
	}
	size := int64(512)
	if r.ContentLength >= 0 {
		size = min(r.ContentLength, bodyFree) + 1 // room to read the end
	}
	c.body = make([]byte, 0, size)
	for {
		if len(c.body) == cap(c.body) {
			grown := min(2*int64(cap(c.body)), bodyMost+1)
			if more := grown - c.place; grown > bodyFree+1 {
				if !c.budget.take(more) {
					return errNoPlace
				}
				c.place = grown
			}
			c.body = append(make([]byte, 0, grown), c.body...)
		}
		n, err := r.Body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case len(c.body) > bodyMost:
			return errLongBody
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
