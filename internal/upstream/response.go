package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"birchfork/dispatch"
)

// MaxLineBytes is the maximum length of a line in a worker's response. It is sufficient for a result of 64 KiB with every byte escaped.
const MaxLineBytes = 1 << 20

// Further limits on a worker's response.
const (
	maxHeadBytes  = 64 << 10        // maximum length of the status line and the headers
	maxDrainBytes = 64 << 10        // maximum number of bytes to read after the line that determined the outcome
	drainTimeout  = 1 * time.Second // maximum time to the end of the response after that line
)

// jobState is the state of a request according to a line of a worker's response. The platform's protocol calls a request a job.
type jobState string

// States of the platform's protocol.
const (
	stateStarted  jobState = "started"  // the job has started to run
	stateRunning  jobState = "running"  // the job reports progress
	stateDone     jobState = "done"     // the job ended with a result
	stateFailed   jobState = "failed"   // the job ended without a result
	stateReturned jobState = "returned" // the worker did not run the job
	stateLost     jobState = "lost"     // the worker does not know the state of the job
)

// Errors of a malformed line. They share one counter; their texts are for tests and debugging.
var (
	errWrongID         = errors.New("invalid id: must be the id of the request")
	errUnknownState    = errors.New("unknown state")
	errLineTooLong     = errors.New("line too long")
	errInvalidProgress = errors.New("invalid share: must be between 0 and 1")
	errNoResult        = errors.New("missing or invalid result: must be a string if the state is done")
)

// statusUpdate is a decoded line of a worker's response.
type statusUpdate struct {
	State    jobState
	Progress float64 // between 0 and 1; set if the state is stateRunning
	Result   []byte  // set if the state is stateDone
}

// resultText is the result in a line. It is decoded without a copy of its JSON text, which may take most of the line.
type resultText struct {
	text     []byte
	isString bool
}

// UnmarshalJSON implements json.Unmarshaler. It accepts any value, because the value is not used in most states.
func (r *resultText) UnmarshalJSON(raw []byte) error {
	var text *string
	*r = resultText{}
	if json.Unmarshal(raw, &text) == nil && text != nil {
		r.text = []byte(*text)
		r.isString = true
	}
	return nil
}

// decodeStatusUpdate decodes a line that has to refer to the request with the given id.
func decodeStatusUpdate(line []byte, id string) (statusUpdate, error) {
	var message struct {
		ID       string     `json:"id"`
		State    jobState   `json:"state"`
		Progress float64    `json:"share"`
		Result   resultText `json:"result"`
	}
	if err := json.Unmarshal(line, &message); err != nil {
		return statusUpdate{}, fmt.Errorf("malformed status update: %w", err)
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
		if !message.Result.isString {
			return statusUpdate{}, errNoResult
		}
		update.Result = message.Result.text
		return update, nil
	default:
		return statusUpdate{}, errUnknownState
	}
}

// resultOfState returns the result of an attempt for the final state in its last line.
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

// resultOfStatus returns the result of an attempt for a response with a status other than 200.
func resultOfStatus(response *http.Response) dispatch.Result {
	mayNotHaveRun := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout
	if mayNotHaveRun && response.Header.Get("X-Not-Run") == "1" {
		return dispatch.ResultOverloaded
	}
	return dispatch.ResultFailed
}

// isConnError reports whether a read failed because the connection was closed, was reset or timed out. All other errors are caused by
// malformed responses.
func isConnError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

// drain reads the rest of a response whose outcome is known, and reports whether the connection can be reused. The response has to be
// complete within maxDrainBytes and drainTimeout.
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
