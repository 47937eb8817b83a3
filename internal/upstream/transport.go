package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// silenceThreshold is the time without a response head after which a failed attempt makes the other idle connections to the worker count as
// dead.
const silenceThreshold = 500 * time.Millisecond

// Transport executes attempts over the connections of a pool. It is safe for concurrent use.
type Transport struct {
	Pool     *Pool
	Counters *engine.Counters
	Memory   *ResponseMemory // nil: no limit
}

// outcome is the outcome of an attempt.
type outcome struct {
	result         dispatch.Result
	jobResult      []byte // if result is ResultOK
	invalidRequest bool   // the worker reported the request as invalid
	silent         bool   // no response head arrived within silenceThreshold

	// The response that determined the result, with the unread rest of its body; nil if the response was malformed or incomplete.
	response *http.Response
	body     *bufio.Reader
}

// Do executes one attempt and reports its progress and outcome to the engine. It owns the attempt's connection, which it returns to the pool
// unused or after a complete response, and closes in all other cases. Do returns after the connection has been released.
func (t *Transport) Do(attempt *engine.Attempt, request *Request) {
	conn, err := t.Pool.Get(attempt.Context(), attempt.Address())
	if err != nil {
		attempt.Finish(resultOfConnectError(attempt, err), nil)
		return
	}
	// During the dial, the worker may have begun to drain, a deadline may have passed, or the client may have disconnected.
	if !attempt.MaySend() || request.clientGone() {
		t.Pool.Put(conn)
		attempt.Finish(dispatch.ResultNotSent, nil)
		return
	}
	// A timeout or a cancellation interrupts any read or write on the connection.
	stopInterrupt := context.AfterFunc(attempt.Context(), conn.interrupt)
	reservation := t.Memory.reserve(conn.interrupt)
	kept := false // the reservation is released with the request
	defer func() {
		if !kept {
			reservation.release()
		}
	}()
	outcome := t.exchange(attempt, request, conn, reservation)
	interrupted := !stopInterrupt()
	reusable := !interrupted && outcome.response != nil
	if !reusable {
		// The connection is closed before the outcome is reported, because no further attempt may run while it is open. It is reset because
		// the kernel would continue to send the written data over an unresponsive link, even after the final response.
		_ = conn.Reset()
	}
	if outcome.silent {
		// The worker's machine may have disappeared. Idle connections to it still look open and accept data. A new connection fails to open,
		// so that it is known that the request never ran.
		t.Pool.CloseIdleTo(attempt.Address())
	}
	if outcome.jobResult != nil && reservation.holdsMemory() {
		request.keep(reservation)
		kept = true
	}
	outcome.report(attempt)
	if reusable && drain(conn, outcome.response, outcome.body) {
		t.Pool.Put(conn)
	} else {
		_ = conn.Close()
	}
}

func (o *outcome) report(attempt *engine.Attempt) {
	if o.invalidRequest {
		attempt.ReportInvalidRequest()
		return
	}
	attempt.Finish(o.result, o.jobResult)
}

// exchange writes the request and reads the response until the outcome is known.
func (t *Transport) exchange(attempt *engine.Attempt, request *Request, conn *Conn, reservation *responseReservation) outcome {
	if result, sent := send(attempt, request, conn); !sent {
		return outcome{result: result}
	}
	sentAt := time.Now()
	head, err := t.readHead(attempt, request.Method, conn, reservation)
	if err != nil {
		return outcome{result: resultOfReadError(attempt), silent: time.Since(sentAt) >= silenceThreshold}
	}
	body := bufio.NewReader(head.response.Body)
	if status := head.response.StatusCode; status != http.StatusOK {
		// A request that no worker accepts must not count as a failure of workers or be retried at one worker after the other. An example is
		// a request with the id of another request that is open at another dispatcher.
		invalidRequest := status >= 400 && status < 500
		return outcome{result: head.result, invalidRequest: invalidRequest, response: head.response, body: body}
	}
	updates := &updateReader{ctx: attempt.Context(), id: request.ID, body: body, memory: reservation}
	return t.readUpdates(attempt, updates, head.response)
}

// send writes the request. If it returns false, the request was not written completely, the worker cannot have run it, and result is the
// result of the attempt.
func send(attempt *engine.Attempt, request *Request, conn *Conn) (result dispatch.Result, sent bool) {
	deadline, _ := attempt.Context().Deadline()
	message := request.encode(attempt.Address(), time.Until(deadline))
	if attempt.NeedsLease() {
		// A worker starts a request when it receives the last byte. The last byte is sent after another check, because the process may have
		// stalled after the first byte while the worker was put under maintenance.
		lastByte := len(message) - 1
		if _, err := conn.Write(message[:lastByte]); err != nil {
			return resultOfWriteError(attempt), false
		}
		if !attempt.MaySend() {
			return dispatch.ResultNotSent, false
		}
		message = message[lastByte:]
	}
	n, err := conn.Write(message)
	if err != nil && n < len(message) {
		return resultOfWriteError(attempt), false
	}
	return 0, true
}

// responseHead is the decoded head of a response.
type responseHead struct {
	response *http.Response  // without headers, whose memory is not reserved any more
	result   dispatch.Result // if the status is not 200
}

// readHead reads the status line and the headers of the response.
func (t *Transport) readHead(attempt *engine.Attempt, method string, conn *Conn, reservation *responseReservation) (responseHead, error) {
	head := headReservation{ctx: attempt.Context(), memory: reservation}
	conn.setReadLimit(maxHeadBytes)
	conn.onRead(head.add)
	response, err := http.ReadResponse(conn.Reader, &http.Request{Method: method}) //nolint:bodyclose // closed by drain, or with the connection
	conn.onRead(nil)
	if err != nil {
		err = cmp.Or(head.err, err)
		malformed := !isConnError(err) || conn.readLimitReached()
		t.recordReadError(err, malformed)
		return responseHead{}, err
	}
	conn.setReadLimit(noReadLimit)
	result := resultOfStatus(response)
	response.Header = nil
	response.Trailer = nil
	head.release()
	return responseHead{response: response, result: result}, nil
}

// recordReadError counts a response that could not be read, if the cause is its content.
func (t *Transport) recordReadError(err error, malformed bool) {
	ownCause := errors.Is(err, errNoResponseMemory) || errors.Is(err, context.Canceled)
	if malformed && !ownCause {
		t.Counters.BadWorkerLines.Add(1)
	}
}

// readUpdates reads the lines of the response up to the final one, and reports progress to the engine.
func (t *Transport) readUpdates(attempt *engine.Attempt, updates *updateReader, response *http.Response) outcome {
	for {
		update, err := updates.next()
		if err != nil {
			t.recordReadError(err, !isConnError(err))
			return outcome{result: resultOfReadError(attempt)}
		}
		switch update.State {
		case stateStarted:
			attempt.ReportStarted()
		case stateRunning:
			attempt.ReportProgress(update.Progress)
		default:
			return outcome{result: resultOfState(update.State), jobResult: update.Result, response: response, body: updates.body}
		}
	}
}

// resultOfConnectError returns the result of an attempt without a connection. The limits of this process do not count as a failure of the
// worker.
func resultOfConnectError(attempt *engine.Attempt, err error) dispatch.Result {
	if errors.Is(err, ErrNoFileDescriptor) || attempt.Context().Err() != nil {
		return dispatch.ResultNotSent
	}
	return dispatch.ResultUnreachable
}

// resultOfWriteError returns the result of an attempt whose request was not written completely.
func resultOfWriteError(attempt *engine.Attempt) dispatch.Result {
	if attempt.Cancelled() {
		return dispatch.ResultNotSent
	}
	return dispatch.ResultUnreachable
}

// resultOfReadError returns the result of an attempt whose response was incomplete or malformed.
func resultOfReadError(attempt *engine.Attempt) dispatch.Result {
	switch {
	case attempt.Cancelled():
		return dispatch.ResultCancelled
	case attempt.Context().Err() != nil:
		return dispatch.ResultTimedOut
	default:
		return dispatch.ResultDisconnected
	}
}
