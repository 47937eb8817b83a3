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

// MaxLineBytes limits a line of a worker's response: a result of 64 KiB with every byte escaped fits.
const MaxLineBytes = 1 << 20

// Further limits on a worker's response.
const (
	maxHeadBytes  = 64 << 10        // of the status line and the headers
	maxDrainBytes = 64 << 10        // of what is read after the line that decided the outcome
	drainTimeout  = 1 * time.Second // for the end of the response, from that line on
)

// jobState is the state of a request in a line of a worker's response. The platform's protocol calls a request a job.
type jobState string

// The states of the platform's protocol.
const (
	stateStarted  jobState = "started"  // it runs
	stateRunning  jobState = "running"  // it reports progress
	stateDone     jobState = "done"     // it ended with a result
	stateFailed   jobState = "failed"   // it ended without a result
	stateReturned jobState = "returned" // the worker did not run it
	stateLost     jobState = "lost"     // the worker does not know its state
)

// Errors of a line. They are counted together; the texts are for tests and debugging.
var (
	errWrongID         = errors.New("the line is about another request")
	errUnknownState    = errors.New("unknown state")
	errLineTooLong     = errors.New("line too long")
	errInvalidProgress = errors.New("progress is not between 0 and 1")
	errNoResult        = errors.New("finished job without a result")
)

// statusUpdate is a line of a worker's response.
type statusUpdate struct {
	State    jobState
	Progress float64 // between 0 and 1, if the state is stateRunning
	Result   []byte  // if the state is stateDone
}

// decodeStatusUpdate decodes a line about the request with an id.
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

// readStatusUpdate reads the next line about the request with an id, and skips empty ones.
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

// readLine returns the next line without its ending, at most maxBytes. Only the last line of a complete response may lack its ending. The
// line is valid until the next read.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte // the parts of the line that filled the buffer
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

// resultOfStatus returns the result of an attempt whose response has a status other than 200.
func resultOfStatus(response *http.Response) dispatch.Result {
	mayNotHaveRun := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout
	if mayNotHaveRun && response.Header.Get("X-Not-Run") == "1" {
		return dispatch.ResultOverloaded
	}
	return dispatch.ResultFailed
}

// isConnError reports whether a read failed because the connection ended, broke or timed out. All other errors are malformed responses.
func isConnError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

// drain reads the rest of a response whose outcome is known, and reports whether the connection can be reused: the response has to end
// properly, and soon.
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
