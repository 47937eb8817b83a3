package engine

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// handle passes one event to the decision module and carries out its actions. The caller must hold the lock.
func (e *Engine) handle(now dispatch.Time, event *dispatch.Event) {
	e.decide(now, event)
	for i := range e.actions {
		e.execute(now, &e.actions[i])
	}
}

// decide stores the decision module's actions for an event in e.actions. It guards the process against a panic in the module: that decision
// is lost, and the request that it was for ends at its deadline. The caller must hold the lock.
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

// execute carries out one action. The caller must hold the lock.
func (e *Engine) execute(now dispatch.Time, action *dispatch.Action) {
	switch action.Kind {
	case dispatch.SetTimer:
		e.setTimer(now, now+max(action.Wait, 0))
	case dispatch.Send, dispatch.Cancel, dispatch.Reject, dispatch.Fail:
		e.executeForRequest(now, action)
	default: // the settings of the module request no other action, since no protocol here supports one
		e.Counters.UnsupportedActions.Add(1)
	}
}

// executeForRequest carries out an action for a request. The caller must hold the lock.
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
