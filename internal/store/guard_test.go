package store

import (
	"testing"
	"time"

	"birchfork/rules"
)

// The group's word and its lease, right before the first byte, whatever the module has ordered before.
func TestGuardAndLease(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(rules.Ready, "a:1", 0))
	name := listOf(rules.Ready, "a:1", 0).Entries[0].Name
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
	if e := m.of(rules.TakenOut); len(e) != 1 {
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
		l := listOf(rules.Ready, "a:1", time.Now().Add(-c.since).UnixMilli())
		s.News(l)
		name := l.Entries[0].Name
		s.Guard(Guard{Leased: map[string]bool{name: true}})
		if c.back {
			s.Hand(map[string]Hand{name: {Out: true, At: time.Now().Add(-time.Second)}})
			s.Hand(map[string]Hand{name: {At: time.Now()}})
		}
		s.Lease(time.Now().Add(time.Hour))
		e := m.of(rules.PutBack)
		if len(e) != 1 {
			t.Fatalf("%s: put back %d times", c.name, len(e))
		}
		if ago := time.Duration(e[0].Elapsed) * time.Microsecond; ago < c.least || ago > c.most {
			t.Errorf("%s: counts as started %v ago", c.name, ago)
		}
	}
}

// What runs, or may run still, at a worker of a plan is told; what is known to be over is not.
func TestBusy(t *testing.T) {
	for result, busy := range map[rules.Result]bool{
		rules.OK: false, rules.Failed: false, rules.Full: false, rules.NotSent: false, rules.Unreachable: false,
		rules.TimedOut: true, rules.Cancelled: true, rules.Disconnected: true,
	} {
		m := &script{on: sends}
		s := newStore(t, m)
		s.News(listOf(rules.Ready, "a:1", 0))
		name := listOf(rules.Ready, "a:1", 0).Entries[0].Name
		a := (<-mustOpen(t, s, "a").Orders()).Attempt
		if len(s.Busy()) != 0 {
			t.Error("a worker of no plan is told of")
		}
		s.Guard(Guard{Leased: map[string]bool{name: true}})
		if len(s.Busy()) != 1 {
			t.Error("an attempt that is out is not told of")
		}
		a.Ended(result, nil)
		if (len(s.Busy()) == 1) != busy {
			t.Errorf("%v: busy %v", result, s.Busy())
		}
	}
}
