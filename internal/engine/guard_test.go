package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// The group's word and its lease, right before the first byte, whatever the module has ordered before.
func TestGuardAndLease(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	name := listOf(dispatch.Ready, "a:1", 0).Entries[0].Name
	all := map[string]bool{name: true}
	attempt := func(id string) *Attempt { return (<-mustOpen(t, s, id).Orders()).Attempt }
	check := func(what string, a *Attempt, clear, leased bool) {
		t.Helper()
		if a.Clear() != clear || a.Leased() != leased {
			t.Errorf("%s: clear %t, leased %t", what, a.Clear(), a.Leased())
		}
	}
	a := attempt("a")
	check("no group", a, true, false)
	s.Guard(Guard{Leased: all})
	check("no lease", a, false, true)
	if e := m.of(dispatch.TakenOut); len(e) != 1 {
		t.Errorf("the module was told %d times that it may not send there", len(e))
	}
	s.Lease(time.Now().Add(time.Hour))
	check("a lease", a, true, true)
	s.Lease(time.Now().Add(-time.Nanosecond))
	check("a lease that has run out", a, false, true)
	s.Lease(time.Now().Add(time.Hour))
	s.Guard(Guard{Leased: all, Away: all})
	check("taken out", a, false, true)
	s.Guard(Guard{Leased: all})
	check("back, and ordered before it was out", a, false, true)
	b := attempt("b")
	check("ordered since", b, true, true)
	s.Guard(Guard{})
	check("the plan is through", b, true, false)
	s.Blind(true)
	s.Lease(time.Time{})
	check("nothing is known of plans", b, false, true)
	if some, _ := s.Ready(); some {
		t.Error("ready without a worker that it may use")
	}
	s.Blind(false)
	check("they are", b, true, false)
}

// A worker that was out for want of a lease alone is as cold as its list says; one that was put back is cold from then.
func TestALeaseWarmsNobody(t *testing.T) {
	for _, c := range []struct {
		name        string
		since       time.Duration // the list's start, ago
		back        bool          // by hand, while there is no lease
		least, most time.Duration
	}{
		{"started lately", 3 * time.Second, false, 2 * time.Second, 4 * time.Second},
		{"put back meanwhile", time.Hour, true, 0, time.Second},
		{"started long ago", time.Hour, false, 59 * time.Minute, 61 * time.Minute},
	} {
		m := &script{}
		s := newStore(t, m)
		l := listOf(dispatch.Ready, "a:1", time.Now().Add(-c.since).UnixMilli())
		s.News(l)
		name := l.Entries[0].Name
		s.Guard(Guard{Leased: map[string]bool{name: true}})
		if c.back {
			s.Hand(map[string]Hand{name: {Out: true, At: time.Now().Add(-time.Second)}})
			s.Hand(map[string]Hand{name: {At: time.Now()}})
		}
		s.Lease(time.Now().Add(time.Hour))
		e := m.of(dispatch.PutBack)
		if len(e) != 1 {
			t.Fatalf("%s: put back %d times", c.name, len(e))
		}
		if ago := time.Duration(e[0].Elapsed) * time.Microsecond; ago < c.least || ago > c.most {
			t.Errorf("%s: counts as started %v ago", c.name, ago)
		}
	}
}

func busyNames(s *Store) []string {
	names, _ := s.Busy()
	return names
}

// At a host that is taken out nothing goes to a worker of another name either, and what ran at a worker that has moved away
// counts for the host where it ran.
func TestAHostIsBound(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	entry := func(name, address string) Entry {
		return Entry{Name: name, Address: address, Zone: "a", Kind: "big", State: dispatch.Ready}
	}
	s.News(List{Index: 1, Whole: true, Entries: []Entry{entry("old", "h0:1")}})
	s.Guard(Guard{LeasedAt: map[string]bool{"h0": true}})
	s.Lease(time.Now().Add(time.Hour))
	a := (<-mustOpen(t, s, "a").Orders()).Attempt
	if !a.Leased() || !a.Clear() {
		t.Errorf("leased %t, clear %t", a.Leased(), a.Clear())
	}
	s.Guard(Guard{LeasedAt: map[string]bool{"h0": true}, AwayAt: map[string]bool{"h0": true}})
	s.News(List{Index: 2, Whole: true, Entries: []Entry{entry("old", "h1:1"), entry("new", "h0:1")}})
	if names, hosts := s.Busy(); fmt.Sprint(names, hosts) != "[] [h0]" {
		t.Errorf("busy are %v at %v", names, hosts) // old is at a host of no plan now, not so its attempt
	}
	s.Guard(Guard{LeasedAt: map[string]bool{"h0": true, "h1": true}, AwayAt: map[string]bool{"h0": true}})
	if names, hosts := s.Busy(); fmt.Sprint(names, hosts) != "[old] [h0 h1]" {
		t.Errorf("busy are %v at %v", names, hosts)
	}
	out := map[dispatch.WorkerID]bool{}
	for _, e := range m.events {
		switch e.Kind {
		case dispatch.TakenOut:
			out[e.Worker] = true
		case dispatch.PutBack:
			delete(out, e.Worker)
		}
	}
	id, _ := s.names.FindWorker("new")
	if len(out) != 1 || !out[id] {
		t.Errorf("the module may not use %v, want %d alone", out, id)
	}
}

// What runs, or may run still, at a worker of a plan is told; what is known to be over is not.
func TestBusy(t *testing.T) {
	for result, busy := range map[dispatch.Result]bool{
		dispatch.OK: false, dispatch.Failed: false, dispatch.Full: false, dispatch.NotSent: false, dispatch.Unreachable: false,
		dispatch.TimedOut: true, dispatch.Cancelled: true, dispatch.Disconnected: true,
	} {
		m := &script{on: sends}
		s := newStore(t, m)
		s.News(listOf(dispatch.Ready, "a:1", 0))
		name := listOf(dispatch.Ready, "a:1", 0).Entries[0].Name
		a := (<-mustOpen(t, s, "a").Orders()).Attempt
		if len(busyNames(s)) != 0 {
			t.Error("a worker of no plan is told of")
		}
		s.Guard(Guard{Leased: map[string]bool{name: true}})
		if len(busyNames(s)) != 1 {
			t.Error("an attempt that is out is not told of")
		}
		a.Ended(result, nil)
		if (len(busyNames(s)) == 1) != busy {
			t.Errorf("%v: busy %v", result, busyNames(s))
		}
	}
}

// Where nothing is known of plans the module hears that it may not use a worker before it hears of the worker; and that a
// lease has run out though nobody says so.
func TestTheModuleHearsOfTheLease(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	s.Blind(true)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	if len(m.events) < 2 || m.events[0].Kind != dispatch.TakenOut || m.events[1].Kind != dispatch.ListChange {
		t.Errorf("it heard %+v", m.events)
	}
	s.Lease(time.Now().Add(2 * time.Millisecond))
	was := len(m.of(dispatch.TakenOut))
	time.Sleep(3 * time.Millisecond)
	s.Beat()
	if n := len(m.of(dispatch.TakenOut)); n != was+1 {
		t.Errorf("told %d times of a lease that has run out", n-was)
	}
}

// What other members are told of workers.
func TestFleet(t *testing.T) {
	s := newStore(t, &script{})
	entry := func(name string, state dispatch.State, ago time.Duration) Entry {
		e := Entry{Name: name, Address: name + ":1", Zone: "a", Kind: "big", State: state, Weight: 2}
		if ago > 0 {
			e.Since = time.Now().Add(-ago).UnixMilli()
		}
		return e
	}
	s.News(List{Index: 1, Whole: true, Entries: []Entry{
		entry("cold", dispatch.Ready, time.Second), entry("warm", dispatch.Ready, time.Hour), entry("drains", dispatch.Draining, 0),
		entry("gone", dispatch.Ready, 0), entry("hand", dispatch.Ready, 0), entry("back", dispatch.Ready, 0),
	}})
	s.News(List{Index: 2, Entries: []Entry{entry("gone", dispatch.Gone, 0)}})
	s.Hand(map[string]Hand{"hand": {Out: true, At: time.Now()}, "back": {Out: true, At: time.Now().Add(-time.Second)}})
	s.Hand(map[string]Hand{"back": {At: time.Now()}})
	got := map[string]string{}
	for _, w := range s.Fleet(time.Hour, time.Minute) {
		if w.Zone != "a" || w.Kind != "big" || w.Weight != 2 {
			t.Errorf("%+v", w)
		}
		got[w.Name] = fmt.Sprintf("down %t, cold %t, hand %t", w.Down, w.Cold, w.Hand)
	}
	for name, want := range map[string]string{
		"cold": "down false, cold true, hand false", "warm": "down false, cold false, hand false", "drains": "down true, cold false, hand false",
		"gone": "down true, cold false, hand false", "hand": "down false, cold false, hand true", "back": "down false, cold true, hand false",
	} {
		if got[name] != want {
			t.Errorf("%s: %q, want %q", name, got[name], want)
		}
	}
	time.Sleep(2 * time.Millisecond)
	for _, w := range s.Fleet(time.Millisecond, time.Minute) {
		if w.Name == "gone" {
			t.Error("one that left long ago is told of still")
		}
	}
}

// A client's time does not stretch an attempt over what the group waits for, and a shorter one counts.
func TestAttemptsMost(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	for i, c := range []struct{ left, most, want time.Duration }{
		{time.Hour, 0, time.Hour}, {time.Hour, time.Minute, time.Minute}, {time.Second, time.Minute, time.Second},
	} {
		s.AttemptsMost(c.most)
		j := one(fmt.Sprint(i))
		j.Left = c.left
		r, err := s.Open(j)
		if err != nil {
			t.Fatal(err)
		}
		end, _ := (<-r.Orders()).Attempt.Context().Deadline()
		if left := time.Until(end); left > c.want || left < c.want-time.Second/2 {
			t.Errorf("%+v: it ends in %v", c, left)
		}
		r.Leave()
	}
}
