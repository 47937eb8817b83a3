package dispatch

import (
	"math/rand/v2"
	"testing"
)

func (k *desk) byHand(out bool, w WorkerID) []Action {
	if out {
		return k.do(Event{Kind: TakenOut, Worker: w})
	}
	return k.do(Event{Kind: PutBack, Worker: w})
}

func sentTo(acts []Action) (all []WorkerID) {
	for _, a := range acts {
		if a.Kind == Send {
			all = append(all, a.Worker)
		}
	}
	return all
}

// A runner that is out gets nothing, whatever the list says: up, gone and back, restarted, a whole list anew.
func TestOutByHandNoListBringsAWorkerBack(t *testing.T) {
	k := newDesk(t, settings(), fleet(2)...)
	k.byHand(true, 0)
	k.byHand(true, 0)
	for i, lists := range [][]Event{
		{},
		{{Kind: ListChange, Workers: []Worker{{ID: 0, State: Ready}}}},
		{{Kind: ListChange, Workers: []Worker{{ID: 0, State: Gone}}}, {Kind: ListChange, Workers: []Worker{{ID: 0}}}},
		{{Kind: ListChange, Workers: []Worker{{ID: 0, StartedAt: k.now}}}},
		{{Kind: ListSnapshot, Workers: []Worker{{ID: 1}}}, {Kind: ListSnapshot, Workers: fleet(2)}},
	} {
		for j := range lists {
			lists[j].Version = uint64(10*i + j + 2)
			k.do(lists[j])
		}
		for range 10 {
			id, acts := k.land(safe, 10*ms)
			for _, w := range sentTo(acts) {
				if w == 0 {
					t.Fatalf("after lists %d: sent to the runner that is out", i)
				}
			}
			k.do(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
	}
	k.byHand(false, 0) // one call back for two out
	k.wait(30 * Second)
	var got [2]int
	for range 40 {
		id, acts := k.land(safe, 10*ms)
		for _, w := range sentTo(acts) {
			got[w]++
		}
		k.do(Event{Kind: Ended, Request: id, Result: OK, Final: true})
	}
	if got[0] == 0 || got[1] == 0 {
		t.Fatalf("after the call back, warm: %v", got)
	}
}

// Who is out before it is listed stays out when it comes.
func TestOutByHandHoldsForOneThatIsNotListedYet(t *testing.T) {
	k := newDesk(t, settings())
	k.byHand(true, 0)
	k.do(Event{Kind: ListSnapshot, Workers: fleet(1), Version: 1})
	if _, acts := k.land(safe, 10*ms); len(sentTo(acts)) > 0 {
		t.Fatalf("sent: %v", acts)
	}
	if w := k.d.workers[0]; !w.met || w.room != roomStart {
		t.Fatalf("not welcomed when it was listed: %+v", w)
	}
}

// With all runners out nothing is sent, and requests are answered in time.
func TestAllOutByHandIsNoReasonToSend(t *testing.T) {
	k := newDesk(t, settings(), fleet(2)...)
	k.byHand(true, 0)
	k.byHand(true, 1)
	_, acts := k.land(safe, 10*ms)
	acts = append(acts, k.wait(6*Second)...)
	if len(acts) != 1 || acts[0].Kind != Refuse {
		t.Fatalf("%v", acts)
	}
}

// What is held at a runner that is taken out goes to another, without waiting for its own time.
func TestHeldJobsLeaveAWorkerThatIsTakenOut(t *testing.T) {
	k := newDesk(t, settings(), fleet(1)...)
	for range 3 { // the room at the start is two
		k.land(safe, 100*ms)
	}
	k.do(Event{Kind: ListChange, Workers: []Worker{{ID: 1}}, Version: 2})
	k.byHand(true, 0)
	for b := range k.d.workers[0].lists {
		if q := k.d.workers[0].lists[b]; len(q.items) > 0 {
			t.Fatalf("%d entries are left at the worker", len(q.items))
		}
	}
	if sent := sentTo(k.wait(joinTick)); len(sent) != 1 || sent[0] != 1 {
		t.Fatalf("sent to %v, want 1", sent)
	}
}

// The return is cold: from the call back on, whether or not the list tells of a start, and however late it does.
func TestTheReturnIsCold(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(2)...)
	w := k.d.workers[0]
	k.byHand(true, 0)
	k.wait(2 * Second)
	k.byHand(false, 0)
	if got := k.d.warmth(w); got > s.ColdFrom {
		t.Fatalf("warmth %v at the call back, want %v", got, s.ColdFrom)
	}
	back := k.now
	k.wait(s.WarmWithin / 2)
	k.do(Event{Kind: ListChange, Workers: []Worker{{ID: 0, StartedAt: back - Second}}, Version: 2})
	if got := k.d.warmth(w); got < 0.5 || got > 0.6 {
		t.Fatalf("warmth %v half way, after the list told the start late", got)
	}
	if w.newsAt != back {
		t.Fatal("a start that was known counts as another restart")
	}
	k.do(Event{Kind: ListChange, Workers: []Worker{{ID: 0, StartedAt: k.now}}, Version: 3})
	if got := k.d.warmth(w); got > s.ColdFrom {
		t.Fatalf("warmth %v after a restart on the list", got)
	}
	// A start that was told while it was out is the operators'.
	k.byHand(true, 0)
	k.wait(Second)
	k.do(Event{Kind: ListChange, Workers: []Worker{{ID: 0, StartedAt: k.now}}, Version: 4})
	k.wait(s.WarmWithin / 2)
	k.byHand(false, 0)
	if got := k.d.warmth(w); got < 0.5 || got > 0.6 {
		t.Fatalf("warmth %v half way from the start that was told", got)
	}
	// Another process of ours took it back a while ago.
	k.do(Event{Kind: PutBack, Worker: 1, Elapsed: s.WarmWithin / 2})
	if got := k.d.warmth(k.d.workers[1]); got < 0.5 || got > 0.6 {
		t.Fatalf("warmth %v half way after a call back that was told late", got)
	}
}

// A call back for one that was never out, or is unknown, changes nothing that could break a rule.
func TestOddWordsOnWorkersDoNoHarm(t *testing.T) {
	k := newDesk(t, settings(), fleet(1)...)
	for _, id := range []WorkerID{-1, 7} {
		k.byHand(false, id)
		k.byHand(true, id)
	}
	if _, acts := k.land(safe, 10*ms); len(sentTo(acts)) != 1 {
		t.Fatalf("%v", acts)
	}
}

// A cold worker is drawn too seldom where there is little traffic: one that was put back is owed a job all the same, no
// more than one for that, and by no more dispatchers than it bears.
func TestAWorkerThatWasPutBackIsUsedAgain(t *testing.T) {
	s := settings()
	s.ColdFrom, s.WarmWithin = 0.01, 1000*Second // hardly ever drawn
	used, owed := 0, 0
	for seed := range uint64(40) {
		k := newDesk(t, s, fleet(8)...)
		k.d.rng = rand.New(rand.NewPCG(seed, 3))
		k.byHand(true, 0)
		k.wait(Second)
		k.byHand(false, 0)
		got := 0
		for range 25 { // five a second, most of the time nothing else runs
			k.wait(200 * ms)
			id, acts := k.land(safe, 10*ms)
			for _, w := range sentTo(acts) {
				if w == 0 {
					got++
				}
			}
			k.do(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
		if got > 0 {
			used++
		}
		if got > 4 {
			t.Errorf("seed %d: %d jobs to a worker that bears next to nothing", seed, got)
		}
	}
	if used != 40 {
		t.Errorf("used again in %d of 40 histories", used)
	}
	s.GroupSize = 400
	for seed := range uint64(400) {
		k := newDesk(t, s, fleet(2)...)
		k.d.rng = rand.New(rand.NewPCG(seed, 3))
		k.byHand(true, 0)
		k.byHand(false, 0)
		owed += len(k.d.owing)
	}
	if owed < 1 || owed > 12 {
		t.Errorf("%d of 400 dispatchers owe it a job", owed)
	}
}

// One that is taken out again, or leaves, is owed nothing and stands in nobody's way.
func TestNothingIsOwedToAWorkerThatIsOut(t *testing.T) {
	k := newDesk(t, settings(), fleet(3)...)
	for _, w := range []WorkerID{0, 1} {
		k.byHand(true, w)
		k.byHand(false, w)
	}
	k.do(Event{Kind: ListChange, Workers: []Worker{{ID: 0, State: Gone}}, Version: 2})
	k.wait(owedWithin)
	k.do(Event{Kind: TimerFired})
	if w := k.d.owed(); w != k.d.workers[1] {
		t.Errorf("owed to %+v", w)
	}
	k.byHand(true, 1)
	if w := k.d.owed(); w != nil || len(k.d.owing) != 1 {
		t.Errorf("owed to %+v, owing %d", w, len(k.d.owing))
	}
}

// A start from before the time out says nothing of the return, whichever process heard of that time.
func TestAnEarlierStartDoesNotMakeTheReturnWarm(t *testing.T) {
	s := settings()
	k := newDesk(t, s, Worker{ID: 0, StartedAt: Second}, Worker{ID: 1, StartedAt: Second})
	k.byHand(true, 0)
	k.wait(Second)
	k.byHand(false, 0)
	k.byHand(false, 1) // another process took it out and put it back
	for i, w := range k.d.workers {
		if got := k.d.warmth(w); got > s.ColdFrom {
			t.Errorf("worker %d: warmth %v at the call back, want %v", i, got, s.ColdFrom)
		}
	}
}
