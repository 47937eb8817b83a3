package engine

import (
	"testing"
	"time"

	"birchfork/dispatch"
)

// What Open rejects does not reach the decision module.
func TestOpen_RejectsBeforeDecider(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	for _, c := range []struct {
		change func(*RequestSpec)
		want   error
	}{
		{func(spec *RequestSpec) { spec.Class = "other" }, ErrUnknownClass},
		{func(spec *RequestSpec) { spec.Tenant = "other" }, ErrUnknownTenant},
	} {
		spec := specOf("x")
		c.change(&spec)
		if _, err := engine.Open(spec); !isExactly(err, c.want) {
			t.Errorf("%+v: %v, want %v", spec, err, c.want)
		}
	}
	mustOpen(t, engine, "a")
	if _, err := engine.Open(specOf("a")); !isExactly(err, ErrDuplicateID) {
		t.Errorf("a second request of the same id: %v", err)
	}
	mustOpen(t, engine, "b")
	if _, err := engine.Open(specOf("c")); !isExactly(err, ErrTooManyOpen) {
		t.Errorf("a request over the limit: %v", err)
	}
	if n := decider.count(dispatch.RequestArrived); n != 2 {
		t.Fatalf("%d requests reached the decision module, want 2", n)
	}
}

// A request is answered once, and its id is then reused for another request.
func TestRequest_ServedOnceAndIDFreed(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	attempt.ReportStarted()
	attempt.ReportProgress(0.5)
	attempt.Finish(dispatch.ResultOK, []byte("x"))
	attempt.Finish(dispatch.ResultFailed, nil) // only the first end counts
	decision := <-request.Decisions()
	if decision.Kind != DecisionServe || string(decision.Result) != "x" {
		t.Fatalf("decision %+v", decision)
	}
	request.Close()
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 1 || !ends[0].Final || ends[0].Result != dispatch.ResultOK {
		t.Fatalf("ends %+v", ends)
	}
	if decider.count(dispatch.RequestAbandoned) != 0 || decider.count(dispatch.AttemptStarted) != 1 {
		t.Fatalf("events %+v", decider.events)
	}
	if progress := decider.eventsOf(dispatch.AttemptProgressed)[0].Progress; progress != 0.5 {
		t.Fatalf("progress %v, want 0.5", progress)
	}
	if got := mustOpen(t, engine, "b"); got.id != request.id {
		t.Fatalf("the id %d was not used again, but %d", request.id, got.id)
	}
}

// A request whose client has disconnected may have an attempt that nobody carries out: it must end, or the decision module counts
// its slot as used forever.
func TestClose_FinishesUnreceivedAttempt(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	request.Close()
	request.Close()
	if n := decider.count(dispatch.RequestAbandoned); n != 1 {
		t.Fatalf("the request was abandoned %d times", n)
	}
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 1 || ends[0].Result != dispatch.ResultNotSent || !ends[0].Final {
		t.Fatalf("ends %+v", ends)
	}
	if engine.requests[request.id] != nil || engine.OpenRequests() != 0 {
		t.Fatal("the request is still kept")
	}
}

// A request whose time is up fails, unless the decision module's answer has just arrived.
func TestAbort_PrefersDeciderAnswer(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	(<-request.Decisions()).Attempt.Finish(dispatch.ResultOK, []byte("x"))
	if decision := request.Abort(); decision.Kind != DecisionServe || string(decision.Result) != "x" {
		t.Fatalf("decision %+v", decision)
	}
	request.Close()
	request = mustOpen(t, engine, "b") // its attempt is never received: it never ran
	if decision := request.Abort(); decision.Kind != DecisionShed {
		t.Fatalf("decision %+v", decision)
	}
	request.Close()
	counters := &engine.Counters
	if counters.Served.Load() != 1 || counters.Overdue.Load() != 1 || counters.ClientDisconnects.Load() != 0 {
		t.Fatal(counters.Fields())
	}
	if n := decider.count(dispatch.RequestAbandoned); n != 1 {
		t.Fatalf("%d requests were abandoned, want 1", n)
	}
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 2 || ends[1].Result != dispatch.ResultNotSent || engine.OpenRequests() != 0 {
		t.Fatalf("ends %+v, %d requests open", ends, engine.OpenRequests())
	}
}

// Without an answer of the decision module, a request may be rejected only where none of its attempts can have run.
func TestAbort_ShedsOnlyWhatNeverRan(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{respond: sendToFirstWorker})
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	for _, c := range []struct {
		name     string
		result   dispatch.Result
		inFlight bool
		want     DecisionKind
	}{
		{"an attempt in flight", 0, true, DecisionFail},
		{"a connection that broke", dispatch.ResultDisconnected, false, DecisionFail},
		{"a failure", dispatch.ResultFailed, false, DecisionFail},
		{"an unknown outcome", dispatch.ResultUnknown, false, DecisionFail},
		{"a rejection by the worker", dispatch.ResultOverloaded, false, DecisionShed},
		{"no connection", dispatch.ResultUnreachable, false, DecisionShed},
	} {
		request := mustOpen(t, engine, c.name)
		attempt := (<-request.Decisions()).Attempt
		if !c.inFlight {
			attempt.Finish(c.result, nil)
		}
		if decision := request.Abort(); decision.Kind != c.want {
			t.Errorf("after %s: decision %+v", c.name, decision)
		}
		request.Close()
		attempt.Finish(dispatch.ResultTimedOut, nil)
	}
}

// Attempts outlive their request, whose id must not be reused while one of them can still refer to it.
func TestRequest_KeepsIDWhileAttemptInFlight(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	request.Close()
	if next := mustOpen(t, engine, "b"); next.id == request.id {
		t.Fatal("the id was used again")
	}
	attempt.Finish(dispatch.ResultTimedOut, nil)
	if engine.requests[request.id] != nil {
		t.Fatal("the request is still kept")
	}
}

// A final decision is the last one, whatever the decision module orders.
func TestDecisions_Final(t *testing.T) {
	for _, c := range []struct {
		action     dispatch.Action
		kind       DecisionKind
		retryAfter time.Duration
	}{
		{dispatch.Action{Kind: dispatch.Reject, Wait: 1500 * dispatch.Millisecond}, DecisionShed, 1500 * time.Millisecond},
		{dispatch.Action{Kind: dispatch.Fail}, DecisionFail, 0},
	} {
		decider := &scriptedDecider{respond: func(event *dispatch.Event) []dispatch.Action {
			action := c.action
			action.Request = event.Request
			return []dispatch.Action{action, action, {Kind: dispatch.Send, Request: event.Request}} // nothing may follow a final decision
		}}
		engine := newEngine(t, decider)
		request := mustOpen(t, engine, "a")
		if decision := <-request.Decisions(); decision.Kind != c.kind || decision.RetryAfter != c.retryAfter {
			t.Errorf("decision %+v, want %v", decision, c.kind)
		}
		select {
		case decision := <-request.Decisions():
			t.Errorf("a further decision %+v", decision)
		default:
		}
		request.Close()
		counters := &engine.Counters
		if decider.count(dispatch.RequestAbandoned) != 0 || counters.AttemptsSent.Load() != 0 || counters.InvalidActions.Load() == 0 {
			t.Errorf("events %+v, %d invalid actions", decider.events, counters.InvalidActions.Load())
		}
	}
}
