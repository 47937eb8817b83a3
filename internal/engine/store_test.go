package engine

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// script is a module that notes its events and answers them as a test says.
type script struct {
	events []dispatch.Event
	times  []dispatch.Time
	on     func(e *dispatch.Event) []dispatch.Action
}

func (m *script) Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action {
	m.events, m.times = append(m.events, *e), append(m.times, now)
	if m.on == nil {
		return out
	}
	return append(out, m.on(e)...)
}

// of are the events of one kind.
func (m *script) of(k dispatch.EventKind) (all []dispatch.Event) {
	for _, e := range m.events {
		if e.Kind == k {
			all = append(all, e)
		}
	}
	return all
}

const basic = `{"classes":[{"name":"search","deadline":5,"aim":0.4,"effect":"free"}],"zones":["a"],"zone":"a",
	"machine_types":["big"],"customers":[{"name":"acme","quota_rps":9}],"policy_limits":{"attempts_cap":3}}`

func decoded(t *testing.T, js string) (dispatch.Settings, *settings.Names) {
	t.Helper()
	names := settings.NewNames()
	set, _, err := settings.DecodeJSON([]byte(js), names)
	if err != nil {
		t.Fatal(err)
	}
	return set, names
}

func newStore(t *testing.T, m *script) *Store {
	t.Helper()
	set, names := decoded(t, basic)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := New(Options{Settings: set, Names: names, Seed: 1, MostOpen: 2, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	if m != nil {
		s.module = m
	}
	t.Cleanup(s.Close)
	return s
}

func one(id string) Job {
	return Job{ID: id, Class: "search", Tenant: "acme", Left: 5 * time.Second, Slots: 1}
}

func listOf(state dispatch.State, addr string, since int64) List {
	return List{Index: 1, Entries: []Entry{{Name: "w", Address: addr, Zone: "a", Kind: "big", State: state, Since: since}}}
}

// sends answers every arrival with one attempt at worker 0.
func sends(e *dispatch.Event) []dispatch.Action {
	if e.Kind == dispatch.Arrived {
		return []dispatch.Action{{Kind: dispatch.Send, Request: e.Request}}
	}
	return nil
}

func mustOpen(t *testing.T, s *Store, id string) *Request {
	t.Helper()
	r, err := s.Open(one(id))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestOpenTurnsAwayWhatTheModuleMustNotSee(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	for _, c := range []struct {
		change func(*Job)
		want   error
	}{
		{func(j *Job) { j.Class = "other" }, ErrClass},
		{func(j *Job) { j.Tenant = "other" }, ErrTenant},
	} {
		j := one("x")
		c.change(&j)
		if _, err := s.Open(j); err != c.want {
			t.Errorf("%+v: %v, want %v", j, err, c.want)
		}
	}
	mustOpen(t, s, "a")
	if _, err := s.Open(one("a")); err != ErrTwice {
		t.Errorf("a second request of the same id: %v", err)
	}
	mustOpen(t, s, "b")
	if _, err := s.Open(one("c")); err != ErrMany {
		t.Errorf("a request over the limit: %v", err)
	}
	if n := len(m.of(dispatch.Arrived)); n != 2 {
		t.Fatalf("%d requests reached the module, want 2", n)
	}
}

func TestServedRequestGetsOneAnswerAndItsIDIsFreeAgain(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "127.0.0.1:1", 0))
	r := mustOpen(t, s, "a")
	a := (<-r.Orders()).Attempt
	a.Started()
	a.Progressed(0.5)
	a.Ended(dispatch.OK, []byte("x"))
	a.Ended(dispatch.Failed, nil) // only the first end counts
	o := <-r.Orders()
	if o.Kind != Served || string(o.Result) != "x" {
		t.Fatalf("order %+v", o)
	}
	r.Leave()
	ends := m.of(dispatch.Ended)
	if len(ends) != 1 || !ends[0].Final || ends[0].Result != dispatch.OK {
		t.Fatalf("ends %+v", ends)
	}
	if len(m.of(dispatch.ClientGone)) != 0 || len(m.of(dispatch.Started)) != 1 || m.of(dispatch.Progressed)[0].Done != 0.5 {
		t.Fatalf("events %+v", m.events)
	}
	if got := mustOpen(t, s, "b"); got.id != r.id {
		t.Fatalf("the id %d was not used again, but %d", r.id, got.id)
	}
}

// A request whose client has gone may have an order that no front will take any more: the attempt must end, or the
// module counts its slot as used for ever.
func TestOrderThatNobodyTakesEndsUnsent(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "127.0.0.1:1", 0))
	r := mustOpen(t, s, "a")
	r.Leave()
	r.Leave()
	if n := len(m.of(dispatch.ClientGone)); n != 1 {
		t.Fatalf("the client went %d times", n)
	}
	ends := m.of(dispatch.Ended)
	if len(ends) != 1 || ends[0].Result != dispatch.NotSent || !ends[0].Final {
		t.Fatalf("ends %+v", ends)
	}
	if s.requests[r.id] != nil || s.Pending() != 0 {
		t.Fatal("the request is still kept")
	}
}

// A request whose time is up fails, unless the module's answer has just come.
func TestFailGivesTheModulesAnswerWhereThereIsOne(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "127.0.0.1:1", 0))
	r := mustOpen(t, s, "a")
	(<-r.Orders()).Attempt.Ended(dispatch.OK, []byte("x"))
	if o := r.Fail(); o.Kind != Served || string(o.Result) != "x" {
		t.Fatalf("order %+v", o)
	}
	r.Leave()
	r = mustOpen(t, s, "b") // its attempt is ordered, and nobody takes the order: it never ran
	if o := r.Fail(); o.Kind != Refused {
		t.Fatalf("order %+v", o)
	}
	r.Leave()
	c := &s.Counters
	if c.Served.Load() != 1 || c.Overdue.Load() != 1 || c.Gone.Load() != 0 || len(m.of(dispatch.ClientGone)) != 1 {
		t.Fatal(c.Fields())
	}
	if e := m.of(dispatch.Ended); len(e) != 2 || e[1].Result != dispatch.NotSent || s.Pending() != 0 {
		t.Fatalf("ends %+v, %d pending", e, s.Pending())
	}
	for _, end := range []struct {
		name   string
		result dispatch.Result
		out    bool
		want   OrderKind
	}{
		{"an attempt that is out", 0, true, GivenUp},
		{"one that broke off", dispatch.Disconnected, false, GivenUp},
		{"one that failed", dispatch.Failed, false, GivenUp},
		{"one of an unknown end", dispatch.UnknownResult, false, GivenUp},
		{"one that was turned away", dispatch.Full, false, Refused},
		{"one that got no connection", dispatch.Unreachable, false, Refused},
	} {
		r := mustOpen(t, s, end.name)
		a := (<-r.Orders()).Attempt
		if !end.out {
			a.Ended(end.result, nil)
		}
		if o := r.Fail(); o.Kind != end.want {
			t.Errorf("after %s: order %+v", end.name, o)
		}
		r.Leave()
		a.Ended(dispatch.TimedOut, nil)
	}
}

// The id of a request that has ended does not open another: it would be a second effect, and a stranger may know it.
func TestIDOpensOnlyOneRequest(t *testing.T) {
	s := newStore(t, &script{})
	s.mostOpen = 0
	for i := range 3*latelyMost + 1 {
		mustOpen(t, s, fmt.Sprint(i)).Leave()
	}
	for _, i := range []int{3 * latelyMost, 2 * latelyMost} {
		if _, err := s.Open(one(fmt.Sprint(i))); err != ErrTwice {
			t.Errorf("the id of %d, which has ended: %v", i, err)
		}
	}
	if n := len(s.lately.newer) + len(s.lately.older); n > 2*latelyMost {
		t.Errorf("%d ids are kept", n)
	}
}

// What a worker cannot use is the request's own fault: it ends at once, and the module learns nothing of the worker.
func TestRejectedRequestEndsAndBlamesNobody(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "127.0.0.1:1", 0))
	r := mustOpen(t, s, "a")
	(<-r.Orders()).Attempt.Rejected()
	if o := <-r.Orders(); o.Kind != TurnedDown {
		t.Fatalf("order %+v", o)
	}
	r.Leave()
	if e := m.of(dispatch.Ended); len(e) != 1 || e[0].Result != dispatch.NotSent || !e[0].Final || len(m.of(dispatch.ClientGone)) != 1 {
		t.Fatalf("events %+v", m.events)
	}
	if s.Pending() != 0 || s.requests[r.id] != nil || s.Counters.Gone.Load() != 0 {
		t.Fatal("the request is still kept")
	}
}

// Attempts outlive their request; the id must not be used again while one can still name it.
func TestIDStaysTakenWhileAnAttemptIsOut(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	r := mustOpen(t, s, "a")
	a := (<-r.Orders()).Attempt
	r.Leave()
	if b := mustOpen(t, s, "b"); b.id == r.id {
		t.Fatal("the id was used again")
	}
	a.Ended(dispatch.TimedOut, nil)
	if s.requests[r.id] != nil {
		t.Fatal("the request is still kept")
	}
}

func TestFinalOrders(t *testing.T) {
	for _, c := range []struct {
		action dispatch.Action
		kind   OrderKind
		retry  time.Duration
	}{
		{dispatch.Action{Kind: dispatch.Refuse, Wait: 1500 * dispatch.Millisecond}, Refused, 1500 * time.Millisecond},
		{dispatch.Action{Kind: dispatch.GiveUp}, GivenUp, 0},
	} {
		m := &script{on: func(e *dispatch.Event) []dispatch.Action {
			a := c.action
			a.Request = e.Request
			return []dispatch.Action{a, a, {Kind: dispatch.Send, Request: e.Request}} // nothing may follow a final answer
		}}
		s := newStore(t, m)
		r := mustOpen(t, s, "a")
		if o := <-r.Orders(); o.Kind != c.kind || o.RetryAfter != c.retry {
			t.Errorf("order %+v, want %v", o, c.kind)
		}
		select {
		case o := <-r.Orders():
			t.Errorf("a further order %+v", o)
		default:
		}
		r.Leave()
		if len(m.of(dispatch.ClientGone)) != 0 || s.Counters.Sent.Load() != 0 || s.Counters.Faults.Load() == 0 {
			t.Errorf("events %+v, faults %d", m.events, s.Counters.Faults.Load())
		}
	}
}

func TestAttemptIsClearOnlyWhileItMayGoOut(t *testing.T) {
	const addr = "127.0.0.1:1"
	for _, c := range []struct {
		name  string
		spoil func(s *Store, r *Request)
		clear bool
	}{
		{"nothing", func(*Store, *Request) {}, true},
		{"drain", func(s *Store, _ *Request) { s.News(listOf(dispatch.Draining, addr, 7)) }, false},
		{"gone", func(s *Store, _ *Request) { s.News(listOf(dispatch.Gone, addr, 7)) }, false},
		{"left out of a whole list", func(s *Store, _ *Request) { s.News(List{Index: 2, Whole: true}) }, false},
		{"moved", func(s *Store, _ *Request) { s.News(listOf(dispatch.Ready, "127.0.0.1:2", 7)) }, false},
		{"restarted", func(s *Store, _ *Request) { s.News(listOf(dispatch.Ready, addr, 8)) }, false},
		{"answered", func(_ *Store, r *Request) { r.Leave() }, false},
		{"overdue", func(*Store, *Request) { time.Sleep(6 * time.Second) }, false},
		{"before the time in which it is dropped is over", func(*Store, *Request) { time.Sleep(999 * time.Millisecond) }, true},
		{"after it", func(*Store, *Request) { time.Sleep(1001 * time.Millisecond) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			var s *Store
			s = newStore(t, &script{on: func(e *dispatch.Event) []dispatch.Action {
				acts := sends(e)
				for i := range acts {
					acts[i].By = s.now() + dispatch.Second
				}
				return acts
			}})
			s.News(listOf(dispatch.Ready, addr, 7))
			r := mustOpen(t, s, "a")
			a := (<-r.Orders()).Attempt
			c.spoil(s, r)
			if got := a.Clear(); got != c.clear {
				t.Errorf("%s: clear is %v", c.name, got)
			}
			a.Ended(dispatch.NotSent, nil)
		})
	}
}

// News that came while the whole process stood still counts as told, though nobody has read it: a send right after the
// stall could come too late for the drain.
func TestAfterAStallNewsIsReadBeforeAnythingIsSent(t *testing.T) {
	for _, beaten := range []bool{false, true} { // whether the beat or the attempt is the first to run again
		synctest.Test(t, func(t *testing.T) {
			s := newStore(t, &script{on: sends})
			s.News(listOf(dispatch.Ready, "127.0.0.1:1", 7))
			s.Beat()
			mustOpen(t, s, "quick").Leave()
			r := mustOpen(t, s, "a")
			a := (<-r.Orders()).Attempt
			began := time.Now()
			if !a.Clear() || time.Since(began) > 0 {
				t.Error("a send waits though nothing stood still")
			}
			time.Sleep(600 * time.Millisecond) // the process stands still
			if beaten {
				s.Beat()
			}
			go func() {
				time.Sleep(10 * time.Millisecond)
				s.News(listOf(dispatch.Draining, "127.0.0.1:1", 7))
			}()
			if a.Clear() || s.Counters.Stalls.Load() != 1 {
				t.Errorf("beaten %v: clear to send, %d stalls", beaten, s.Counters.Stalls.Load())
			}
			a.Ended(dispatch.NotSent, nil)
		})
	}
}

func TestCancelAndTimeOutEndAnAttemptsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &script{on: func(e *dispatch.Event) []dispatch.Action {
			switch e.Kind {
			case dispatch.Arrived:
				return []dispatch.Action{{Kind: dispatch.Send, Request: e.Request, Wait: dispatch.Second}, {Kind: dispatch.Send, Request: e.Request}}
			case dispatch.Started:
				return []dispatch.Action{{Kind: dispatch.Cancel, Request: e.Request, Attempt: 1}, {Kind: dispatch.Cancel, Request: e.Request, Attempt: 9}}
			}
			return nil
		}}
		s := newStore(t, m)
		r := mustOpen(t, s, "a")
		a, b := (<-r.Orders()).Attempt, (<-r.Orders()).Attempt
		a.Started()
		if !b.Cancelled() || b.Context().Err() == nil || a.Cancelled() || a.Context().Err() != nil {
			t.Fatal("not the second attempt alone is cancelled")
		}
		time.Sleep(1001 * time.Millisecond)
		if a.Context().Err() == nil || a.Cancelled() {
			t.Fatal("the first attempt did not time out")
		}
		a.Ended(dispatch.TimedOut, nil)
		b.Ended(dispatch.Cancelled, nil)
		r.Leave()
	})
}

// The module takes a timer's event that reads earlier than it asked for as no answer to its call, and never asks again.
func TestTimerNeverFiresEarlyOnTheModulesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked dispatch.Time
		m := &script{}
		s := newStore(t, m)
		m.on = func(e *dispatch.Event) []dispatch.Action {
			if e.Kind != dispatch.Arrived {
				return nil
			}
			asked = m.times[len(m.times)-1] + 700
			return []dispatch.Action{{Kind: dispatch.SetTimer, Wait: dispatch.Second}, {Kind: dispatch.SetTimer, Wait: 700}}
		}
		mustOpen(t, s, "a")
		s.mu.Lock()
		s.epoch -= dispatch.Millisecond // the clock reads a millisecond less than the timer waited
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		fired := m.of(dispatch.TimerFired)
		if len(fired) != 1 || m.times[len(m.times)-1] < asked {
			t.Fatalf("fired %d times, at %v, asked for %v", len(fired), m.times[len(m.times)-1], asked)
		}
	})
}

func TestPanicInTheModuleCostsOneDecision(t *testing.T) {
	m := &script{on: func(e *dispatch.Event) []dispatch.Action {
		if e.Kind == dispatch.Arrived {
			panic("no such thing")
		}
		return nil
	}}
	s := newStore(t, m)
	r := mustOpen(t, s, "a")
	r.Leave()
	if s.Counters.Panics.Load() != 1 || len(m.of(dispatch.ClientGone)) != 1 || s.Pending() != 0 {
		t.Fatalf("panics %d, events %+v", s.Counters.Panics.Load(), m.events)
	}
}

// A start that is converted anew with every news would move with the wall clock, and a moved start is a restart.
func TestStartsAreConvertedOnceAndOntoTheModulesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &script{}
		s := newStore(t, m)
		since := time.Now().Add(-3 * time.Second).UnixMilli()
		s.News(listOf(dispatch.Ready, "127.0.0.1:1", since))
		s.epoch += 3600 * dispatch.Second // as if the wall clock had been set
		s.News(listOf(dispatch.Ready, "127.0.0.1:1", since))
		s.News(listOf(dispatch.Ready, "127.0.0.1:1", 0))
		e := m.of(dispatch.ListChange)
		age := m.times[0] - e[0].Workers[0].StartedAt
		if age < 3*dispatch.Second || age > 3*dispatch.Second+2*dispatch.Millisecond {
			t.Errorf("a worker started 3 s ago counts as started %v us ago", age)
		}
		if e[0].Workers[0].StartedAt != e[1].Workers[0].StartedAt || e[2].Workers[0].StartedAt != 0 {
			t.Errorf("starts %v, %v, %v", e[0].Workers[0].StartedAt, e[1].Workers[0].StartedAt, e[2].Workers[0].StartedAt)
		}
	})
}

func TestNewsOfUselessConnections(t *testing.T) {
	s := newStore(t, &script{})
	var dropped []string
	s.OnNews(func(w WorkerNews) { dropped = append(dropped, w.Address) })
	s.News(listOf(dispatch.Ready, "h:1", 5))
	s.News(listOf(dispatch.Ready, "h:1", 5))
	if len(dropped) != 0 {
		t.Fatalf("dropped %v for no change", dropped)
	}
	s.News(listOf(dispatch.Ready, "h:1", 6))    // restarted
	s.News(listOf(dispatch.Ready, "h:2", 6))    // moved
	s.News(listOf(dispatch.Draining, "h:2", 6)) // drains
	s.News(listOf(dispatch.Ready, "h:3", 6))
	s.News(List{Whole: true}) // left
	if got := len(dropped); got != 5 || dropped[4] != "h:3" {
		t.Fatalf("dropped %v", dropped)
	}
	if some, fresh := s.Ready(); some || !fresh {
		t.Fatalf("ready %v, fresh %v", some, fresh)
	}
}

// Discovery's version may start again from a lower figure; the module takes a lower one for late news.
func TestListIsFollowedWhenDiscoveryStartsAgain(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	s.News(List{Index: 90, Whole: true, Stale: true})
	if _, fresh := s.Ready(); fresh {
		t.Fatal("an old list passed for news")
	}
	s.News(List{Index: 3, Whole: true})
	e := m.of(dispatch.ListSnapshot)
	if len(e) != 2 || e[1].Version <= e[0].Version || !e[0].Stale || e[1].Stale {
		t.Fatalf("events %+v", e)
	}
}

// Every attempt that the real module orders must find its end, and nothing of a request may stay behind.
func TestRealModuleLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, nil)
		l := List{Index: 1, Whole: true}
		for _, n := range []string{"u", "v", "w"} {
			l.Entries = append(l.Entries, Entry{Name: n, Address: n + ":1", Zone: "a", Kind: "big", State: dispatch.Ready})
		}
		s.News(l)
		results := []dispatch.Result{dispatch.OK, dispatch.Failed, dispatch.Unreachable, dispatch.Full, dispatch.Disconnected, dispatch.NotSent}
		next := 0
		served := 0
		for i := range 60 {
			r := mustOpen(t, s, string(rune('A'+i)))
			for done := false; !done; {
				o := <-r.Orders()
				switch o.Kind {
				case SendOut:
					o.Attempt.Ended(results[next%len(results)], []byte("x"))
					next++
				case Served:
					served++
					done = true
				default:
					done = true
				}
			}
			r.Leave()
			time.Sleep(300 * time.Millisecond)
		}
		for id, r := range s.requests {
			if r != nil {
				t.Errorf("request %d is still kept", id)
			}
		}
		if s.Pending() != 0 || served == 0 || s.Counters.Panics.Load()+s.Counters.Faults.Load() > 0 {
			t.Fatalf("pending %d, served %d, %v", s.Pending(), served, s.Counters.Fields())
		}
	})
}
