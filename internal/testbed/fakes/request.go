package fakes

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/invariant"
)

// handleRequest handles a request that has been received completely.
func (w *Worker) handleRequest(c *conn, req *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer c.flush()
	if !c.link.isCurrent() {
		c.reset(invariant.Died)
		return
	}
	if c.job != nil {
		w.recordProtocolFault(c.link.dispatcher, "pipelined request: the previous request of the connection is not finished")
		c.drop()
		return
	}
	id := req.Header.Get("X-Request-Id")
	switch {
	case isHealthCheck(req):
		c.appendHead(http.StatusOK, "")
		return
	case id == "":
		c.appendHead(http.StatusNotFound, "")
		return
	}
	expected, ok := w.cfg.Requests.Find(id)
	if !ok {
		w.recordProtocolFault(c.link.dispatcher, "unknown request id "+strconv.Quote(id)+": no client sent it")
		c.appendHead(http.StatusBadRequest, "")
		return
	}
	attempt := &invariant.Attempt{
		ID: id, Worker: w.Index, Incarnation: w.incarnation, Dispatcher: c.link.dispatcher,
		First: c.firstByteAt, Last: w.cfg.Ledger.Now(),
	}
	attempt.Changed = differenceFrom(expected, req, body)
	c.id, c.attempt, c.work = id, attempt, expected.Work
	if !w.cfg.SuppressOutput {
		w.cfg.Ledger.Attempt(attempt)
	}
	w.startJob(c, expected)
}

func isHealthCheck(req *http.Request) bool {
	return req.Method == http.MethodGet && (req.URL.Path == "/alive" || req.URL.Path == "/metrics/load")
}

// differenceFrom describes how a request differs from what the client sent. It returns "" if it does not.
func differenceFrom(expected ExpectedRequest, req *http.Request, body []byte) string {
	switch {
	case req.Method != http.MethodPost || req.RequestURI != expected.Target:
		return fmt.Sprintf("received %s %s, the client sent POST %s", req.Method, req.RequestURI, expected.Target)
	case xxhash.Sum64(body) != expected.Body:
		return fmt.Sprintf("received a body of %d bytes that differs from the client's", len(body))
	default:
		return ""
	}
}

// startJob offers the job of a new attempt to the machine, or rejects it. The lock is held.
func (w *Worker) startJob(c *conn, expected ExpectedRequest) {
	j := &Job{Work: expected.Work.Seconds(), Slots: expected.Slots, Memory: expected.Memory}
	j.Fails = w.failingDispatchers[c.link.dispatcher] || w.failureRate > 0 && w.cfg.Fails() < w.failureRate
	isOtherKind := expected.Kind != "" && expected.Kind != w.spec.Kind
	if w.draining || isOtherKind {
		c.reject()
		return
	}
	w.step(func(m *Machine) {
		if !m.Offer(j) {
			c.reject()
			return
		}
		c.job = j
		if c.link.jobs == nil {
			c.link.jobs = map[*Job]*conn{}
		}
		c.link.jobs[j] = c
		c.appendChunkedHead()
	})
}

// recordProtocolFault records input that violates the protocol. The lock is held.
func (w *Worker) recordProtocolFault(dispatcher int, what string) {
	if !w.cfg.SuppressOutput {
		w.cfg.Ledger.ProtocolFault(invariant.ProtocolFault{Worker: w.Index, Dispatcher: dispatcher, At: w.cfg.Ledger.Now(), What: what})
	}
}
