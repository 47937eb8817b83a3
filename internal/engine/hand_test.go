package engine

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

func out(name string, at time.Time) map[string]Hand {
	return map[string]Hand{name: {Out: true, At: at}}
}
func back(name string, at time.Time) map[string]Hand { return map[string]Hand{name: {At: at}} }

// An attempt that was ordered before its worker was taken out does not go out after, nor once it is back: the process it
// was meant for is gone.
func TestAnAttemptDoesNotGoOutAfterItsWorkerWasTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &script{on: sends}
		s := newStore(t, m)
		s.News(listOf(dispatch.Ready, "a:1", 0))
		var dropped []string
		s.OnNews(func(w WorkerNews) { dropped = append(dropped, w.Address) })
		a := (<-mustOpen(t, s, "a").Orders()).Attempt
		if !a.Clear() {
			t.Fatal("it may not go out at all")
		}
		s.Hand(out("w", time.Now()))
		if a.Clear() {
			t.Fatal("it goes out to a worker that is out")
		}
		c := mustOpen(t, s, "c")
		late := (<-c.Orders()).Attempt
		if late.Clear() { // whatever a module orders
			t.Fatal("one that is ordered meanwhile goes out")
		}
		late.Ended(dispatch.NotSent, nil)
		c.Leave()
		if some, _ := s.Ready(); some {
			t.Fatal("a worker is ready though the only one is out")
		}
		s.News(listOf(dispatch.Ready, "a:1", 0))
		time.Sleep(time.Second)
		s.Hand(back("w", time.Now()))
		if a.Clear() {
			t.Fatal("it goes out to the process after the one that it was ordered for")
		}
		if want := []string{"a:1", "a:1"}; !slices.Equal(dropped, want) {
			t.Fatalf("connections dropped: %v, want %v", dropped, want)
		}
		a.Ended(dispatch.NotSent, nil)
		if b := (<-mustOpen(t, s, "b").Orders()).Attempt; !b.Clear() {
			t.Fatal("nothing goes out after the call back")
		}
		if o, p := m.of(dispatch.TakenOut), m.of(dispatch.PutBack); len(o) != 1 || len(p) != 1 || o[0].Worker != 0 {
			t.Fatalf("the module heard %v and %v", o, p)
		}
	})
}

// The newest word on a worker counts, in whatever order they are heard; one that was said a while ago tells how long.
func TestAnOldWordOnAWorkerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &script{}
		s := newStore(t, m)
		began := time.Now()
		time.Sleep(3 * time.Second)
		s.Hand(out("w", began.Add(2*time.Second)))
		s.Hand(back("w", began.Add(time.Second)))
		s.Hand(out("w", began.Add(2*time.Second)))
		if got := s.Out(); !slices.Equal(got, []string{"w"}) {
			t.Fatalf("out: %v", got)
		}
		s.Hand(back("w", began.Add(2500*time.Millisecond)))
		p := m.of(dispatch.PutBack)
		if len(s.Out()) != 0 || len(m.of(dispatch.TakenOut)) != 1 || len(p) != 1 || p[0].Elapsed != 500*dispatch.Millisecond {
			t.Fatalf("out: %v, put back: %+v", s.Out(), p)
		}
	})
}

func TestAWorkerIsKnownOnceItWasListedOrTakenOut(t *testing.T) {
	s := newStore(t, &script{})
	if s.Knows("w") || s.Knows("v") {
		t.Fatal("known before any list")
	}
	s.News(listOf(dispatch.Gone, "a:1", 0))
	s.Hand(out("v", time.Now()))
	if !s.Knows("w") || !s.Knows("v") || s.Knows("") {
		t.Fatal("not known")
	}
}

// A worker that others know to have come further gets nothing until it is let in again, and is as warm then as the list has it. Its
// latest start counts, also where the word that it leaves has none.
func TestOthersKnowMoreOfAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &script{on: sends}
		s := newStore(t, m)
		began := time.Now()
		s.News(listOf(dispatch.Ready, "a:1", began.UnixMilli()))
		a := (<-mustOpen(t, s, "a").Orders()).Attempt
		s.Heed([]string{"w", "unknown"})
		if some, _ := s.Ready(); some || a.Clear() || s.Knows("unknown") {
			t.Fatal("it is in use still, or a name from another was taken for a worker's")
		}
		a.Ended(dispatch.NotSent, nil)
		time.Sleep(time.Second)
		s.Heed(nil)
		s.Heed(nil)
		if p := m.of(dispatch.PutBack); len(p) != 1 || p[0].Elapsed != dispatch.Second {
			t.Fatalf("put back: %+v", p)
		}
		s.News(listOf(dispatch.Draining, "a:1", 0))
		if all, fresh := s.Known(time.Hour); !fresh || len(all) != 1 || all[0] != (Known{"w", began.UnixMilli(), dispatch.Draining}) {
			t.Fatalf("%+v", all)
		}
	})
}
