package loadgen

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// exchange is one try of a client's request in progress: the request, its answer and its record in the ledger.
type exchange struct {
	generator *Generator
	planned   *scenario.Request
	deadline  time.Duration // on the ledger's clock
	try       *invariant.Try
	request   *Request
	answer    Answer
}

// sendTry sends one try of a request and waits for the answer. index is the index of the request in the schedule, number that of
// the try, and resent the number of times that the request was resent because its connection had been closed.
func (g *Generator) sendTry(index, number, resent int, deadline time.Duration) (*invariant.Try, Answer) {
	e := g.newExchange(index, number, resent, deadline)
	conn, dispatcher := e.connect()
	if conn == nil {
		e.settle(invariant.Unsent)
		return e.try, e.answer
	}
	e.request.TimeLeft = (deadline - g.ledger.Now()).Truncate(time.Millisecond)
	if e.request.TimeLeft < time.Millisecond {
		dispatcher.pool.put(conn)
		e.settle(invariant.Unsent)
		return e.try, e.answer
	}
	if err := e.send(conn); err != nil {
		e.fail(conn, err)
		return e.try, e.answer
	}
	e.receive(conn, dispatcher)
	return e.try, e.answer
}

// newExchange creates a try, registers its request for the workers and records it in the ledger.
func (g *Generator) newExchange(index, number, resent int, deadline time.Duration) *exchange {
	planned := &g.schedule.Requests[index]
	class := &g.schedule.Scenario.Classes[planned.Class]
	id := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d/%d/%d/%d", g.schedule.Seed, index, number, resent)))
	q := &Request{
		ID:     id,
		Class:  class.Name,
		Target: fmt.Sprintf("/%s/lab?w=%d", class.Name, index),
		Retry:  number > 0 && g.schedule.Scenario.Clients.MarkRetries,
	}
	if planned.Body > 0 {
		q.Body = g.padding[index%maxBodyOffset:][:planned.Body]
	}
	if planned.Tenant >= 0 {
		q.Tenant = g.schedule.Scenario.Tenants[planned.Tenant].Name
	}
	if class.Slots > 1 || class.Memory > 0 {
		q.Extras = fmt.Sprintf("slots=%d,memory=%g", class.Slots, class.Memory)
	}
	g.sentRequests.Store(id, &sentRequest{ExpectedRequest: fakes.ExpectedRequest{
		Work:   planned.Work,
		Slots:  class.Slots,
		Memory: class.Memory,
		Kind:   class.Kind,
		Target: q.Target,
		Body:   xxhash.Sum64(q.Body),
	}})
	try := &invariant.Try{ID: id, Request: index, Number: number, Class: planned.Class}
	g.ledger.Try(try)
	return &exchange{generator: g, planned: planned, deadline: deadline, try: try, request: q}
}

// connect returns a connection to the client's dispatcher or else to the next one that accepts it, or nil if none does in time.
func (e *exchange) connect() (*Conn, *Dispatcher) {
	g := e.generator
	for hops := 0; ; {
		e.try.Dispatcher = g.dispatcherFor(e.planned.Dispatcher, hops)
		dispatcher := g.dispatchers[e.try.Dispatcher]
		if conn := dispatcher.pool.take(); conn != nil {
			return conn, dispatcher
		}
		conn, err := Dial(dispatcher.Address, dialTimeout)
		if err == nil {
			return conn, dispatcher
		}
		hops++
		if hops >= 2*len(g.dispatchers) || g.ledger.Now()+redialDelay >= e.deadline {
			return nil, nil
		}
		time.Sleep(redialDelay)
	}
}

// send writes the request and records the time at which it was sent and its deadline.
func (e *exchange) send(conn *Conn) error {
	ledger := e.generator.ledger
	e.try.Fresh = conn.isFresh
	before := ledger.Now()
	err := conn.Send(e.request)
	ledger.Do(func() { e.try.Sent, e.try.Due = ledger.Now(), before+e.request.TimeLeft })
	return err
}

// receive waits for the answer until lateAnswerWait after the deadline, or until the time at which the client leaves.
func (e *exchange) receive(conn *Conn, dispatcher *Dispatcher) {
	g := e.generator
	waitUntil := e.try.Due + lateAnswerWait
	leavesAt := g.origin + e.planned.At + e.planned.LeavesAfter
	leaves := e.planned.LeavesAfter > 0 && leavesAt < waitUntil
	if leaves {
		waitUntil = leavesAt
	}
	var reusable bool
	var err error
	e.answer, reusable, err = conn.Receive(time.Now().Add(waitUntil - g.ledger.Now()))
	switch {
	case err != nil && leaves && g.ledger.Now() >= leavesAt:
		conn.Close()
		e.settle(invariant.Left)
	case err == nil || errors.Is(err, errExtraBytes):
		e.settle(outcomeOf(e.answer.Status))
		if err != nil {
			e.recordExtraBytes()
		}
		conn.onExtraBytes = e.recordExtraBytes
		if reusable {
			dispatcher.pool.put(conn)
		} else {
			conn.Close()
		}
	default:
		e.fail(conn, err)
	}
}

// fail closes the connection and settles a try without a complete answer.
func (e *exchange) fail(conn *Conn, err error) {
	conn.Close()
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		e.settle(invariant.NoAnswer)
	case e.try.Sent == 0:
		e.settle(invariant.Unsent)
	default:
		e.settle(invariant.Closed)
	}
}

// settle records the outcome of the try.
func (e *exchange) settle(outcome invariant.Outcome) {
	ledger := e.generator.ledger
	ledger.Do(func() {
		e.try.Outcome, e.try.Status, e.try.Ended = outcome, e.answer.Status, ledger.Now()
		if outcome == invariant.Served {
			e.try.Result = e.answer.Hash()
		}
	})
}

// recordExtraBytes records that bytes followed the answer.
func (e *exchange) recordExtraBytes() {
	e.generator.ledger.Do(func() { e.try.ExtraData = true })
}

// outcomeOf returns the outcome of a complete answer with the given status.
func outcomeOf(status int) invariant.Outcome {
	switch status {
	case http.StatusOK:
		return invariant.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return invariant.Refused
	default:
		return invariant.Failed
	}
}
