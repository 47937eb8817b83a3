package engine

import (
	"testing"
	"time"

	"birchfork/dispatch"
)

// The decision module is not notified of requests that Open rejects.
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
			t.Errorf("%+v: error %v, want %v", spec, err, c.want)
		}
	}
	mustOpen(t, engine, "a")
	if _, err := engine.Open(specOf("a")); !isExactly(err, ErrDuplicateID) {
		t.Errorf("second request with the same id: error %v, want ErrDuplicateID", err)
	}
	mustOpen(t, engine, "b")
	if _, err := engine.Open(specOf("c")); !isExactly(err, ErrTooManyOpen) {
		t.Errorf("request above the limit: error %v, want ErrTooManyOpen", err)
	}
	if n := decider.count(dispatch.RequestArrived); n != 2 {
		t.Fatalf("the decision module received %d requests, want 2", n)
	}
}

// A request is answered once, and its internal id is then reused for another request.
func TestRequest_ServedOnceAndIDFreed(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	attempt.ReportStarted()
	attempt.ReportProgress(0.5)
	attempt.Finish(dispatch.ResultOK, []byte("x"))
	attempt.Finish(dispatch.ResultFailed, nil) // must have no effect
	decision := <-request.Decisions()
	if decision.Kind != DecisionServe || string(decision.Result) != "x" {
		t.Fatalf("decision %+v, want DecisionServe with result x", decision)
	}
	request.Close()
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 1 || !ends[0].Final || ends[0].Result != dispatch.ResultOK {
		t.Fatalf("AttemptEnded events %+v, want one that is final and OK", ends)
	}
	if decider.count(dispatch.RequestAbandoned) != 0 || decider.count(dispatch.AttemptStarted) != 1 {
		t.Fatalf("events %+v, want no RequestAbandoned and one AttemptStarted", decider.events)
	}
	if progress := decider.eventsOf(dispatch.AttemptProgressed)[0].Progress; progress != 0.5 {
		t.Fatalf("progress %v, want 0.5", progress)
	}
	if got := mustOpen(t, engine, "b"); got.id != request.id {
		t.Fatalf("the internal id %d was not reused; got %d", request.id, got.id)
	}
}

// If a client disconnects before an attempt was received from the channel, the attempt has to end. Otherwise the decision module
// would count its slot as occupied forever.
func TestClose_FinishesUnreceivedAttempt(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	request.Close()
	request.Close()
	if n := decider.count(dispatch.RequestAbandoned); n != 1 {
		t.Fatalf("%d RequestAbandoned events, want 1", n)
	}
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 1 || ends[0].Result != dispatch.ResultNotSent || !ends[0].Final {
		t.Fatalf("AttemptEnded events %+v, want one that is final and not sent", ends)
	}
	if engine.requests[request.id] != nil || engine.OpenRequests() != 0 {
		t.Fatal("the request is still stored after its end")
	}
}

// Abort returns the decision module's final decision if there is one, although the request's deadline has passed.
func TestAbort_PrefersDeciderAnswer(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	(<-request.Decisions()).Attempt.Finish(dispatch.ResultOK, []byte("x"))
	if decision := request.Abort(); decision.Kind != DecisionServe || string(decision.Result) != "x" {
		t.Fatalf("decision %+v, want DecisionServe with result x", decision)
	}
	request.Close()
	request = mustOpen(t, engine, "b") // its attempt is not received from the channel, and therefore never ran
	if decision := request.Abort(); decision.Kind != DecisionShed {
		t.Fatalf("decision %+v, want DecisionShed", decision)
	}
	request.Close()
	counters := &engine.Counters
	if counters.Served.Load() != 1 || counters.Overdue.Load() != 1 || counters.ClientDisconnects.Load() != 0 {
		t.Fatal("want 1 request served, 1 overdue and no client disconnect; counters", counters.Fields())
	}
	if n := decider.count(dispatch.RequestAbandoned); n != 1 {
		t.Fatalf("%d requests were abandoned, want 1", n)
	}
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 2 || ends[1].Result != dispatch.ResultNotSent || engine.OpenRequests() != 0 {
		t.Fatalf("AttemptEnded events %+v, want two, the second not sent; %d requests open, want 0", ends, engine.OpenRequests())
	}
}

// Without a final decision of the decision module, a request is shed only if none of its attempts can have run. Otherwise it fails.
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
			t.Errorf("%s: decision %+v, want kind %v", c.name, decision, c.want)
		}
		request.Close()
		attempt.Finish(dispatch.ResultTimedOut, nil)
	}
}

// Attempts may outlive their request. The internal id of the request must not be reused while an attempt refers to it.
func TestRequest_KeepsIDWhileAttemptInFlight(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	request.Close()
	if next := mustOpen(t, engine, "b"); next.id == request.id {
		t.Fatal("the internal id was reused while an attempt was in flight")
	}
	attempt.Finish(dispatch.ResultTimedOut, nil)
	if engine.requests[request.id] != nil {
		t.Fatal("the request is still stored after its end")
	}
}

// No decision follows a final one, whatever actions the decision module returns.
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
			return []dispatch.Action{action, action, {Kind: dispatch.Send, Request: event.Request}} // only the first one may take effect
		}}
		engine := newEngine(t, decider)
		request := mustOpen(t, engine, "a")
		if decision := <-request.Decisions(); decision.Kind != c.kind || decision.RetryAfter != c.retryAfter {
			t.Errorf("decision %+v, want %v", decision, c.kind)
		}
		select {
		case decision := <-request.Decisions():
			t.Errorf("decision %+v after a final one, want none", decision)
		default:
		}
		request.Close()
		counters := &engine.Counters
		if decider.count(dispatch.RequestAbandoned) != 0 || counters.AttemptsSent.Load() != 0 || counters.InvalidActions.Load() == 0 {
			t.Errorf("events %+v, want no RequestAbandoned and no attempt sent; %d invalid actions, want at least 1", decider.events, counters.InvalidActions.Load())
		}
	}
}
