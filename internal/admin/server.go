// Package admin serves the operators' HTTP calls to one dispatcher process: whether it is ready, and disabling and enabling workers. It
// listens at an address of its own, answers in plain text and serves one call per connection. It holds no state of the dispatcher:
// the functions of a Service read and change it.
package admin

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"birchfork/internal/memory"
)

// Limits on callers.
const (
	callTimeout      = 1500 * time.Millisecond // for a call to be received in full, counted from the start of the connection
	answerTimeout    = 1 * time.Second         // for the answer to be written, in addition
	maxHeaderBytes   = 16 << 10
	maxWorkerIDBytes = 256
)

// Errors that the functions of a Service may return. Their texts are part of the answers.
var (
	ErrUnknownWorker = errors.New("no runner of this id is known") // status 404
	ErrUnavailable   = errors.New("not now")                       // status 503, as every other error
)

// Service has the functions that carry out the calls. They are called concurrently and must not block for long. They return an error for a
// call that has no effect. A note is shown in the answer to a successful call.
type Service struct {
	Ready   func() error                                 // nil: this process can serve
	Disable func(worker string) (note string, err error) // stops sending to a worker
	Enable  func(worker string) (note string, err error) // reverts Disable
}

// Server serves operators' calls until Shutdown. It owns its listener and connections. It is safe for concurrent use.
type Server struct {
	httpServer *http.Server
	listener   *limitedListener
	serveErr   chan error // the only result of Serve
}

// Start serves operators' calls on listener, which the Server owns from then on, with at most maxConns connections at a time. Heads over
// memory.HeadAllowance take memory from heads; nil: no limit.
func Start(listener net.Listener, maxConns int, heads *memory.Budget, service Service, errorLog *log.Logger) *Server {
	s := &Server{
		listener: &limitedListener{Listener: listener, maxConns: max(maxConns, 1), heads: heads},
		serveErr: make(chan error, 1),
	}
	s.httpServer = &http.Server{
		Handler:                      newHandler(service),
		ReadHeaderTimeout:            callTimeout,
		ReadTimeout:                  callTimeout,
		WriteTimeout:                 callTimeout + answerTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     errorLog,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  contextWithConn,
	}
	s.httpServer.SetKeepAlivesEnabled(false)
	go func() { s.serveErr <- s.httpServer.Serve(s.listener) }() // Shutdown waits for it
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Shutdown stops listening and closes all connections, once pending calls are answered or ctx ends. It must be called only once.
func (s *Server) Shutdown(ctx context.Context) {
	s.listener.closeIdle()
	_ = s.httpServer.Shutdown(ctx) // if ctx has ended, Close closes the remaining connections
	_ = s.httpServer.Close()
	<-s.serveErr
}
