// Package engine keeps what one dispatcher holds in memory: the decision module, open requests and their attempts,
// the view of the worker list, the connections to workers, and the counters. It speaks no protocol: a front brings
// requests and carries attempts out, and any front can use it.
package engine

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/settings"
)

// maxAttempts bounds the attempts of one request whatever the settings say, so that its orders fit into a channel.
const maxAttempts = 64

// Decider is what the store needs of the decision module.
type Decider interface {
	Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

// Options is all that a Store is made of.
type Options struct {
	Settings dispatch.Settings
	Names    *settings.NameTable
	Seed     uint64
	MaxOpen  int // requests held open at a time; 0: no limit
	Log      logrus.FieldLogger
	Decider  Decider // nil: the decision module; the lab's baselines stand in its place
}

// Engine is the one owner of the decision module. Its lock is held round every call of the module, and round the ids,
// the timer and the list that go with it.
type Engine struct {
	Counters Counters

	log         logrus.FieldLogger
	maxOpen     int
	maxAttempts int

	mu            sync.Mutex
	decider       Decider
	names         *settings.NameTable
	requests      []*Request // by id; nil where the id is free
	openRequests  int        // requests that are owed an answer
	recentIDs     recentIDs  // their ids, and those of requests before them
	workers       []workerState
	listVersion   uint64        // the list's version, as discovery told it
	revision      uint64        // our own count of the list's news: what the module takes for its version
	synced        bool          // the list has been told since our start
	watchingSince time.Time     // since when the watch on it stands; zero: it does not
	origin        time.Time     // our start ...
	epoch         dispatch.Time // ... and what the module's clock read then
	timer         *time.Timer
	timerDue      dispatch.Time // when the timer is due, 0: not set
	actions       []dispatch.Action
	admitter      *admitter // nil: the operator has set no limits

	lastHeartbeat time.Time // when the process last showed that it runs; zero: nobody tells
	pausedUntil   time.Time // nothing is sent before: a stall has just ended

	restrictions       Restrictions // the group's settled word
	onOutlier          func(worker string)
	leasedWorkers      []dispatch.WorkerID // workers of plans under way
	maintenanceWorkers []dispatch.WorkerID // ... and those that are taken out
	leaseExpiry        time.Time           // of the group's lease
	maxAttemptDuration time.Duration       // an attempt ends so long after it was ordered, at the latest; 0: no bound
	leaseInUse         atomic.Bool         // some worker may be sent to under the lease only: read without the lock
	plansUnknown       bool                // nothing is sent anywhere without the lease
	anyWithoutLease    bool                // some worker is left out for want of the lease

	onEndpointRetired func(w RetiredEndpoint)
}

// New returns a Store with a module that knows no worker yet.
func New(options Options) (*Engine, error) {
	options.Settings.MaxAttempts = min(options.Settings.MaxAttempts, maxAttempts)
	decider := options.Decider
	if decider == nil {
		dispatcher, err := dispatch.New(options.Settings, options.Seed)
		if err != nil {
			return nil, err
		}
		decider = dispatcher
	}
	engine := &Engine{
		log: options.Log, maxOpen: options.MaxOpen, maxAttempts: options.Settings.MaxAttempts,
		decider: decider, names: options.Names, origin: time.Now(), onEndpointRetired: func(RetiredEndpoint) {},
	}
	engine.epoch = dispatch.Time(engine.origin.UnixMicro())
	engine.timer = time.AfterFunc(time.Hour, engine.timerFired)
	engine.timer.Stop()
	return engine, nil
}

// Reconfiguration is all that other settings bring.
type Reconfiguration struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // of the settings alone; the Store's own keep workers and requests
	MaxOpen  int
	Routes   *routes.Table // nil: the operator has no file
	Limits   admission.Config
}

// Reconfigure takes other settings over, which are to be checked: all of them, for requests that come from now on. What is open
// keeps its class. What the settings of a connection are, a front and a pool are told by others.
func (e *Engine) Reconfigure(change Reconfiguration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newSettings := change.Settings
	newSettings.MaxAttempts = min(newSettings.MaxAttempts, maxAttempts)
	event := dispatch.Event{Kind: dispatch.SettingsChanged, Settings: &newSettings}
	event.OldClasses, event.OldTenants = e.names.Adopt(change.Names, &newSettings)
	e.maxAttempts, e.maxOpen = newSettings.MaxAttempts, change.MaxOpen
	if change.Routes != nil {
		e.setLimits(change.Routes, change.Limits, newSettings.Classes)
	}
	e.handle(e.now(), &event)
}

// Close stops the timer. Nothing may be opened afterwards.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
}

// OpenRequests is how many requests are owed an answer.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openRequests
}

// now is the module's clock: the wall clock at our start, from where it goes on monotonically, so that a step of the
// wall clock moves no deadline.
func (e *Engine) now() dispatch.Time { return e.at(time.Now()) }

func (e *Engine) at(t time.Time) dispatch.Time {
	return e.epoch + dispatch.Time(t.Sub(e.origin).Microseconds())
}

// handle lets the module decide on one event and carries its actions out. The lock is held.
func (e *Engine) handle(now dispatch.Time, event *dispatch.Event) {
	e.decide(now, event)
	for i := range e.actions {
		e.execute(now, &e.actions[i])
	}
}

// decide guards the process against a panic in the module: one decision is lost, and the deadline of the request that
// it was for answers it.
func (e *Engine) decide(now dispatch.Time, event *dispatch.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			e.actions = e.actions[:0]
			e.Counters.Panics.Add(1)
			e.log.WithField("stack", string(debug.Stack())).Errorf("the module broke on event kind %d: %v", event.Kind, cause)
		}
	}()
	e.actions = e.decider.Handle(now, event, e.actions[:0])
}

func (e *Engine) execute(now dispatch.Time, action *dispatch.Action) {
	switch action.Kind {
	case dispatch.SetTimer:
		e.setTimer(now, now+max(action.Wait, 0))
		return
	case dispatch.Send, dispatch.Cancel, dispatch.Reject, dispatch.Fail:
	default: // nothing else can be spoken on sockets yet; the settings that we give the module ask for none of it
		e.Counters.UnsupportedActions.Add(1)
		return
	}
	var request *Request
	if int(action.Request) < len(e.requests) {
		request = e.requests[action.Request]
	}
	if request == nil {
		e.reportInvalidAction(fmt.Sprintf("action kind %d for request %d, which nobody knows", action.Kind, action.Request))
		return
	}
	switch action.Kind {
	case dispatch.Send:
		if request.finished || len(request.attempts) >= min(request.maxAttempts, e.maxAttempts) {
			e.reportInvalidAction("a send for a request that has ended")
			return
		}
		request.startAttempt(now, action)
	case dispatch.Cancel:
		if action.Attempt >= 0 && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].cancel(errCancelled)
		}
	case dispatch.Reject:
		request.respond(Decision{Kind: DecisionShed, RetryAfter: time.Duration(action.Wait) * time.Microsecond})
	case dispatch.Fail:
		request.respond(Decision{Kind: DecisionFail})
	}
}

// reportInvalidAction notes an action that makes no sense; it is not carried out.
func (e *Engine) reportInvalidAction(description string) {
	e.Counters.InvalidActions.Add(1)
	e.log.Error("the module ordered nonsense: ", description)
}

// setTimer sets the one timer. The module asks for a further one only where it is due earlier.
func (e *Engine) setTimer(now, due dispatch.Time) {
	if e.timerDue != 0 && e.timerDue <= due {
		return
	}
	e.timerDue = due
	e.timer.Reset(time.Duration(due-now) * time.Microsecond)
}

func (e *Engine) timerFired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timerDue == 0 {
		return
	}
	// Guards against a clock that reads a little less than the timer waited: the module would take the event for one
	// that came too early and never ask for a timer again.
	now := max(e.now(), e.timerDue)
	e.timerDue = 0
	e.handle(now, &dispatch.Event{Kind: dispatch.TimerFired})
}
