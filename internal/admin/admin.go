// Package admin is the operators' door: a listener of its own, for a few plain calls. It keeps no state of the service;
// what it tells and changes is handed to it as functions.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/engine"
)

// Bounds on callers.
const (
	callWait   = 1500 * time.Millisecond // for a whole call, from connecting on: callers may hold theirs with none
	answerWait = 1 * time.Second         // to take the answer
	headMost   = 16 << 10
	idMost     = 256
)

// Errors that a Service may answer with.
var (
	ErrUnknown = errors.New("no runner of this id is known")
	ErrNotNow  = errors.New("not now")
)

// Service is what stands behind the door. Its functions may be called at any time, several at once, and are to be quick.
type Service struct {
	Ready func() error                             // nil: this process can serve
	Out   func(id string) (note string, err error) // the note is told beside yes
	Back  func(id string) (note string, err error)
}

// Door answers operators until Close. It is the one owner of its listener and connections.
type Door struct {
	server *http.Server
	l      *listener
	done   chan error
}

// Open answers operators on l, by at most so many connections at a time.
func Open(l net.Listener, most int, s Service, errorLog *log.Logger) *Door {
	d := &Door{l: &listener{Listener: l, most: max(most, 1)}, done: make(chan error, 1)}
	d.server = &http.Server{
		Handler: handler(s), ReadHeaderTimeout: callWait, ReadTimeout: callWait, WriteTimeout: callWait + answerWait,
		MaxHeaderBytes: headMost, ErrorLog: errorLog, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	d.server.SetKeepAlivesEnabled(false)
	go func() { d.done <- d.server.Serve(d.l) }()
	return d
}

// Address is where the door is.
func (d *Door) Address() net.Addr { return d.l.Addr() }

// Close ends the door and all connections, once calls that came whole have their answers, or ctx ends.
func (d *Door) Close(ctx context.Context) {
	d.l.cutSilent()
	d.server.Shutdown(ctx)
	d.server.Close()
	<-d.done
}

// call is what a path asks for.
type call struct {
	method string
	do     func() (note string, err error)
}

func handler(s Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.owe(true)
			defer c.owe(false)
		}
		status, text, allow := answer(s, r)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
		w.Header().Set("Connection", "close")
		if allow != "" {
			w.Header().Set("Allow", allow)
		}
		w.WriteHeader(status)
		fmt.Fprintln(w, text)
		http.NewResponseController(w).Flush() // from here on nothing is owed
	})
}

// answer carries a call out and words its answer, one line; allow is the path's method where the call has another.
func answer(s Service, r *http.Request) (status int, text, allow string) {
	c, status, text := find(s, r.URL.EscapedPath())
	switch {
	case status != 0:
		return status, text, ""
	case r.Method != c.method:
		return http.StatusMethodNotAllowed, "this path takes " + c.method, c.method
	}
	switch note, err := c.do(); {
	case err == nil && note != "":
		return http.StatusOK, "yes; " + strings.ReplaceAll(note, "\n", " "), ""
	case err == nil:
		return http.StatusOK, "yes", ""
	case errors.Is(err, ErrUnknown):
		return http.StatusNotFound, err.Error(), ""
	default:
		return http.StatusServiceUnavailable, err.Error(), ""
	}
}

// find reads a path; a status other than 0 says that it is none of ours.
func find(s Service, path string) (c call, status int, text string) {
	const unknown = "no such path; there are /-/ready, /-/runners/ID/disable and /-/runners/ID/enable"
	if path == "/-/ready" {
		return call{http.MethodGet, func() (string, error) { return "", s.Ready() }}, 0, ""
	}
	rest, ok := strings.CutPrefix(path, "/-/runners/")
	raw, verb, two := strings.Cut(rest, "/")
	do := map[string]func(string) (string, error){"disable": s.Out, "enable": s.Back}[verb]
	if !ok || !two || do == nil {
		return c, http.StatusNotFound, unknown
	}
	id, err := url.PathUnescape(raw)
	switch {
	case err != nil || id == "":
		return c, http.StatusBadRequest, "the runner's id is missing or badly escaped"
	case len(id) > idMost:
		return c, http.StatusBadRequest, fmt.Sprintf("the runner's id is longer than %d bytes", idMost)
	}
	return call{http.MethodPost, func() (string, error) { return do(id) }}, 0, ""
}

// listener keeps the number of connections. All are accepted: one that waits in the kernel would hold up those behind it.
// Where there are too many, the oldest goes that has sent no whole call.
type listener struct {
	net.Listener
	most int

	mu    sync.Mutex
	order []*conn // oldest first
}

type conn struct {
	net.Conn
	l    *listener
	owed bool // has sent a whole call that is not answered yet
	once sync.Once
}

type connKey struct{}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, l: l}
	l.mu.Lock()
	l.order = append(l.order, c)
	var cut *conn
	if len(l.order) > l.most {
		cut = l.oldestSilent(c)
	}
	l.mu.Unlock()
	if cut != nil {
		cut.Close()
	}
	return c, nil
}

// oldestSilent is the oldest connection that owes no answer, but for one; one on which something waits to be read goes
// last, as that may be a whole call. The lock is held.
func (l *listener) oldestSilent(but *conn) (oldest *conn) {
	for _, c := range l.order {
		switch {
		case c.owed || c == but:
		case !c.waiting():
			return c
		case oldest == nil:
			oldest = c
		}
	}
	return oldest
}

// waiting tells whether bytes have come that nobody has read.
func (c *conn) waiting() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, err := engine.Peek(raw)
	return err == nil && n > 0
}

// cutSilent closes all that owe no answer.
func (l *listener) cutSilent() {
	l.mu.Lock()
	var cut []*conn
	for _, c := range l.order {
		if !c.owed {
			cut = append(cut, c)
		}
	}
	l.mu.Unlock()
	for _, c := range cut {
		c.Close()
	}
}

// owe says whether a whole call has come that is not answered.
func (c *conn) owe(owed bool) {
	c.l.mu.Lock()
	c.owed = owed
	c.l.mu.Unlock()
}

// CloseWrite ends what we send, so that an answer is not lost with what the caller still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and forgets it, once.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.l.mu.Lock()
		for i, o := range c.l.order {
			if o == c {
				c.l.order = append(c.l.order[:i], c.l.order[i+1:]...)
				break
			}
		}
		c.l.mu.Unlock()
	})
	return err
}
