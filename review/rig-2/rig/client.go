package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: none
	Body   string
	Err    error
	Took   time.Duration
	Last   bool // the connection ends with it
}

// Lost reports whether there was no whole answer.
func (a Answer) Lost() bool { return a.Status == 0 }

// String describes the answer.
func (a Answer) String() string {
	if a.Lost() {
		return fmt.Sprintf("no answer after %.3f s: %v", a.Took.Seconds(), a.Err)
	}
	return fmt.Sprintf("%d %q after %.3f s", a.Status, strings.TrimSpace(a.Body), a.Took.Seconds())
}

// NewID returns a new request id.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Message returns a request in the protocol's form.
func Message(id, class, tenant string, deadline time.Duration, body string) string {
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n", class, id, class)
	if tenant != "" {
		text += "X-Tenant: " + tenant + "\r\n"
	}
	return text + fmt.Sprintf("X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", deadline.Milliseconds(), len(body), body)
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to a dispatcher.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{conn, bufio.NewReader(conn)}, nil
}

// ReadAnswer waits for the answer to a request that was written at a time.
func (c *Conn) ReadAnswer(written time.Time, wait time.Duration) Answer {
	c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return Answer{Err: err, Took: time.Since(written)}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err, Took: time.Since(written)}
	}
	return Answer{Status: response.StatusCode, Body: string(body), Took: time.Since(written), Last: response.Close}
}

// Pool keeps a client's idle connections to one dispatcher.
type Pool struct {
	Address string
	mu      sync.Mutex
	idle    []*Conn
}

// Do sends a request and waits for its answer. A kept connection that ends without a byte of an answer is replaced by a new one once, as
// the protocol says of a close between requests.
func (p *Pool) Do(text string, wait time.Duration) Answer {
	p.mu.Lock()
	var conn *Conn
	if n := len(p.idle); n > 0 {
		conn, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	if conn != nil {
		answer := p.on(conn, text, wait)
		var timeout net.Error
		if !answer.Lost() || errors.As(answer.Err, &timeout) && timeout.Timeout() {
			return answer
		}
	}
	conn, err := Dial(p.Address)
	if err != nil {
		return Answer{Err: err}
	}
	return p.on(conn, text, wait)
}

func (p *Pool) on(conn *Conn, text string, wait time.Duration) Answer {
	written := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
		return Answer{Err: err}
	}
	answer := conn.ReadAnswer(written, wait)
	if answer.Lost() || answer.Last {
		conn.Close()
		return answer
	}
	p.mu.Lock()
	p.idle = append(p.idle, conn)
	p.mu.Unlock()
	return answer
}
