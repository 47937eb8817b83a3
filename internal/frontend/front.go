// Package frontend speaks the platform's protocol: HTTP from clients, to workers and to discovery. Each message becomes a
// small typed value once. It decides nothing: what is sent where, repeated or refused comes as orders from the store.
package frontend

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"birchfork/internal/engine"
)

// Bounds on what a client may send, and times.
const (
	maxBodyBytes         = 64 << 10
	unbudgetedBodyBytes  = 4 << 10 // of a body that need no place: connections bound them
	maxHeaderBytes       = 8 << 10
	maxIDLength          = 256
	maxTargetLength      = 4 << 10
	maxHeaderValueLength = 1 << 10
	maxDeadline          = time.Hour
	maxSlots             = 1 << 20
	responseMargin       = 3 * time.Millisecond // kept for the answer's way to the client, whose time runs since it sent
	firstListTimeout     = 1 * time.Second      // for discovery's first word, before we serve by the old list
)

// What a client may take; tests shorten it.
var (
	writeTimeout   = 2 * time.Second         // to take its answer
	requestTimeout = 2500 * time.Millisecond // to send a request, from connecting or its first byte on, however it drips
)

// idleTimeout is for a client's next request.
const idleTimeout = 5 * time.Minute

// Handler serves clients. It is an http.Handler.
type Handler struct {
	Engine     *engine.Engine
	Transport  *Transport
	Conns      *ConnTracker
	BodyBudget MemoryBudget // for what bodies hold in memory

	retryAfter         atomic.Int64 // see Advise
	maxRetryAfter      atomic.Int64
	startedAt          time.Time
	failHealthChecks   atomic.Bool
	keepAlivesDisabled atomic.Bool
	forceClose         chan struct{} // closed when all that is open has to end
}

// NewHandler returns a front for the requests of s.
func NewHandler(e *engine.Engine, transport *Transport, conns *ConnTracker) *Handler {
	return &Handler{Engine: e, Transport: transport, Conns: conns, startedAt: time.Now(), forceClose: make(chan struct{})}
}

// SetRetryAfter sets when one may come back whom a limit has left no place, and the longest advice that the settings allow; 0
// where they allow none.
func (h *Handler) SetRetryAfter(delay, maxDelay time.Duration) {
	h.retryAfter.Store(int64(min(delay, maxDelay)))
	h.maxRetryAfter.Store(int64(maxDelay))
}

// HTTPServer returns the HTTP server that the front stands on, for connections that Clients knows.
func (h *Handler) HTTPServer() *http.Server {
	return &http.Server{
		Handler: h, ConnContext: contextWithConn, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, // else net/http answers some by itself and keeps them
	}
}

// FailHealthChecks makes the front say that it is not up any more; it serves as before.
func (h *Handler) FailHealthChecks() { h.failHealthChecks.Store(true) }

// DisableKeepAlives makes the front keep no connection any more.
func (h *Handler) DisableKeepAlives() {
	h.FailHealthChecks()
	h.keepAlivesDisabled.Store(true)
}

// KeepAlivesDisabled tells whether it does.
func (h *Handler) KeepAlivesDisabled() bool { return h.keepAlivesDisabled.Load() }

// ForceClose ends all that is open with a failure.
func (h *Handler) ForceClose() { close(h.forceClose) }

// Up tells whether we can serve: some worker is up, and discovery has told so since our start. Where discovery is
// silent the list kept from before has to do after a while.
func (h *Handler) Up() bool {
	available, _ := h.Engine.Ready()
	return available && h.Ready()
}

// Ready tells whether this process can serve: it knows the workers, from discovery or from before, and does not leave.
// Unlike Up it does not ask whether one of them is up.
func (h *Handler) Ready() bool {
	_, synced := h.Engine.Ready()
	return (synced || time.Since(h.startedAt) > firstListTimeout) && !h.failHealthChecks.Load()
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	counters := &h.Engine.Counters
	switch {
	case connFromContext(r.Context()).ambiguousLength():
		h.reject(w, r, &requestError{http.StatusBadRequest, "its length is given in two ways", &counters.BadFraming})
	case r.URL.Path == "/up" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		status := http.StatusOK
		if !h.Up() {
			status = http.StatusServiceUnavailable
		}
		h.writeResponse(w, r, status, nil, false)
	case r.Method != http.MethodPost:
		h.reject(w, r, &requestError{http.StatusMethodNotAllowed, "jobs come by POST", &counters.BadMethods})
	default:
		h.serveRequest(w, r)
	}
}

// serveRequest is the life of one request, from its body to its release.
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
	switch {
	case outgoing.clientConn.clientGone():
		h.Engine.Counters.ClientsGoneEarly.Add(1)
		abortConnection()
	case h.Conns.OverLimit():
		h.reject(w, r, errOverLimit)
		return
	}
	request, err := h.Engine.Open(spec)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	defer request.Close()
	// Guards against an answer that the module owes and does not give; it ends requests a little earlier by itself.
	overdue := time.NewTimer(time.Until(deadline) + responseMargin)
	defer overdue.Stop()
	for {
		var decision engine.Decision
		// First what ends the request: of several that are ready the next select takes any, and nothing is sent on past its end.
		select {
		case <-r.Context().Done():
			abortConnection()
		case <-h.forceClose:
			decision = request.Abort()
		default:
			select {
			case decision = <-request.Decisions():
			case <-r.Context().Done():
				abortConnection()
			case <-h.forceClose:
				decision = request.Abort()
			case <-overdue.C:
				decision = request.Abort()
			}
		}
		switch decision.Kind {
		case engine.DecisionSend:
			outgoing.retain()
			go func() {
				defer outgoing.release()
				h.Transport.do(decision.Attempt, outgoing)
			}()
			continue
		case engine.DecisionServe:
			h.respond(w, r, http.StatusOK, decision.Result)
		case engine.DecisionShed:
			setRetryAfter(w, decision.RetryAfter)
			h.respond(w, r, http.StatusServiceUnavailable, []byte("refused\n"))
		case engine.DecisionFail:
			h.respond(w, r, http.StatusInternalServerError, []byte("failed\n"))
		case engine.DecisionInvalid:
			h.reject(w, r, &requestError{http.StatusBadRequest, "a worker cannot use it", &h.Engine.Counters.RejectedByWorkers})
		}
		return
	}
}

// abortConnection ends the service of a request whose client has gone: the connection is closed with nothing written. Guards against the empty
// answer with status 200 that net/http writes for a handler that wrote none: a client that has ended its sending alone would take it
// for a result.
func abortConnection() { panic(http.ErrAbortHandler) }

// respond writes a final answer.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	if h.writeResponse(w, r, status, body, false) != nil {
		h.Engine.Counters.WriteFailures.Add(1)
	}
}

// requestError says what is wrong with a request, and where that is counted.
type requestError struct {
	status  int
	reason  string
	counter *atomic.Int64
}

func (e *requestError) Error() string { return e.reason }

// errOverLimit refuses a request that a limit leaves no place for.
var errOverLimit = errors.New("no place left")

// reject answers what never ran. The connection is closed, as what is behind a request that cannot be read is no next
// request, and nobody asks again at once on the same one.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	counters := &h.Engine.Counters
	var bad *requestError
	var limited *engine.LimitError
	switch {
	case errors.As(err, &bad):
	case errors.Is(err, errOverLimit), errors.Is(err, engine.ErrTooManyOpen):
		counters.RejectedOverLimit.Add(1)
		setRetryAfter(w, time.Duration(h.retryAfter.Load()))
		h.writeResponse(w, r, http.StatusServiceUnavailable, []byte("no place left\n"), true)
		return
	case errors.As(err, &limited): // its connection stays: it has done nothing wrong, and asks again on it
		setRetryAfter(w, min(limited.RetryAfter, time.Duration(h.maxRetryAfter.Load())))
		h.writeResponse(w, r, http.StatusServiceUnavailable, []byte(err.Error()+"\n"), false)
		return
	case errors.Is(err, engine.ErrUnknownClass):
		bad = &requestError{http.StatusNotFound, err.Error(), &counters.BadClasses}
	case errors.Is(err, engine.ErrDuplicateID):
		bad = &requestError{http.StatusBadRequest, err.Error(), &counters.BadIDs}
	default:
		bad = &requestError{http.StatusBadRequest, err.Error(), &counters.BadHeaders}
	}
	counters.BadRequests.Add(1)
	bad.counter.Add(1)
	h.writeResponse(w, r, bad.status, []byte(bad.reason+"\n"), true)
}

func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	}
}

// writeResponse writes an answer. A client that does not take it holds its connection for a bounded time only.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, status int, body []byte, final bool) error {
	conn := connFromContext(r.Context())
	if conn.beginResponse(final || h.keepAlivesDisabled.Load()) {
		w.Header().Set("Connection", "close")
	}
	defer conn.endResponse()
	controller := http.NewResponseController(w)
	controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return controller.Flush() // else what goes wrong with a short answer would show after our return
}

// forwardedHeaders are the headers of a client that go on to workers as they came, beside the id. Idempotency-Key is the standard name of what
// workers drop repeats of a guarded class by: without it a repeat would be another job to them.
var forwardedHeaders = []string{"Content-Type", "Idempotency-Key", "X-Class", "X-Tenant", "X-Key"}

// readRequest reads a whole request and decodes it. The call that it returns is to be released.
func (h *Handler) readRequest(r *http.Request) (spec engine.RequestSpec, outgoing *upstreamRequest, err error) {
	counters := &h.Engine.Counters
	spec, err = decodeHead(r)
	if err != nil {
		return spec, nil, err
	}
	spec.Method, spec.Path, spec.Key = r.Method, r.URL.Path, r.Header.Get("X-Key")
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	if !isPlainText(target, maxTargetLength) {
		return spec, nil, errors.New("the path is no plain word of 4096 characters at most")
	}
	outgoing = &upstreamRequest{method: r.Method, target: target, id: spec.ID, clientConn: connFromContext(r.Context()), budget: &h.BodyBudget}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			if !isPlainText(strings.ReplaceAll(value, " ", "_"), maxHeaderValueLength) {
				return spec, nil, errors.New(name + ": it is no plain text of 1024 characters at most")
			}
			outgoing.headers = append(append(append(append(outgoing.headers, name...), ": "...), value...), "\r\n"...)
		}
	}
	outgoing.retain()
	if err := outgoing.readBody(r); err != nil {
		outgoing.release()
		switch {
		case errors.Is(err, errBodyTooLong):
			err = &requestError{http.StatusRequestEntityTooLarge, err.Error(), &counters.BadSizes}
		case !errors.Is(err, errOverLimit):
			err = &requestError{http.StatusBadRequest, "the body did not come whole", &counters.BadBodies}
		}
		return spec, nil, err
	}
	if !connFromContext(r.Context()).completeRequest() {
		outgoing.release()
		return spec, nil, &requestError{http.StatusBadRequest, "more came than its length", &counters.BadFraming}
	}
	return spec, outgoing, nil
}

// isPlainText tells whether a text is safe to hand on in a head: a worker ends the connection on what it cannot read.
func isPlainText(text string, maxLength int) bool {
	return len(text) <= maxLength && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// decodeHead decodes a request's head.
func decodeHead(r *http.Request) (spec engine.RequestSpec, err error) {
	singleValue := func(name string, required bool) string {
		values := r.Header.Values(name)
		if err == nil && (len(values) > 1 || required && (len(values) == 0 || values[0] == "")) {
			err = errors.New(name + ": one value is needed")
		}
		if len(values) == 0 {
			return ""
		}
		return values[0]
	}
	spec.ID, spec.Class, spec.Tenant = singleValue("X-Request-Id", true), singleValue("X-Class", true), singleValue("X-Tenant", false)
	deadlineText, extras := singleValue("X-Deadline-Ms", true), singleValue("X-Extras", false)
	spec.Retry = singleValue("X-Retry", false) == "1"
	if err != nil {
		return spec, err
	}
	if !isPlainText(spec.ID, maxIDLength) {
		return spec, errors.New("X-Request-Id: it is no plain word of 256 characters at most")
	}
	if firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); firstSegment != spec.Class {
		return spec, errors.New("the path does not begin with the class")
	}
	milliseconds, err := strconv.ParseUint(deadlineText, 10, 32)
	if err != nil || milliseconds < 1 || milliseconds > uint64(maxDeadline.Milliseconds()) {
		return spec, errors.New("X-Deadline-Ms: it is not a number of milliseconds from 1 to an hour")
	}
	spec.TimeLeft = time.Duration(milliseconds) * time.Millisecond
	return spec, decodeExtras(&spec, extras)
}

// decodeExtras reads the further figures that a job has. Those that nothing here uses are passed over.
func decodeExtras(spec *engine.RequestSpec, extras string) error {
	spec.Slots = 1
	if extras == "" {
		return nil
	}
	for pair := range strings.SplitSeq(extras, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return errors.New("X-Extras: it is not name=value,name=value")
		}
		switch {
		case name == "slots" && (number < 1 || number > maxSlots || number != math.Trunc(number)):
			return errors.New("X-Extras: slots is not a whole number from 1")
		case name == "memory" && (number < 0 || number > maxSlots):
			return errors.New("X-Extras: memory is out of range")
		case name == "slots":
			spec.Slots = int(number)
		case name == "memory":
			spec.Memory = number
		}
	}
	return nil
}
