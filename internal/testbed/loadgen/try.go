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

// exchange is one try of a client's request under way: what it sends, what came back and its entry in the ledger.
type exchange struct {
	load    *Generator
	wish    *scenario.Request
	end     time.Duration // when the client's time is up, on the ledger's clock
	try     *invariant.Try
	request *Request
	answer  Answer
}

// sendTry sends one request and waits for its answer.
func (g *Generator) sendTry(wish, n, crossed int, end time.Duration) (*invariant.Try, Answer) {
	e := g.newExchange(wish, n, crossed, end)
	conn, front := e.connect()
	if conn == nil {
		e.settle(invariant.Unsent)
		return e.try, e.answer
	}
	e.request.Left = (end - g.ledger.Now()).Truncate(time.Millisecond)
	if e.request.Left < time.Millisecond {
		front.pool.put(conn)
		e.settle(invariant.Unsent)
		return e.try, e.answer
	}
	if err := e.send(conn); err != nil {
		e.fail(conn, err)
		return e.try, e.answer
	}
	e.receive(conn, front)
	return e.try, e.answer
}

// newExchange makes the request of a try and enters it in the book and in the ledger.
func (g *Generator) newExchange(wish, n, crossed int, end time.Duration) *exchange {
	w := &g.day.Requests[wish]
	class := &g.day.Scenario.Classes[w.Class]
	id := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d/%d/%d/%d", g.day.Seed, wish, n, crossed)))
	q := &Request{
		ID:     id,
		Class:  class.Name,
		Target: fmt.Sprintf("/%s/lab?w=%d", class.Name, wish),
		Retry:  n > 0 && g.day.Scenario.Clients.Mark,
	}
	if w.Body > 0 {
		q.Body = g.pad[wish%1024:][:w.Body]
	}
	if w.Tenant >= 0 {
		q.Tenant = g.day.Scenario.Tenants[w.Tenant].Name
	}
	if class.Slots > 1 || class.Memory > 0 {
		q.Extras = fmt.Sprintf("slots=%d,memory=%g", class.Slots, class.Memory)
	}
	g.book.Store(id, &booked{Order: fakes.Order{
		Work:   w.Work,
		Slots:  class.Slots,
		Memory: class.Memory,
		Kind:   class.Kind,
		Target: q.Target,
		Body:   xxhash.Sum64(q.Body),
	}})
	t := &invariant.Try{ID: id, Request: wish, Number: n, Class: w.Class}
	g.ledger.Try(t)
	return &exchange{load: g, wish: w, end: end, try: t, request: q}
}

// connect returns a connection to the client's dispatcher, or to the next that accepts one; nil if none does in time.
func (e *exchange) connect() (*Conn, *Dispatcher) {
	x := e.load
	for hop := 0; ; {
		e.try.Dispatcher = x.dispatcherFor(e.wish.Dispatcher, hop)
		front := x.dispatchers[e.try.Dispatcher]
		if conn := front.pool.take(); conn != nil {
			return conn, front
		}
		conn, err := Dial(front.Address, dialWait)
		if err == nil {
			return conn, front
		}
		hop++
		if hop >= 2*len(x.dispatchers) || x.ledger.Now()+elsewhere >= e.end {
			return nil, nil
		}
		time.Sleep(elsewhere)
	}
}

// send writes the request and notes when it was sent and is due.
func (e *exchange) send(conn *Conn) error {
	ledger := e.load.ledger
	e.try.Fresh = conn.fresh
	before := ledger.Now()
	err := conn.Send(e.request)
	ledger.Do(func() { e.try.Sent, e.try.Due = ledger.Now(), before+e.request.Left })
	return err
}

// receive waits for the answer, a little past the request's deadline, or until the client leaves as planned.
func (e *exchange) receive(conn *Conn, front *Dispatcher) {
	x := e.load
	stays := e.try.Due + overtime
	leavesAt := x.origin + e.wish.At + e.wish.Leaves
	leaves := e.wish.Leaves > 0 && leavesAt < stays
	if leaves {
		stays = leavesAt
	}
	var reusable bool
	var err error
	e.answer, reusable, err = conn.Receive(time.Now().Add(stays - x.ledger.Now()))
	switch {
	case err != nil && leaves && x.ledger.Now() >= leavesAt:
		conn.Close()
		e.settle(invariant.Left)
	case err == nil || errors.Is(err, errMore):
		e.settle(outcomeOf(e.answer.Status))
		if err != nil {
			e.answeredTwice()
		}
		conn.last = e.answeredTwice
		if reusable {
			front.pool.put(conn)
		} else {
			conn.Close()
		}
	default:
		e.fail(conn, err)
	}
}

// fail closes the connection and settles a try that got no whole answer.
func (e *exchange) fail(conn *Conn, err error) {
	conn.Close()
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		e.settle(invariant.Unknown)
	case e.try.Sent == 0:
		e.settle(invariant.Unsent)
	default:
		e.settle(invariant.Closed)
	}
}

// settle notes how the try ended.
func (e *exchange) settle(outcome invariant.Outcome) {
	ledger := e.load.ledger
	ledger.Do(func() {
		e.try.Outcome, e.try.Status, e.try.Ended = outcome, e.answer.Status, ledger.Now()
		if outcome == invariant.Served {
			e.try.Result = e.answer.Hash()
		}
	})
}

// answeredTwice notes that more came than one answer.
func (e *exchange) answeredTwice() {
	e.load.ledger.Do(func() { e.try.Twice = true })
}

// outcomeOf maps the status of a whole answer to its outcome.
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
