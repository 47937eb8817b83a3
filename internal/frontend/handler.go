package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/memory"
	"birchfork/internal/upstream"
)

// Timeouts of connections. Tests shorten the first two.
var (
	writeTimeout   = 2 * time.Second         // for a client to read its response
	requestTimeout = 2500 * time.Millisecond // for a client to send a request, from the connection's start or the request's first byte on
)

const (
	idleTimeout      = 5 * time.Minute         // for a client's next request
	responseMargin   = 3 * time.Millisecond    // subtracted from a client's deadline, which runs from its send, for the response to reach it
	firstListTimeout = 9500 * time.Millisecond // for discovery's first list; the platform expects a process to be ready 10 s after its start
)

// Handler serves the requests of clients. It is an http.Handler for connections that its ConnTracker tracks, and is safe for concurrent use.
type Handler struct {
	Engine     *engine.Engine
	Transport  *upstream.Transport
	Conns      *ConnTracker
	BodyBudget memory.Budget // for request bodies

	startedAt          time.Time
	retryAfter         atomic.Int64 // nanoseconds, see SetRetryAfter
	maxRetryAfter      atomic.Int64 // nanoseconds, see SetRetryAfter
	failHealthChecks   atomic.Bool
	listInherited      atomic.Bool // see InheritEndpoints
	keepAlivesDisabled atomic.Bool
	forceClose         chan struct{} // closed by ForceClose
}

// NewHandler returns a handler that opens requests at an engine and carries out their attempts with transport.
func NewHandler(e *engine.Engine, transport *upstream.Transport, conns *ConnTracker) *Handler {
	return &Handler{Engine: e, Transport: transport, Conns: conns, startedAt: time.Now(), forceClose: make(chan struct{})}
}

// SetRetryAfter sets the Retry-After of responses to requests that exceed a limit of this process. maxDelay is the upper bound of this
// delay and of those of route limits; 0 if the settings allow no Retry-After.
func (h *Handler) SetRetryAfter(delay, maxDelay time.Duration) {
	h.retryAfter.Store(int64(min(delay, maxDelay)))
	h.maxRetryAfter.Store(int64(maxDelay))
	h.Conns.retryAfter.Store(h.retryAfter.Load())
}

// HTTPServer returns the handler's HTTP server. Its listener must come from Conns.WrapListener.
func (h *Handler) HTTPServer() *http.Server {
	return &http.Server{
		Handler:                      h,
		ConnContext:                  contextWithConn,
		ReadHeaderTimeout:            requestTimeout,
		ReadTimeout:                  requestTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // the default handler would answer some requests itself and keep their connections open
	}
}

// FailHealthChecks makes the health check /up fail. Requests are served as before.
func (h *Handler) FailHealthChecks() { h.failHealthChecks.Store(true) }

// DisableKeepAlives fails health checks, and closes each connection after its next response.
func (h *Handler) DisableKeepAlives() {
	h.FailHealthChecks()
	h.keepAlivesDisabled.Store(true)
}

// KeepAlivesDisabled reports whether DisableKeepAlives has been called.
func (h *Handler) KeepAlivesDisabled() bool { return h.keepAlivesDisabled.Load() }

// ForceClose ends all open requests and those that still arrive: they fail, or are shed if they cannot have run. It must be called at most
// once.
func (h *Handler) ForceClose() { close(h.forceClose) }

// Up reports whether the dispatcher can serve requests: it is ready, and a worker is up.
func (h *Handler) Up() bool {
	available, _ := h.Engine.Ready()
	return available && h.Ready()
}

// Ready reports whether this process can serve requests, provided that a worker is up: FailHealthChecks has not been called, and the process
// knows the workers.
func (h *Handler) Ready() bool { return h.knowsWorkers() && !h.failHealthChecks.Load() }

// knowsWorkers reports whether requests may be sent by the engine's endpoint list: it is from discovery or from a process that serves. The
// list with which a process starts may lack a drain of which the dispatcher has been told. It is used only if discovery has been silent for
// firstListTimeout.
func (h *Handler) knowsWorkers() bool {
	_, synced := h.Engine.Ready()
	return synced || h.listInherited.Load() || h.firstListOverdue()
}

// firstListOverdue reports whether firstListTimeout is over.
func (h *Handler) firstListOverdue() bool { return time.Since(h.startedAt) > firstListTimeout }

// ServesByInitialList reports whether discovery has been silent for so long that the list is used with which the process started.
func (h *Handler) ServesByInitialList() bool {
	_, synced := h.Engine.Ready()
	return !synced && !h.listInherited.Load() && h.firstListOverdue()
}

// InheritEndpoints passes the newest list of another process of this dispatcher to the engine, and makes this process ready by it.
func (h *Handler) InheritEndpoints(list engine.EndpointList) {
	list.Stale = true
	h.Engine.UpdateEndpoints(list)
	h.listInherited.Store(true)
}

// ServeHTTP answers one request: a health check, or a request for a worker.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	counters := &h.Engine.Counters
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	switch {
	case connFromContext(r.Context()).ambiguousLength(r):
		h.reject(w, r, &requestError{http.StatusBadRequest, "its length is given in two ways", &counters.BadFraming})
	case r.URL.Path == "/up" && isRead:
		h.answerHealthCheck(w, r)
	case r.Method != http.MethodPost:
		h.reject(w, r, &requestError{http.StatusMethodNotAllowed, "jobs come by POST", &counters.BadMethods})
	default:
		h.serveRequest(w, r)
	}
}

func (h *Handler) answerHealthCheck(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if !h.Up() {
		status = http.StatusServiceUnavailable
	}
	h.writeUncounted(w, r, status, nil, false)
}

// serveRequest reads a request, opens it at the engine, carries out the engine's decisions and writes the response.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	spec, outgoing, err := h.readRequest(r)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	defer outgoing.release()
	deadline := receivedAt.Add(spec.TimeLeft - responseMargin)
	spec.TimeLeft = time.Until(deadline)
	if outgoing.Client.ClientGone() {
		h.Engine.Counters.EarlyClientDisconnects.Add(1)
		abortConnection()
	}
	if err := h.checkCapacity(); err != nil {
		h.reject(w, r, err)
		return
	}
	request, err := h.Engine.Open(spec)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	defer request.Close()
	// Guards against an engine that makes no final decision; normally it ends the request slightly earlier.
	overdue := time.NewTimer(time.Until(deadline) + responseMargin)
	defer overdue.Stop()
	h.respond(w, r, h.awaitFinalDecision(r.Context(), request, outgoing, overdue.C))
}

// checkCapacity returns an error if this process cannot accept a request at present.
func (h *Handler) checkCapacity() error {
	switch {
	case h.Conns.OverLimit():
		return errOverLimit
	case !h.knowsWorkers():
		return errNoEndpoints
	}
	return nil
}

// awaitFinalDecision starts the attempts that the engine decides on, each in a goroutine that ends with the attempt, and returns the
// decision that ends the request.
func (h *Handler) awaitFinalDecision(ctx context.Context, request *engine.Request, outgoing *outgoingRequest, overdue <-chan time.Time) engine.Decision {
	for {
		decision := h.nextDecision(ctx, request, overdue)
		if decision.Kind != engine.DecisionSend {
			return decision
		}
		outgoing.retain()
		go func() { //nolint:contextcheck // an attempt has a context of its own, and may outlive the request
			defer outgoing.release()
			h.Transport.Do(decision.Attempt, &outgoing.Request)
		}()
	}
}

// nextDecision returns the engine's next decision on a request, or aborts the request and returns the resulting decision if it is
// overdue or ForceClose is called. It panics with http.ErrAbortHandler if the client has disconnected.
func (h *Handler) nextDecision(ctx context.Context, request *engine.Request, overdue <-chan time.Time) engine.Decision {
	// What ends the request is checked first: the select below picks any of several ready cases, and nothing may be sent after the end.
	select {
	case <-ctx.Done():
		abortConnection()
	case <-h.forceClose:
		return request.Abort()
	default:
	}
	select {
	case decision := <-request.Decisions():
		return decision
	case <-ctx.Done():
		abortConnection()
	case <-h.forceClose:
	case <-overdue:
	}
	return request.Abort()
}

// abortConnection ends the handling of a request whose client has disconnected: the connection is closed without a response. Otherwise
// net/http would write an empty response with status 200, and a client that has closed only its sending direction would take it for a
// result.
func abortConnection() { panic(http.ErrAbortHandler) }
