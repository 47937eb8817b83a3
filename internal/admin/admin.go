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

	"birchfork/internal/socket"
)

// Bounds on callers.
const (
	callTimeout      = 1500 * time.Millisecond // for a whole call, from connecting on: callers may hold theirs with none
	answerTimeout    = 1 * time.Second         // to take the answer
	maxHeaderBytes   = 16 << 10
	maxWorkerIDBytes = 256
)

// Errors that a Service may answer with.
var (
	ErrUnknownWorker = errors.New("no runner of this id is known")
	ErrUnavailable   = errors.New("not now")
)

// Service is what stands behind the door. Its functions may be called at any time, several at once, and are to be quick.
type Service struct {
	Ready   func() error                             // nil: this process can serve
	Disable func(id string) (note string, err error) // the note is told beside yes
	Enable  func(id string) (note string, err error)
}

// Server answers operators until Close. It is the one owner of its listener and connections.
type Server struct {
	httpServer *http.Server
	listener   *limitedListener
	serveErr   chan error
}

// Start answers operators on l, by at most so many connections at a time.
func Start(l net.Listener, maxConns int, service Service, errorLog *log.Logger) *Server {
	server := &Server{listener: &limitedListener{Listener: l, maxConns: max(maxConns, 1)}, serveErr: make(chan error, 1)}
	server.httpServer = &http.Server{
		Handler: newHandler(service), ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout + answerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	server.httpServer.SetKeepAlivesEnabled(false)
	go func() { server.serveErr <- server.httpServer.Serve(server.listener) }()
	return server
}

// Addr is where the door is.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Shutdown ends the door and all connections, once calls that came whole have their answers, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.listener.closeIdle()
	s.httpServer.Shutdown(ctx)
	s.httpServer.Close()
	<-s.serveErr
}

// operation is what a path asks for.
type operation struct {
	method string
	run    func() (note string, err error)
}

func newHandler(service Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setPending(true)
			defer c.setPending(false)
		}
		status, text, allow := execute(service, r)
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

// execute carries a call out and words its answer, one line; allow is the path's method where the call has another.
func execute(service Service, r *http.Request) (status int, text, allow string) {
	op, status, text := route(service, r.URL.EscapedPath())
	switch {
	case status != 0:
		return status, text, ""
	case r.Method != op.method:
		return http.StatusMethodNotAllowed, "this path takes " + op.method, op.method
	}
	switch note, err := op.run(); {
	case err == nil && note != "":
		return http.StatusOK, "yes; " + strings.ReplaceAll(note, "\n", " "), ""
	case err == nil:
		return http.StatusOK, "yes", ""
	case errors.Is(err, ErrUnknownWorker):
		return http.StatusNotFound, err.Error(), ""
	default:
		return http.StatusServiceUnavailable, err.Error(), ""
	}
}

// route reads a path; a status other than 0 says that it is none of ours.
func route(service Service, path string) (op operation, status int, text string) {
	const unknownPath = "no such path; there are /-/ready, /-/runners/ID/disable and /-/runners/ID/enable"
	if path == "/-/ready" {
		return operation{http.MethodGet, func() (string, error) { return "", service.Ready() }}, 0, ""
	}
	rest, ok := strings.CutPrefix(path, "/-/runners/")
	raw, verb, hasVerb := strings.Cut(rest, "/")
	run := map[string]func(string) (string, error){"disable": service.Disable, "enable": service.Enable}[verb]
	if !ok || !hasVerb || run == nil {
		return op, http.StatusNotFound, unknownPath
	}
	id, err := url.PathUnescape(raw)
	switch {
	case err != nil || id == "":
		return op, http.StatusBadRequest, "the runner's id is missing or badly escaped"
	case len(id) > maxWorkerIDBytes:
		return op, http.StatusBadRequest, fmt.Sprintf("the runner's id is longer than %d bytes", maxWorkerIDBytes)
	}
	return operation{http.MethodPost, func() (string, error) { return run(id) }}, 0, ""
}

// limitedListener keeps the number of connections. All are accepted: one that waits in the kernel would hold up those behind it.
// Where there are too many, the oldest goes that has sent no whole call.
type limitedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns []*conn // oldest first
}

type conn struct {
	net.Conn
	listener  *limitedListener
	pending   bool // has sent a whole call that is not answered yet
	closeOnce sync.Once
}

type connKey struct{}

func (l *limitedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l}
	l.mu.Lock()
	l.conns = append(l.conns, c)
	var evicted *conn
	if len(l.conns) > l.maxConns {
		evicted = l.oldestIdle(c)
	}
	l.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return c, nil
}

// oldestIdle is the oldest connection that owes no answer, but for one; one on which something waits to be read goes
// last, as that may be a whole call. The lock is held.
func (l *limitedListener) oldestIdle(except *conn) (oldest *conn) {
	for _, c := range l.conns {
		switch {
		case c.pending || c == except:
		case !c.hasUnread():
			return c
		case oldest == nil:
			oldest = c
		}
	}
	return oldest
}

// hasUnread tells whether bytes have come that nobody has read.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, err := socket.Peek(raw)
	return err == nil && n > 0
}

// closeIdle closes all that owe no answer.
func (l *limitedListener) closeIdle() {
	l.mu.Lock()
	var idle []*conn
	for _, c := range l.conns {
		if !c.pending {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// setPending says whether a whole call has come that is not answered.
func (c *conn) setPending(pending bool) {
	c.listener.mu.Lock()
	c.pending = pending
	c.listener.mu.Unlock()
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
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.mu.Lock()
		for i, other := range c.listener.conns {
			if other == c {
				c.listener.conns = append(c.listener.conns[:i], c.listener.conns[i+1:]...)
				break
			}
		}
		c.listener.mu.Unlock()
	})
	return err
}
