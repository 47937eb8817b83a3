package frontend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Bounds on what a worker may say.
const (
	headMost  = 64 << 10        // bytes of an answer's head
	lineMost  = 1 << 20         // bytes of a line: a result of 64 KiB with every byte escaped fits
	plainMost = 64 << 10        // bytes of an answer that is no job's
	restWait  = 1 * time.Second // for an answer's end after its last line

	silentFrom = 500 * time.Millisecond // without a head for so long: the connection may lead nowhere any more
)

// appendTo writes the request as it goes out. left tells the worker how long the answer is waited for.
func (c *call) appendTo(b []byte, host string, left time.Duration) []byte {
	b = append(append(append(append(b, c.method...), ' '), c.target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nX-Request-Id: "...)
	b = append(append(b, c.id...), "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(left.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(c.body)), 10)
	b = append(b, "\r\n"...)
	b = append(b, c.headers...)
	return append(append(b, "\r\n"...), c.body...)
}

// note is a line of a worker's answer.
type note struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
}

var (
	errID    = errors.New("the line is about another request")
	errState = errors.New("the state is unknown")
	errLong  = errors.New("the line is too long")
	errShare = errors.New("the share is not from 0 to 1")
	errNone  = errors.New("a finished job without a result")
)

// readNote decodes a line about the request id.
func readNote(line []byte, id string) (n note, result []byte, err error) {
	if err := json.Unmarshal(line, &n); err != nil {
		return n, nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if n.ID != id {
		return n, nil, errID
	}
	switch n.State {
	case "started", "failed", "returned", "lost":
	case "running":
		if !(n.Share >= 0 && n.Share <= 1) {
			return n, nil, errShare
		}
	case "done":
		var text *string
		if json.Unmarshal(n.Result, &text) != nil || text == nil {
			return n, nil, errNone
		}
		return n, []byte(*text), nil
	default:
		return n, nil, errState
	}
	return n, nil, nil
}

// readLine returns the next line without its end. A last line may lack its end only where the answer ended whole.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > most {
			return nil, errLong
		}
		switch {
		case err == nil && line == nil:
			return bytes.TrimRight(part, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(line, part...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			line = append(line, part...)
		case errors.Is(err, io.EOF) && len(line)+len(part) > 0:
			return append(line, part...), nil
		default:
			return nil, err
		}
	}
}

// Runners carries attempts out at workers.
type Runners struct {
	Pool     *engine.Pool
	Counters *engine.Counters
}

// ending is how an attempt ended, and what is left of the answer that said so; rest is nil where nothing whole is left.
type ending struct {
	result dispatch.Result
	answer []byte
	rest   func(*engine.Conn) bool
	silent bool // nothing came back for long

	rejected bool // the worker cannot use the request
}

// attempt carries one attempt out, from its connection to its end. It is the connection's one owner: the connection
// goes back to the pool after a whole answer and is closed in every other case.
func (x *Runners) attempt(a *engine.Attempt, c *call) {
	ctx := a.Context()
	conn, err := x.Pool.Get(ctx, a.Address())
	if err != nil {
		result := dispatch.Unreachable
		if errors.Is(err, engine.ErrNoDescriptor) || ctx.Err() != nil { // our own limit or time: no fault of the worker's
			result = dispatch.NotSent
		}
		a.Ended(result, nil)
		return
	}
	// Guards against a drain, a deadline or the client's leaving that came during the dial.
	if !a.Clear() || c.client.gone() {
		x.Pool.Put(conn)
		a.Ended(dispatch.NotSent, nil)
		return
	}
	// The end of ctx, a time-out or a cancel, breaks off whatever the connection is at.
	unhook := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	e := x.exchange(a, c, conn)
	usable := unhook() && e.rest != nil
	if !usable {
		// Before the outcome is told: a further attempt may not meet this one on an open connection. Guards with the reset
		// against a link that was silent: the kernel would go on sending what was written, after the final answer too.
		conn.Reset()
	}
	if e.silent {
		// Guards against a machine that vanished: its idle connections look open and swallow what they are given, while
		// a new one does not come up, which tells in time that a job never ran.
		x.Pool.Drop(a.Address())
	}
	if e.rejected {
		a.Rejected()
	} else {
		a.Ended(e.result, e.answer)
	}
	if usable && e.rest(conn) {
		x.Pool.Put(conn)
	} else {
		conn.Close()
	}
}

// exchange writes the request and reads the answer up to its outcome.
func (x *Runners) exchange(a *engine.Attempt, c *call, conn *engine.Conn) ending {
	end, _ := a.Context().Deadline()
	msg := c.appendTo(make([]byte, 0, 512+len(c.body)), a.Address(), time.Until(end))
	if a.Leased() {
		// Guards against a runner that was taken out while we stood still in the middle of the request: it begins with the
		// last byte.
		if _, err := conn.Write(msg[:len(msg)-1]); err != nil {
			return unsent(a)
		}
		if !a.Clear() {
			return ending{result: dispatch.NotSent}
		}
		msg = msg[len(msg)-1:]
	}
	if n, err := conn.Write(msg); err != nil && n < len(msg) { // its last byte never left: it cannot have run
		return unsent(a)
	}
	written := time.Now()
	conn.Limit(headMost)
	res, err := http.ReadResponse(conn.Reader, &http.Request{Method: c.method})
	if err != nil {
		if !isEnd(err) || conn.Spent() {
			x.Counters.BadRunnerLines.Add(1)
		}
		return ending{result: broken(a), silent: time.Since(written) >= silentFrom}
	}
	conn.Limit(engine.Unbounded)
	lines := bufio.NewReader(res.Body)
	rest := func(conn *engine.Conn) bool { return readRest(conn, res, lines) }
	if res.StatusCode != http.StatusOK {
		// Guards against judging workers, and trying one after the other, by requests that are none: with the id of
		// another's, say, that is open at another dispatcher.
		rejected := res.StatusCode >= 400 && res.StatusCode < 500
		return ending{result: outcome(res), rejected: rejected, rest: rest}
	}
	for {
		line, err := readLine(lines, lineMost)
		if err != nil {
			if !isEnd(err) {
				x.Counters.BadRunnerLines.Add(1)
			}
			return ending{result: broken(a)}
		}
		if len(line) == 0 {
			continue
		}
		n, result, err := readNote(line, c.id)
		if err != nil {
			x.Counters.BadRunnerLines.Add(1)
			return ending{result: broken(a)}
		}
		switch n.State {
		case "started":
			a.Started()
		case "running":
			a.Progressed(n.Share)
		case "done":
			return ending{result: dispatch.OK, answer: result, rest: rest}
		case "failed":
			return ending{result: dispatch.Failed, rest: rest}
		case "returned":
			return ending{result: dispatch.Full, rest: rest}
		case "lost":
			return ending{result: dispatch.Disconnected, rest: rest}
		}
	}
}

// unsent is the outcome of a request that could not be written whole.
func unsent(a *engine.Attempt) ending {
	if a.Cancelled() {
		return ending{result: dispatch.NotSent}
	}
	return ending{result: dispatch.Unreachable}
}

// broken is the outcome of an answer that did not come whole.
func broken(a *engine.Attempt) dispatch.Result {
	switch {
	case a.Cancelled():
		return dispatch.Cancelled
	case a.Context().Err() != nil:
		return dispatch.TimedOut
	default:
		return dispatch.Disconnected
	}
}

// outcome is what a status other than 200 says.
func outcome(res *http.Response) dispatch.Result {
	turnedAway := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout
	if turnedAway && res.Header.Get("X-Not-Run") == "1" {
		return dispatch.Full
	}
	return dispatch.Failed
}

// readRest reads what is left of an answer whose outcome is known. Only a connection whose answer ended in order, and
// soon, is used again.
func readRest(conn *engine.Conn, res *http.Response, r io.Reader) bool {
	defer res.Body.Close()
	if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return false
	}
	if conn.SetDeadline(time.Now().Add(restWait)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r, plainMost))
	return err == nil && n < plainMost
}

// isEnd tells a connection that ended or broke from one that carried nonsense.
func isEnd(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}
