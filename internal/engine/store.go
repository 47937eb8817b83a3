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

// mostAttempts bounds the attempts of one request whatever the settings say, so that its orders fit into a channel.
const mostAttempts = 64

// Decider is what the store needs of the decision module.
type Decider interface {
	Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

// Options is all that a Store is made of.
type Options struct {
	Settings dispatch.Settings
	Names    *settings.Names
	Seed     uint64
	MostOpen int // requests held open at a time; 0: no limit
	Log      logrus.FieldLogger
	Module   Decider // nil: the decision module; the lab's baselines stand in its place
}

// Store is the one owner of the decision module. Its lock is held round every call of the module, and round the ids,
// the timer and the list that go with it.
type Store struct {
	Counters Counters

	log      logrus.FieldLogger
	mostOpen int
	attempts int

	mu       sync.Mutex
	module   Decider
	names    *settings.Names
	requests []*Request // by id; nil where the id is free
	open     int        // requests that are owed an answer
	lately   lately     // their ids, and those of requests before them
	workers  []workerView
	index    uint64        // the list's version, as discovery told it
	news     uint64        // our own count of the list's news: what the module takes for its version
	fresh    bool          // the list has been told since our start
	watched  time.Time     // since when the watch on it stands; zero: it does not
	origin   time.Time     // our start ...
	epoch    dispatch.Time // ... and what the module's clock read then
	timer    *time.Timer
	armed    dispatch.Time // when the timer is due, 0: not set
	actions  []dispatch.Action
	admitter *admitter // nil: the operator has set no limits

	beat      time.Time // when the process last showed that it runs; zero: nobody tells
	restUntil time.Time // nothing is sent before: a stall has just ended

	guard       Guard // the group's settled word
	onWarn      func(worker string)
	leased      []dispatch.WorkerID // workers of plans under way
	away        []dispatch.WorkerID // ... and those that are taken out
	leaseUntil  time.Time           // of the group's lease
	attemptMost time.Duration       // an attempt ends so long after it was ordered, at the latest; 0: no bound
	underLease  atomic.Bool         // some worker may be sent to under the lease only: read without the lock
	blind       bool                // nothing is sent anywhere without the lease
	barred      bool                // some worker is left out for want of the lease

	onNews func(w WorkerNews)
}

// New returns a Store with a module that knows no worker yet.
func New(o Options) (*Store, error) {
	o.Settings.MaxAttempts = min(o.Settings.MaxAttempts, mostAttempts)
	module := o.Module
	if module == nil {
		d, err := dispatch.New(o.Settings, o.Seed)
		if err != nil {
			return nil, err
		}
		module = d
	}
	s := &Store{
		log: o.Log, mostOpen: o.MostOpen, attempts: o.Settings.MaxAttempts,
		module: module, names: o.Names, origin: time.Now(), onNews: func(WorkerNews) {},
	}
	s.epoch = dispatch.Time(s.origin.UnixMicro())
	s.timer = time.AfterFunc(time.Hour, s.timerFired)
	s.timer.Stop()
	return s, nil
}

// Retuning is all that other settings bring.
type Retuning struct {
	Settings dispatch.Settings
	Names    *settings.Names // of the settings alone; the Store's own keep workers and requests
	MostOpen int
	Table    *routes.Table // nil: the operator has no file
	Limits   admission.Config
}

// Retune takes other settings over, which are to be checked: all of them, for requests that come from now on. What is open
// keeps its class. What the settings of a connection are, a front and a pool are told by others.
func (s *Store) Retune(r Retuning) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := r.Settings
	set.MaxAttempts = min(set.MaxAttempts, mostAttempts)
	e := dispatch.Event{Kind: dispatch.Retuned, Settings: &set}
	e.Classes, e.Tenants = s.names.Adopt(r.Names, &set)
	s.attempts, s.mostOpen = set.MaxAttempts, r.MostOpen
	if r.Table != nil {
		s.limit(r.Table, r.Limits, set.Classes)
	}
	s.handle(s.now(), &e)
}

// Close stops the timer. Nothing may be opened afterwards.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// Pending is how many requests are owed an answer.
func (s *Store) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// now is the module's clock: the wall clock at our start, from where it goes on monotonically, so that a step of the
// wall clock moves no deadline.
func (s *Store) now() dispatch.Time { return s.at(time.Now()) }

func (s *Store) at(t time.Time) dispatch.Time {
	return s.epoch + dispatch.Time(t.Sub(s.origin).Microseconds())
}

// handle lets the module decide on one event and carries its actions out. The lock is held.
func (s *Store) handle(now dispatch.Time, e *dispatch.Event) {
	s.decide(now, e)
	for i := range s.actions {
		s.carryOut(now, &s.actions[i])
	}
}

// decide guards the process against a panic in the module: one decision is lost, and the deadline of the request that
// it was for answers it.
func (s *Store) decide(now dispatch.Time, e *dispatch.Event) {
	defer func() {
		if p := recover(); p != nil {
			s.actions = s.actions[:0]
			s.Counters.Panics.Add(1)
			s.log.WithField("stack", string(debug.Stack())).Errorf("the module broke on event kind %d: %v", e.Kind, p)
		}
	}()
	s.actions = s.module.Handle(now, e, s.actions[:0])
}

func (s *Store) carryOut(now dispatch.Time, a *dispatch.Action) {
	switch a.Kind {
	case dispatch.SetTimer:
		s.arm(now, now+max(a.Wait, 0))
		return
	case dispatch.Send, dispatch.Cancel, dispatch.Refuse, dispatch.GiveUp:
	default: // nothing else can be spoken on sockets yet; the settings that we give the module ask for none of it
		s.Counters.Unspoken.Add(1)
		return
	}
	var r *Request
	if int(a.Request) < len(s.requests) {
		r = s.requests[a.Request]
	}
	if r == nil {
		s.fault(fmt.Sprintf("action kind %d for request %d, which nobody knows", a.Kind, a.Request))
		return
	}
	switch a.Kind {
	case dispatch.Send:
		if r.final || len(r.attempts) >= min(r.most, s.attempts) {
			s.fault("a send for a request that has ended")
			return
		}
		r.send(now, a)
	case dispatch.Cancel:
		if a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel(errCancelled)
		}
	case dispatch.Refuse:
		r.end(Order{Kind: Refused, RetryAfter: time.Duration(a.Wait) * time.Microsecond})
	case dispatch.GiveUp:
		r.end(Order{Kind: GivenUp})
	}
}

// fault notes an action that makes no sense; it is not carried out.
func (s *Store) fault(what string) {
	s.Counters.Faults.Add(1)
	s.log.Error("the module ordered nonsense: ", what)
}

// arm sets the one timer. The module asks for a further one only where it is due earlier.
func (s *Store) arm(now, at dispatch.Time) {
	if s.armed != 0 && s.armed <= at {
		return
	}
	s.armed = at
	s.timer.Reset(time.Duration(at-now) * time.Microsecond)
}

func (s *Store) timerFired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed == 0 {
		return
	}
	// Guards against a clock that reads a little less than the timer waited: the module would take the event for one
	// that came too early and never ask for a timer again.
	now := max(s.now(), s.armed)
	s.armed = 0
	s.handle(now, &dispatch.Event{Kind: dispatch.TimerFired})
}
