// Package loadgen generates the load of a testbed run: an open loop whose arrivals do not wait for answers, with retrying
// and misbehaving clients, and a closed loop that measures the overhead of a dispatcher.
package loadgen

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one HTTP request of a client; Left is the time to its deadline.
type Request struct {
	ID, Class, Tenant string
	Target            string
	Left              time.Duration
	Retry             bool
	Extras            string
	Body              []byte
}

// appendTo appends the request's bytes to b.
func (q *Request) appendTo(b []byte, host string) []byte {
	b = append(append(append(b, "POST "...), q.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nX-Request-Id: "...)
	b = append(append(b, q.ID...), "\r\nX-Class: "...)
	b = append(append(b, q.Class...), "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(q.Left.Milliseconds(), 1), 10)
	if q.Tenant != "" {
		b = append(append(b, "\r\nX-Tenant: "...), q.Tenant...)
	}
	if q.Retry {
		b = append(b, "\r\nX-Retry: 1"...)
	}
	if q.Extras != "" {
		b = append(append(b, "\r\nX-Extras: "...), q.Extras...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(q.Body)), 10)
	return append(append(b, "\r\n\r\n"...), q.Body...)
}

// Answer is a whole response.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
	NotRun     bool // a worker's own word, where one is asked straight
}

// Hash returns a hash of the body.
func (a *Answer) Hash() uint64 { return xxhash.Sum64(a.Body) }

// maxResponseBytes bounds the body of an answer, in bytes.
const maxResponseBytes = 1 << 20

// Conn is a client's connection to a dispatcher. It is not safe for concurrent use.
type Conn struct {
	net.Conn
	r     *bufio.Reader
	host  string
	fresh bool
	last  func() // says that more came than the last answer
}

// Dial opens a connection; it fails after wait.
func Dial(addr string, wait time.Duration) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, r: bufio.NewReaderSize(raw, 2<<10), host: addr, fresh: true}, nil
}

// buffers are for requests on their way out.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// Send writes a request, within its Left.
func (c *Conn) Send(q *Request) error {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	*p = q.appendTo((*p)[:0], c.host)
	c.SetWriteDeadline(time.Now().Add(q.Left))
	_, err := c.Write(*p)
	return err
}

// errMore is returned where more bytes came than one answer.
var errMore = errors.New("more came than the answer")

// Receive reads the answer; again tells whether the connection may be used for another request. The error is errMore
// where more came than the answer, else that of the connection, which times out at until.
func (c *Conn) Receive(until time.Time) (a Answer, again bool, err error) {
	c.SetReadDeadline(until)
	res, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // the connection owns the body; closing it would read what is past answerMost
	if err != nil {
		return a, false, err
	}
	a.Status = res.StatusCode
	a.Body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return a, false, err
	}
	a.NotRun = res.Header.Get("X-Not-Run") == "1"
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if c.r.Buffered() > 0 {
		return a, false, errMore
	}
	return a, !res.Close, nil
}

// pool holds the idle connections to one dispatcher. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle []*Conn
	shut bool
}

func (p *pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		switch n, err := c.peek(); {
		case errors.Is(err, syscall.EAGAIN):
			c.fresh = false
			return c
		case err == nil && n > 0 && c.last != nil:
			c.last()
		}
		c.Close()
	}
	return nil
}

func (p *pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, c := range p.idle {
		if n, err := c.peek(); err == nil && n > 0 && c.last != nil {
			c.last()
		}
		c.Close()
	}
	p.idle = nil
}

// peek checks whether anything has come on an idle connection, without reading it; EAGAIN means that nothing has.
func (c *Conn) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	outer := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if outer != nil {
		return 0, outer
	}
	return n, err
}
