package upstream

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// silenceThreshold is how long a worker may take to send the head of its response before its idle connections count as dead, if none arrives.
const silenceThreshold = 500 * time.Millisecond

// Transport carries out attempts over the connections of a pool. It is safe for concurrent use.
type Transport struct {
	Pool     *Pool
	Counters *engine.Counters
}

// outcome is how an attempt ended.
type outcome struct {
	result         dispatch.Result
	jobResult      []byte // if result is ResultOK
	invalidRequest bool   // the request is invalid, according to the worker
	silent         bool   // no response arrived within silenceThreshold

	// The rest of the response that decided the result; nil unless it was well-formed so far.
	response *http.Response
	body     *bufio.Reader
}

// Do carries out one attempt and reports its progress and its end to the engine. It owns the attempt's connection, which is returned to the
// pool after a complete response and closed in every other case. Do returns when the connection is released.
func (t *Transport) Do(attempt *engine.Attempt, request *Request) {
	conn, err := t.Pool.Get(attempt.Context(), attempt.Address())
	if err != nil {
		attempt.Finish(resultOfConnectError(attempt, err), nil)
		return
	}
	// Guards against a drain, a deadline or a client's disconnect during the dial.
	if !attempt.MaySend() || request.clientGone() {
		t.Pool.Put(conn)
		attempt.Finish(dispatch.ResultNotSent, nil)
		return
	}
	// A timeout or a cancellation interrupts whatever the connection is doing.
	stopInterrupt := context.AfterFunc(attempt.Context(), conn.interrupt)
	outcome := t.exchange(attempt, request, conn)
	interrupted := !stopInterrupt()
	reusable := !interrupted && outcome.response != nil
	if !reusable {
		// Before the outcome is reported: no further attempt may run while this one's connection is open. The reset guards against a silent
		// link, on which the kernel would continue to send what was written, even after the final answer.
		_ = conn.Reset()
	}
	if outcome.silent {
		// Guards against a machine that has vanished: its idle connections look open and accept data, whereas a new one cannot be opened,
		// which shows in time that a request never ran.
		t.Pool.CloseIdleTo(attempt.Address())
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

// exchange writes the request and reads the response up to the outcome.
func (t *Transport) exchange(attempt *engine.Attempt, request *Request, conn *Conn) outcome {
	if result, sent := send(attempt, request, conn); !sent {
		return outcome{result: result}
	}
	sentAt := time.Now()
	response, err := t.readHead(conn, request.Method) //nolint:bodyclose // it ends with the connection, or in drain
	if err != nil {
		return outcome{result: resultOfReadError(attempt), silent: time.Since(sentAt) >= silenceThreshold}
	}
	body := bufio.NewReader(response.Body)
	if response.StatusCode != http.StatusOK {
		// Guards against recording worker failures, and trying one worker after the other, for requests that no worker can use: for example
		// with the id of another request that is open at another dispatcher.
		invalidRequest := response.StatusCode >= 400 && response.StatusCode < 500
		return outcome{result: resultOfStatus(response), invalidRequest: invalidRequest, response: response, body: body}
	}
	return t.readUpdates(attempt, request.ID, response, body)
}

// send writes the request. If it was not written completely the worker cannot have run it, and result is the attempt's.
func send(attempt *engine.Attempt, request *Request, conn *Conn) (result dispatch.Result, sent bool) {
	deadline, _ := attempt.Context().Deadline()
	message := request.encode(attempt.Address(), time.Until(deadline))
	if attempt.NeedsLease() {
		// Guards against a worker that was put under maintenance while this process stood still in the middle of the request: a worker
		// starts a request on its last byte.
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

// readHead reads the status line and the headers of the response.
func (t *Transport) readHead(conn *Conn, method string) (*http.Response, error) {
	conn.setReadLimit(maxHeadBytes)
	response, err := http.ReadResponse(conn.Reader, &http.Request{Method: method})
	if err != nil {
		if !isConnError(err) || conn.readLimitReached() {
			t.Counters.BadWorkerLines.Add(1)
		}
		return nil, err
	}
	conn.setReadLimit(noReadLimit)
	return response, nil
}

// readUpdates reads the lines of the response up to a final one, and reports the others to the engine.
func (t *Transport) readUpdates(attempt *engine.Attempt, id string, response *http.Response, body *bufio.Reader) outcome {
	for {
		update, err := readStatusUpdate(body, id)
		if err != nil {
			if !isConnError(err) {
				t.Counters.BadWorkerLines.Add(1)
			}
			return outcome{result: resultOfReadError(attempt)}
		}
		switch update.State {
		case stateStarted:
			attempt.ReportStarted()
		case stateRunning:
			attempt.ReportProgress(update.Progress)
		default:
			return outcome{result: resultOfState(update.State), jobResult: update.Result, response: response, body: body}
		}
	}
}

// resultOfConnectError returns the result of an attempt that got no connection. The limits of this process are not the worker's fault.
func resultOfConnectError(attempt *engine.Attempt, err error) dispatch.Result {
	if errors.Is(err, ErrNoFileDescriptor) || attempt.Context().Err() != nil {
		return dispatch.ResultNotSent
	}
	return dispatch.ResultUnreachable
}

// resultOfWriteError returns the result of an attempt whose request could not be written completely.
func resultOfWriteError(attempt *engine.Attempt) dispatch.Result {
	if attempt.Cancelled() {
		return dispatch.ResultNotSent
	}
	return dispatch.ResultUnreachable
}

// resultOfReadError returns the result of an attempt whose response did not arrive completely.
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
