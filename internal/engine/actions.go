package engine

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// handle passes one event to the decision module and executes the returned actions. The caller must hold the lock.
func (e *Engine) handle(now dispatch.Time, event *dispatch.Event) {
	e.decide(now, event)
	for i := range e.actions {
		e.execute(now, &e.actions[i])
	}
}

// decide passes an event to the decision module and stores the returned actions in e.actions. It recovers from a panic in the module: the
// decision is lost, and the affected request ends at its deadline. The caller must hold the lock.
func (e *Engine) decide(now dispatch.Time, event *dispatch.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			e.actions = e.actions[:0]
			e.Counters.Panics.Add(1)
			e.log.WithFields(logrus.Fields{"event": event.Kind, "error": cause, "stack": string(debug.Stack())}).
				Error("decision module panicked")
		}
	}()
	e.actions = e.decider.Handle(now, event, e.actions[:0])
}

// execute executes one action. The caller must hold the lock.
func (e *Engine) execute(now dispatch.Time, action *dispatch.Action) {
	switch action.Kind {
	case dispatch.SetTimer:
		e.setTimer(now, now+max(action.Wait, 0))
	case dispatch.Send, dispatch.Cancel, dispatch.Reject, dispatch.Fail:
		e.executeForRequest(now, action)
	default: // the module's settings enable no other actions, because the protocols do not support them
		e.Counters.UnsupportedActions.Add(1)
	}
}

// executeForRequest executes an action that belongs to a request. The caller must hold the lock.
func (e *Engine) executeForRequest(now dispatch.Time, action *dispatch.Action) {
	var request *Request
	if int(action.Request) < len(e.requests) {
		request = e.requests[action.Request]
	}
	if request == nil {
		e.reportInvalidAction(action, "unknown request")
		return
	}
	switch action.Kind {
	case dispatch.Send:
		if request.finished || len(request.attempts) >= min(request.maxAttempts, e.maxAttempts) {
			e.reportInvalidAction(action, "the request is finished or has reached its maximum number of attempts")
			return
		}
		request.startAttempt(now, action)
	case dispatch.Cancel:
		if action.Attempt >= 0 && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].cancel(errCancelled)
		}
	case dispatch.Reject:
		request.respond(Decision{Kind: DecisionShed, RetryAfter: duration(action.Wait)})
	case dispatch.Fail:
		request.respond(Decision{Kind: DecisionFail})
	}
}

// reportInvalidAction counts and logs an action that cannot be executed.
func (e *Engine) reportInvalidAction(action *dispatch.Action, reason string) {
	e.Counters.InvalidActions.Add(1)
	e.log.WithFields(logrus.Fields{"action": action.Kind, "request": action.Request, "error": reason}).
		Error("decision module returned an invalid action")
}
