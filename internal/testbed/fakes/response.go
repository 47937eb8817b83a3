package fakes

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/invariant"
)

// jobState is the state of a job in a line of a worker's response.
type jobState string

const (
	jobStarted  jobState = "started"
	jobRunning  jobState = "running"
	jobDone     jobState = "done"
	jobFailed   jobState = "failed"
	jobReturned jobState = "returned" // was queued and will not run
	jobLost     jobState = "lost"
)

// appendHead appends a response without a body to the output; headers is "" or complete lines with CRLF. The worker's lock is
// held, as for all methods that change the output.
func (c *conn) appendHead(status int, headers string) {
	c.output = append(c.output, fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)...)
}

// appendChunkedHead appends the head of the response for an accepted job.
func (c *conn) appendChunkedHead() {
	c.output = append(c.output, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"...)
}

// reject appends the response for a job that is not accepted and will not run.
func (c *conn) reject() {
	c.appendHead(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n")
	c.endAttempt(invariant.Rejected)
}

// appendLine appends a chunk with one line about the open job; fields is "" or further JSON fields with a leading comma.
func (c *conn) appendLine(state jobState, fields string) {
	line := `{"id":` + strconv.Quote(c.id) + `,"from":"` + c.link.worker.Name + `","state":"` + string(state) + `"` + fields + "}\n"
	c.output = append(strconv.AppendInt(c.output, int64(len(line)), 16), "\r\n"...)
	c.output = append(append(c.output, line...), "\r\n"...)
}

// appendLastLine appends the last line about the open job and ends the response and the attempt.
func (c *conn) appendLastLine(state jobState, fields string, end invariant.End) {
	c.appendLine(state, fields)
	c.output = append(c.output, "0\r\n\r\n"...)
	c.endAttempt(end)
}

// appendResult ends the open job with a result that is unique to the attempt.
func (c *conn) appendResult() {
	w, a := c.link.worker, c.attempt
	result := fmt.Sprintf("%s ran at %s, life %d, from %d", c.id, w.Name, a.Incarnation, a.Last)
	w.cfg.Ledger.Do(func() { a.Result = xxhash.Sum64String(result) })
	c.appendLastLine(jobDone, `,"result":`+strconv.Quote(result), invariant.Done)
}
