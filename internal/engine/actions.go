package engine

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// handle lets the decision module decide on one event and carries its actions out. The lock is held.
func (e *Engine) handle(now dispatch.Time, event *dispatch.Event) {
	e.decide(now, event)
	for i := range e.actions {
		e.execute(now, &e.actions[i])
	}
}

// decide keeps the decision module's answer to an event in e.actions. It guards the process against a panic in the module: one
// decision is lost then, and the request that it was for ends at its deadline. The lock is held.
func (e *Engine) decide(now dispatch.Time, event *dispatch.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			e.actions = e.actions[:0]
			e.Counters.Panics.Add(1)
			e.log.WithFields(logrus.Fields{"event": event.Kind, "error": cause, "stack": string(debug.Stack())}).
				Error("the decision module panicked")
		}
	}()
	e.actions = e.decider.Handle(now, event, e.actions[:0])
}

// execute carries one action out. The lock is held.
func (e *Engine) execute(now dispatch.Time, action *dispatch.Action) {
	switch action.Kind {
	case dispatch.SetTimer:
		e.setTimer(now, now+max(action.Wait, 0))
	case dispatch.Send, dispatch.Cancel, dispatch.Reject, dispatch.Fail:
		e.executeForRequest(now, action)
	default: // the settings that the module is given ask for no other action, as no protocol here can express one
		e.Counters.UnsupportedActions.Add(1)
	}
}

// executeForRequest carries out an action that is about a request. The lock is held.
func (e *Engine) executeForRequest(now dispatch.Time, action *dispatch.Action) {
	var request *Request
	if int(action.Request) < len(e.requests) {
		request = e.requests[action.Request]
	}
	if request == nil {
		e.reportInvalidAction(action, "the request is unknown")
		return
	}
	switch action.Kind {
	case dispatch.Send:
		if request.finished || len(request.attempts) >= min(request.maxAttempts, e.maxAttempts) {
			e.reportInvalidAction(action, "the request has ended, or has had all its attempts")
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

// reportInvalidAction counts and logs an action that cannot be carried out.
func (e *Engine) reportInvalidAction(action *dispatch.Action, reason string) {
	e.Counters.InvalidActions.Add(1)
	e.log.WithFields(logrus.Fields{"action": action.Kind, "request": action.Request, "error": reason}).
		Error("the decision module ordered an invalid action")
}
