// Package admin serves the operators' HTTP calls to one dispatcher process: whether it is ready, and disabling and enabling workers. It
// listens at an address of its own, answers in plain text, one call a connection, and holds no state of the dispatcher: what it tells and
// changes is behind the functions of a Service.
package admin

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"
)

// Bounds on callers.
const (
	callTimeout      = 1500 * time.Millisecond // for a whole call, from connecting on
	answerTimeout    = 1 * time.Second         // for the caller to take the answer
	maxHeaderBytes   = 16 << 10
	maxWorkerIDBytes = 256
)

// Errors that a Service may answer with. Their texts are part of the answers.
var (
	ErrUnknownWorker = errors.New("no runner of this id is known") // answered by 404
	ErrUnavailable   = errors.New("not now")                       // answered by 503, as every other error
)

// Service is what the calls do. Its functions are called concurrently and have to be quick. They return an error for a call that has no
// effect, and a note that is told beside the success of one that has.
type Service struct {
	Ready   func() error                                 // nil: this process can serve
	Disable func(worker string) (note string, err error) // sends nothing more to a worker
	Enable  func(worker string) (note string, err error) // ends Disable
}

// Server answers operators until Shutdown. It owns its listener and connections. It is safe for concurrent use.
type Server struct {
	httpServer *http.Server
	listener   *limitedListener
	serveErr   chan error // the one result of Serve
}

// Start answers operators on listener, which the server owns from then on, with at most maxConns connections at a time.
func Start(listener net.Listener, maxConns int, service Service, errorLog *log.Logger) *Server {
	s := &Server{
		listener: &limitedListener{Listener: listener, maxConns: max(maxConns, 1)},
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

// Addr is the address that the server listens at.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Shutdown stops listening and closes all connections, once complete calls have their answers or ctx ends. It is to be called once.
func (s *Server) Shutdown(ctx context.Context) {
	s.listener.closeIdle()
	_ = s.httpServer.Shutdown(ctx) // where ctx has ended, Close cuts off the rest
	_ = s.httpServer.Close()
	<-s.serveErr
}
