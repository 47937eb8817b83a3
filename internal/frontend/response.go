package frontend

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"birchfork/internal/engine"
)

// requestError is the error of a request that is answered with a 4xx status.
type requestError struct {
	status  int
	reason  string        // the body of the response
	counter *atomic.Int64 // counts this kind of error
}

func (e *requestError) Error() string { return e.reason }

// overLimitText is the body of responses to requests that exceed a limit of this process.
const overLimitText = "no place left\n"

// errOverLimit is returned for a request that exceeds a limit of this process.
var errOverLimit = errors.New("no place left")

// errNoEndpoints is returned for a request that arrives before this process knows the workers.
var errNoEndpoints = errors.New("the runners are not known yet")

// respond writes the response to a request according to the engine's final decision.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, decision engine.Decision) {
	switch decision.Kind {
	case engine.DecisionServe:
		h.writeFinal(w, r, http.StatusOK, decision.Result)
	case engine.DecisionShed:
		setRetryAfter(w, decision.RetryAfter)
		h.writeFinal(w, r, http.StatusServiceUnavailable, []byte("refused\n"))
	case engine.DecisionFail:
		h.writeFinal(w, r, http.StatusInternalServerError, []byte("failed\n"))
	case engine.DecisionInvalid:
		h.reject(w, r, &requestError{http.StatusBadRequest, "a worker cannot use it", &h.Engine.Counters.RejectedByWorkers})
	}
}

// reject responds with the status for err to a request that never ran.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	var limited *engine.LimitError
	switch {
	case errors.Is(err, errOverLimit), errors.Is(err, engine.ErrTooManyOpen):
		h.rejectOverLimit(w, r)
	case errors.Is(err, errNoEndpoints):
		h.rejectNotReady(w, r)
	case errors.As(err, &limited):
		h.rejectOverRouteLimit(w, r, limited)
	default:
		h.rejectBadRequest(w, r, err)
	}
}

// rejectOverLimit closes the connection to free its resources: a client that retries does so later, on another connection.
func (h *Handler) rejectOverLimit(w http.ResponseWriter, r *http.Request) {
	h.Engine.Counters.RejectedOverLimit.Add(1)
	setRetryAfter(w, time.Duration(h.retryAfter.Load()))
	h.writeUncounted(w, r, http.StatusServiceUnavailable, []byte(overLimitText), true)
}

// rejectNotReady keeps the connection open: the client is not at fault, and may retry on it.
func (h *Handler) rejectNotReady(w http.ResponseWriter, r *http.Request) {
	h.Engine.Counters.RejectedOverLimit.Add(1)
	setRetryAfter(w, time.Duration(h.retryAfter.Load()))
	h.writeUncounted(w, r, http.StatusServiceUnavailable, []byte(errNoEndpoints.Error()+"\n"), false)
}

// rejectOverRouteLimit keeps the connection open: the client is not at fault, and may retry on it.
func (h *Handler) rejectOverRouteLimit(w http.ResponseWriter, r *http.Request, limited *engine.LimitError) {
	setRetryAfter(w, min(limited.RetryAfter, time.Duration(h.maxRetryAfter.Load())))
	h.writeUncounted(w, r, http.StatusServiceUnavailable, []byte(limited.Error()+"\n"), false)
}

// rejectBadRequest closes the connection, since the data after an invalid request may not be a request.
func (h *Handler) rejectBadRequest(w http.ResponseWriter, r *http.Request, err error) {
	counters := &h.Engine.Counters
	var bad *requestError
	switch {
	case errors.As(err, &bad):
	case errors.Is(err, engine.ErrUnknownClass):
		bad = &requestError{http.StatusNotFound, err.Error(), &counters.BadClasses}
	case errors.Is(err, engine.ErrDuplicateID):
		bad = &requestError{http.StatusBadRequest, err.Error(), &counters.BadIDs}
	default:
		bad = &requestError{http.StatusBadRequest, err.Error(), &counters.BadHeaders}
	}
	counters.BadRequests.Add(1)
	bad.counter.Add(1)
	h.writeUncounted(w, r, bad.status, []byte(bad.reason+"\n"), true)
}

// setRetryAfter sets the Retry-After header. A delay of 0 sets none.
func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay > 0 {
		w.Header().Set("Retry-After", formatRetryAfter(delay))
	}
}

// formatRetryAfter returns the value of a Retry-After header: seconds, with three decimals.
func formatRetryAfter(delay time.Duration) string {
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}

// writeFinal writes the response to a request that the engine has accepted, and counts failed writes.
func (h *Handler) writeFinal(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	if h.write(w, r, status, body, false) != nil {
		h.Engine.Counters.WriteFailures.Add(1)
	}
}

// writeUncounted writes any other response. A failure is not counted: it ends the connection, and no client waits for the response.
func (h *Handler) writeUncounted(w http.ResponseWriter, r *http.Request, status int, body []byte, final bool) {
	_ = h.write(w, r, status, body, final)
}

// write writes a response. writeTimeout limits how long a client that does not read the response occupies its connection. The connection is
// closed afterwards if final is set or keep-alives are disabled.
func (h *Handler) write(w http.ResponseWriter, r *http.Request, status int, body []byte, final bool) error {
	conn := connFromContext(r.Context())
	if conn.beginResponse(final || h.keepAlivesDisabled.Load()) {
		w.Header().Set("Connection", "close")
	}
	defer conn.endResponse()
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, on which the write fails too
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return controller.Flush() // a failed write of a short response would otherwise occur only after the handler has returned
}
