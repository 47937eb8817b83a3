package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"birchfork/dispatch"
)

// MaxLineBytes bounds a line of a worker's answer: a result of 64 KiB with every byte escaped fits.
const MaxLineBytes = 1 << 20

// Further bounds on a worker's answer.
const (
	maxHeadBytes  = 64 << 10        // of the status line and the headers
	maxDrainBytes = 64 << 10        // of what is read behind the line that decided the outcome
	drainTimeout  = 1 * time.Second // for the end of the answer, from that line on
)

// jobState is the state of a job in a line of a worker's answer.
type jobState string

// The states of the platform's protocol.
const (
	stateStarted  jobState = "started"  // the job runs
	stateRunning  jobState = "running"  // a part of it is done
	stateDone     jobState = "done"     // it ended with a result
	stateFailed   jobState = "failed"   // it ended without one
	stateReturned jobState = "returned" // the worker did not run it
	stateLost     jobState = "lost"     // the worker does not know what became of it
)

// Faults of a line. They are counted alike; the texts are for tests and debuggers.
var (
	errWrongID         = errors.New("the line is about another request")
	errUnknownState    = errors.New("unknown state")
	errLineTooLong     = errors.New("line too long")
	errInvalidProgress = errors.New("progress is not between 0 and 1")
	errNoResult        = errors.New("finished job without a result")
)

// statusUpdate is a line of a worker's answer.
type statusUpdate struct {
	State    jobState
	Progress float64 // between 0 and 1, if the state is stateRunning
	Result   []byte  // if the state is stateDone
}

// decodeStatusUpdate decodes a line about the request id.
func decodeStatusUpdate(line []byte, id string) (statusUpdate, error) {
	var message struct {
		ID       string          `json:"id"`
		State    jobState        `json:"state"`
		Progress float64         `json:"share"`
		Result   json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(line, &message); err != nil {
		return statusUpdate{}, fmt.Errorf("not a JSON object: %w", err)
	}
	if message.ID != id {
		return statusUpdate{}, errWrongID
	}
	update := statusUpdate{State: message.State, Progress: message.Progress}
	switch message.State {
	case stateStarted, stateFailed, stateReturned, stateLost:
		return update, nil
	case stateRunning:
		if !(message.Progress >= 0 && message.Progress <= 1) {
			return statusUpdate{}, errInvalidProgress
		}
		return update, nil
	case stateDone:
		var result *string
		if json.Unmarshal(message.Result, &result) != nil || result == nil {
			return statusUpdate{}, errNoResult
		}
		update.Result = []byte(*result)
		return update, nil
	default:
		return statusUpdate{}, errUnknownState
	}
}

// readStatusUpdate reads the next line about the request id, past empty ones.
func readStatusUpdate(body *bufio.Reader, id string) (statusUpdate, error) {
	for {
		line, err := readLine(body, MaxLineBytes)
		if err != nil {
			return statusUpdate{}, err
		}
		if len(line) > 0 {
			return decodeStatusUpdate(line, id)
		}
	}
}

// readLine returns the next line without its end, of maxBytes at most. Only the last line of a complete answer may lack its end. The line is
// valid until the next read.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte // what a full buffer has brought of it
	for {
		part, err := r.ReadSlice('\n')
		size := len(line) + len(part)
		if size > maxBytes {
			return nil, errLineTooLong
		}
		switch {
		case err == nil && line == nil:
			return bytes.TrimRight(part, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(line, part...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			line = append(line, part...)
		case errors.Is(err, io.EOF) && size > 0:
			return append(line, part...), nil
		default:
			return nil, err
		}
	}
}

// resultOfState returns the result of an attempt whose last line has a final state.
func resultOfState(state jobState) dispatch.Result {
	switch state {
	case stateDone:
		return dispatch.ResultOK
	case stateReturned:
		return dispatch.ResultOverloaded
	case stateLost:
		return dispatch.ResultDisconnected
	default:
		return dispatch.ResultFailed
	}
}

// resultOfStatus returns the result of an attempt that was answered with another status than 200.
func resultOfStatus(response *http.Response) dispatch.Result {
	mayBeUnrun := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout
	if mayBeUnrun && response.Header.Get("X-Not-Run") == "1" {
		return dispatch.ResultOverloaded
	}
	return dispatch.ResultFailed
}

// isConnEnd reports whether a read failed because the connection ended, broke or timed out. All other errors are malformed answers.
func isConnEnd(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

// drain reads what is left of an answer whose outcome is known, and reports whether the connection can be used again: the answer has to end
// in order, and soon.
func drain(conn *Conn, response *http.Response, body io.Reader) bool {
	defer response.Body.Close()
	endsByClose := response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if endsByClose {
		return false
	}
	if conn.SetDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}
