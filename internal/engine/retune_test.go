package engine

import (
	"strings"
	"testing"

	"birchfork/dispatch"
)

func (s *Store) retuneTo(t *testing.T, js string) {
	t.Helper()
	set, names := decoded(t, js)
	s.Retune(Retuning{Settings: set, Names: names, MostOpen: 9})
}

// What is open goes on over a change of settings: its id, its class's figures and its orders. Names are as the new
// settings have them.
func TestRetuneLeavesWhatIsOpen(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	r := mustOpen(t, s, "a")
	a := (<-r.Orders()).Attempt
	s.retuneTo(t, strings.Replace(basic, `"name":"search"`, `"name":"find"`, 1))
	if _, err := s.Open(one("b")); err != ErrClass {
		t.Errorf("a class that is gone: %v", err)
	}
	j := one("c")
	j.Class = "find"
	if _, err := s.Open(j); err != nil {
		t.Errorf("a new class: %v", err)
	}
	if !a.Clear() {
		t.Error("what was ordered before may not go out")
	}
	a.Ended(dispatch.OK, []byte("r"))
	if o := <-r.Orders(); o.Kind != Served || string(o.Result) != "r" {
		t.Errorf("%+v", o)
	}
	if e := m.of(dispatch.Retuned); len(e) != 1 || len(e[0].Classes) != 1 || e[0].Classes[0] != -1 || len(e[0].Tenants) != 1 || e[0].Tenants[0] != 0 {
		t.Errorf("%+v", e)
	}
}

// More attempts than a request was opened with have no room among its orders: a send beyond would hold up all.
func TestRetuneToMoreAttemptsHoldsNobodyUp(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	r := mustOpen(t, s, "a")
	s.retuneTo(t, strings.Replace(basic, `"attempts_cap":3`, `"attempts_cap":30`, 1))
	m.on = func(e *dispatch.Event) (all []dispatch.Action) {
		if e.Kind == dispatch.TimerFired {
			for range 20 {
				all = append(all, dispatch.Action{Kind: dispatch.Send, Request: r.id})
			}
		}
		return all
	}
	s.mu.Lock()
	s.handle(s.now(), &dispatch.Event{Kind: dispatch.TimerFired})
	s.mu.Unlock()
	if len(r.attempts) != 3 || s.Counters.Faults.Load() != 17 {
		t.Errorf("%d attempts, %d faults, want 3 and 17", len(r.attempts), s.Counters.Faults.Load())
	}
}
