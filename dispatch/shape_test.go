package dispatch

import (
	"slices"
	"testing"
)

// What other shapes of deployment brought: keys, moves of one attempt at a time, weights that move, notes that take
// longer, and reports that come with answers.

// tagged is a fleet whose tags are spread like hashes of names.
func tagged(n int) []Worker {
	w := fleet(n)
	for i := range w {
		w[i].Tag = mix(uint64(i)+1) >> 32
	}
	return w
}

// fetching are settings under which a fetch has a price.
func fetching() Settings {
	s := settings()
	s.PriceFetch = 0.1
	return s
}

// landKey lands a job with a key, at the desk's clock.
func (k *desk) landKey(key uint64) (RequestID, []Action) {
	id := k.next
	k.next++
	acts := k.do(Event{Kind: Arrived, Request: id, Tenant: -1, Work: 100 * ms, Left: 5 * Second, Slots: 1, Key: key})
	if len(acts) == 0 {
		acts = k.wait(joinTick + ms)
	}
	return id, acts
}

func TestAKeyMeetsTheSameWorkerAtEveryDispatcher(t *testing.T) {
	met := map[uint64]map[WorkerID]bool{}
	all := map[WorkerID]bool{}
	for seed := range uint64(4) {
		d, err := New(fetching(), seed)
		if err != nil {
			t.Fatal(err)
		}
		k := &desk{t: t, d: d, now: 100 * Second, timer: never}
		k.do(Event{Kind: ListSnapshot, Workers: tagged(30), Version: 1})
		for key := uint64(1); key <= 40; key++ {
			id, acts := k.landKey(key)
			if count(acts, Send) != 1 {
				t.Fatalf("key %d: got %v, want one send", key, acts)
			}
			if met[key] == nil {
				met[key] = map[WorkerID]bool{}
			}
			met[key][acts[0].Worker], all[acts[0].Worker] = true, true
			k.run(id, 100*ms)
		}
	}
	for key, w := range met {
		if len(w) != 1 {
			t.Errorf("key %d met %d workers, want one", key, len(w))
		}
	}
	if len(all) < 15 {
		t.Errorf("40 keys met %d of 30 workers", len(all))
	}
}

func TestKeysCountOnlyWhereAFetchHasAPrice(t *testing.T) {
	k := newDesk(t, settings(), tagged(30)...)
	met := map[WorkerID]bool{}
	for range 40 {
		id, acts := k.landKey(7)
		if count(acts, Send) != 1 {
			t.Fatalf("got %v, want one send", acts)
		}
		met[acts[0].Worker] = true
		k.run(id, 100*ms)
	}
	if len(met) < 10 {
		t.Errorf("40 jobs met %d of 30 workers, want an even spread", len(met))
	}
}

func TestAKeyGoesOnToAnotherWhereItsWorkerDrains(t *testing.T) {
	k := newDesk(t, fetching(), tagged(30)...)
	id, acts := k.landKey(7)
	home := acts[0].Worker
	k.run(id, 100*ms)
	ring := &k.d.ring[0]
	k.do(Event{Kind: ListChange, Version: 2, Workers: []Worker{{ID: home, Tag: tagged(30)[home].Tag, State: Draining}}})
	next := map[WorkerID]bool{}
	for range 5 {
		id, acts = k.landKey(7)
		if count(acts, Send) != 1 || acts[0].Worker == home {
			t.Fatalf("got %v, want a send to another than %d", acts, home)
		}
		next[acts[0].Worker] = true
		k.run(id, 100*ms)
	}
	if len(next) != 1 {
		t.Errorf("the key met %d workers after its own had left, want one", len(next))
	}
	for _, w := range k.d.workers {
		w.use = 100
	}
	id, _ = k.landKey(7)
	if j := k.d.job(id); j.picked(k.d.workers[home]) {
		t.Error("a held job has spent a pick on the worker that drains")
	}
	if &k.d.ring[0] != ring {
		t.Error("the ring was made anew for a change of the list: that costs more than the platform leaves us")
	}
	if bare := newDesk(t, settings(), tagged(30)...); len(bare.d.ring) != 0 {
		t.Error("a ring is kept where no fetch has a price")
	}
}

// A hash that always leads to one worker would bring it, while it is cold, all jobs of that key.
func TestAKeyBringsAColdWorkerNoMoreThanAnEvenDraw(t *testing.T) {
	k := newDesk(t, fetching(), tagged(30)...)
	id, acts := k.landKey(7)
	home := acts[0].Worker
	k.run(id, 100*ms)
	cold := tagged(30)[home]
	cold.StartedAt = k.now
	k.do(Event{Kind: ListChange, Version: 2, Workers: []Worker{cold}})
	sends := 0
	for range 100 {
		id, acts := k.landKey(7)
		for _, a := range acts {
			if a.Kind == Send && a.Worker == home {
				sends++
			}
		}
		k.run(id, 10*ms)
	}
	if sends > 15 {
		t.Errorf("%d of 100 jobs of a key went to its worker while that was cold, want about one in 30 draws", sends)
	}
}

// Machines come and go for weeks: their points must not crowd out those that are left.
func TestTheRingForgetsMachinesThatAreGone(t *testing.T) {
	k := newDesk(t, fetching())
	list := tagged(3000)
	for i := range 100 { // each release replaces all 30 machines
		k.do(Event{Kind: ListSnapshot, Version: uint64(i + 1), Workers: list[30*i : 30*i+30]})
		id, _ := k.landKey(7)
		k.run(id, 10*ms)
	}
	if n := len(k.d.ring); n != 30*ringPoints {
		t.Fatalf("%d points for 30 workers", n)
	}
	k.do(Event{Kind: ListChange, Version: 101, Workers: []Worker{{ID: 2999, Tag: list[2999].Tag, State: Gone}, list[0]}})
	k.landKey(8)
	k.do(Event{Kind: ListChange, Version: 102, Workers: []Worker{list[2999], list[1]}}) // it comes back
	k.landKey(9)
	if n := len(k.d.ring); n != 32*ringPoints {
		t.Errorf("%d points, want those of 32 workers: one that has come back has its points again, once", n)
	}
}

func TestPartsOfTheRingAreAboutEven(t *testing.T) {
	k := newDesk(t, fetching(), tagged(30)...)
	homes := make([]int, 30)
	for key := range uint64(3000) {
		homes[k.d.drawn(&job{key: key + 1}, k.d.ready).ID]++
	}
	if most := slices.Max(homes); most > 200 {
		t.Errorf("a worker is the first of %d keys, where 100 are the mean: it keeps only so many", most)
	}
}

func TestAJobTurnedAwayGoesToItsKeysNextWorker(t *testing.T) {
	k := newDesk(t, fetching(), tagged(30)...)
	j := &job{key: 7}
	k.d.drawn(j, k.d.ready)
	next := k.d.drawn(j, k.d.ready)
	id, _ := k.landKey(7)
	acts := append(k.end(id, 0, Full), k.wait(joinTick+ms)...)
	if count(acts, Send) != 1 || acts[0].Worker != next.ID {
		t.Errorf("got %v, want it sent to worker %d, the second in the order of its key", acts, next.ID)
	}
}

func TestAnEarlierPickOfAKeyIsPreferredToAnIdlerOne(t *testing.T) {
	k := newDesk(t, fetching(), tagged(30)...)
	id, acts := k.landKey(7)
	home := acts[0].Worker
	k.start(id, 0)
	if _, acts = k.landKey(7); count(acts, Send) != 1 || acts[0].Worker != home {
		t.Errorf("got %v, want the key's worker %d, which has room and one job, before an idle one", acts, home)
	}
}

func TestNoRaceWhereACopyCostsAFetch(t *testing.T) {
	s := racing()
	s.PriceFetch = 0.1
	k := newDesk(t, s, fleet(6)...)
	k.sent(safe, 100*ms)
	if acts := k.wait(300 * ms); count(acts, Send)+count(acts, Cancel) != 0 {
		t.Errorf("got %v", acts)
	}
}

// alone are settings under which a job has one attempt out at a time and a cancel is worth its price.
func alone() Settings {
	s := racing()
	s.SecondCopies, s.MaxAttempts = false, 5
	return s
}

func TestWaitingJobIsTakenBackAndThenMoved(t *testing.T) {
	for _, class := range []int{safe, keyedAll} {
		k := newDesk(t, alone(), fleet(12)...)
		id, first := k.sent(class, 100*ms)
		want(t, k.wait(2*firstBase+copySlack+ms), Cancel)
		acts := append(k.end(id, 0, Cancelled), k.wait(joinTick+ms)...)
		if count(acts, Send) != 1 || acts[0].Worker == first {
			t.Fatalf("class %d: got %v, want it sent to another worker", class, acts)
		}
		want(t, k.start(id, 1))
		if acts = k.wait(200 * ms); len(acts) != 0 {
			t.Fatalf("class %d: got %v while it runs", class, acts)
		}
	}
	k := newDesk(t, alone(), fleet(12)...)
	k.sent(unsafe, 100*ms)
	if acts := k.wait(300 * ms); len(acts) != 0 {
		t.Errorf("an unsafe job was moved: %v", acts)
	}
}

// Attempts are few: five moves within 80 ms left 467 jobs of one day in the queue that they met last.
func TestMovesAreSpaced(t *testing.T) {
	k := newDesk(t, alone(), fleet(12)...)
	id, _ := k.sent(safe, 300*ms)
	var waits []Time
	for len(waits) < 3 {
		acts := k.wait(ms)
		for _, a := range acts {
			if a.Kind != Cancel {
				continue
			}
			waits = append(waits, k.now-k.d.job(id).attempts[a.Attempt].sentAt)
			if acts := append(k.end(id, a.Attempt, Cancelled), k.wait(joinTick+ms)...); count(acts, Send) != 1 {
				t.Fatalf("move %d: got %v", len(waits), acts)
			}
		}
		if k.now > 110*Second {
			t.Fatalf("only %d moves", len(waits))
		}
	}
	for i := range waits[1:] {
		if waits[i+1] < waits[i]+copySlack/2 {
			t.Errorf("waits of %v before the moves, want each longer than the one before", waits)
		}
	}
}

func TestSizeIsWhatReportsTellNotWhatStartsSuggest(t *testing.T) {
	k := newDesk(t, settings(), fleet(1)...)
	w := k.d.workers[0]
	id, _ := k.sent(safe, 100*ms)
	k.start(id, 0)
	k.do(Event{Kind: Ended, Request: id, Final: true, Report: Report{Known: true, FreeSlots: 6.7, Queue: -1}})
	if w.kind.size != 6 {
		t.Fatalf("size %v after 6.7 free slots were told, want 6", w.kind.size)
	}
	for range 20 { // starts in time beside a load of the whole size: a job had ended meanwhile
		id, _ = k.sent(safe, 100*ms)
		k.d.job(id).attempts[0].load = w.kind.size + 1
		k.run(id, 100*ms)
	}
	if w.kind.size != 6 {
		t.Errorf("size %v: it crept up by starts", w.kind.size)
	}
}

// A worker that a home has just called full must not count as free because the word is a little old.
func TestAnOlderWordSaysMoreThanNone(t *testing.T) {
	s := settings()
	s.GroupSize, s.Ordinal, s.CanTell = 2, 0, true
	list := tagged(2)
	for i := range list {
		list[i].Tag = uint64(2*i + 1) // both have their home at the other
	}
	k := newDesk(t, s, list...)
	k.wait(2 * homeAfter)
	tell := func() {
		for _, w := range list {
			k.do(Event{Kind: Heard, Peer: 1, Note: Note{Kind: Load, Tag: w.Tag, Slots: 9}})
		}
	}
	k.land(safe, 100*ms)
	tell()
	sends := 0
	for range 5 { // the homes stay silent from here on
		sends += count(k.wait(askLife), Send)
	}
	if sends != 0 {
		t.Errorf("%d sends to workers that were told to be full", sends)
	}
}

func TestToldLoadsCountByPaceAndBeforeReports(t *testing.T) {
	s := settings()
	s.GroupSize, s.CanTell = 2, true
	k := newDesk(t, s, fleet(2)...)
	quick, slow := k.d.workers[0], k.d.workers[1]
	for _, w := range k.d.workers {
		w.load, w.loadAt, w.runs, w.pace = 1, k.now, 1, 1
	}
	slow.pace = 2
	quick.kind.size = 8
	k.d.now = k.now
	j := &job{class: &k.d.classes[safe], most: 4, need: 1, open: true, end: never, heldAt: k.now}
	if a, b := k.d.usage(j, quick), k.d.usage(j, slow); a >= b {
		t.Errorf("usage %v of the quick worker, %v of one half as quick under the same load", a, b)
	}
	quick.cap, quick.capUntil = 0, k.now+Second // a report of a moment ago
	if !k.d.hasRoom(j, quick) {
		t.Error("a report keeps a job from a worker whose home has just told room")
	}
}

func TestADrawAsksForNoMoreThanItMay(t *testing.T) {
	s := settings()
	s.GroupSize, s.Ordinal, s.CanTell = 2, 0, true
	list := tagged(200)
	for i := range list {
		list[i].Tag |= 1
	}
	k := newDesk(t, s, list...)
	k.wait(2 * homeAfter)
	_, acts := k.land(safe, 100*ms)
	for range 3 {
		if n := count(acts, Tell); n > askCount {
			t.Fatalf("%d notes in one draw, want %d at most", n, askCount)
		}
		for _, w := range k.d.workers {
			w.load, w.loadAt = 99, k.now // all full
		}
		acts = k.wait(askLife + ms)
	}
}

// moving are settings of weights that fall with load, and nothing else that tells load.
func moving() Settings {
	s := settings()
	s.WeightsMove = true
	return s
}

func TestWeightsThatMoveAreLoadNotSize(t *testing.T) {
	list := tagged(2)
	list[0].Weight, list[1].Weight = 6, 2.5
	k := newDesk(t, moving(), list...)
	k.d.workers[0].cutAt, k.d.workers[1].cutAt = 0, 0
	k.d.workers[0].room = 1
	if r := k.d.roomOf(k.d.workers[0]); r != k.d.room {
		t.Errorf("room %v of an idle worker, want the usual %v: its weight is no size", r, k.d.room)
	}
	j := &job{class: &k.d.classes[safe], most: 4, need: 1, open: true, end: never, heldAt: k.now}
	if idle, busy := k.d.usage(j, k.d.workers[0]), k.d.usage(j, k.d.workers[1]); idle >= busy {
		t.Errorf("usage %v at the idle worker, %v at the busy one", idle, busy)
	}
	list[1].Weight = 1
	k.do(Event{Kind: ListChange, Version: 2, Workers: list[1:]})
	w := k.d.workers[1]
	if k.d.hasRoom(j, w) {
		t.Error("a worker at a sixth of the other's weight has room at once")
	}
	if k.now += k.d.farAfter(); !func() bool { k.d.now = k.now; return k.d.hasRoom(j, w) }() {
		t.Error("it has no room even after a wait: an old weight must not shut it for good")
	}
}

func TestLateStartsPressByTheWorthThatTheyLose(t *testing.T) {
	shed := func(late float64) float64 {
		s := settings()
		s.Classes[safe].LateWorth = late
		k := newDesk(t, s, fleet(1)...)
		k.sent(safe, 100*ms)
		k.wait(700 * ms)
		return k.d.shed
	}
	if none, half := shed(0), shed(0.5); none <= 0 || half >= 0.6*none {
		t.Errorf("a late start refuses by %v where it loses all, by %v where it loses half", none, half)
	}
}

// At few landings a second chance alone brings several of one tenant together.
func TestAQuietTenantIsNotTakenForOneBeyondItsShare(t *testing.T) {
	s := settings()
	s.Tenants, s.OverShareWorth, s.GroupSize = []Tenant{{Quota: 40}, {Quota: 40}}, 0.1, 40
	k := newDesk(t, s, fleet(20)...)
	behindOnes := 0
	for i := range 200 { // 0.8 a second of each, a fifth under the part of 1; in bunches of four
		id, tenant := k.next, i/4%2
		k.next++
		k.do(Event{Kind: Arrived, Request: id, Tenant: tenant, Work: 50 * ms, Left: 5 * Second, Slots: 1})
		if j := k.d.job(id); j != nil && j.band == behind {
			behindOnes++
		}
		if i%4 == 3 {
			k.wait(2500 * ms)
		}
	}
	if behindOnes > 10 {
		t.Errorf("%d of 200 jobs within the share were taken for beyond it", behindOnes)
	}
}

// Refusing for jobs that leave their queues by themselves would leave slots idle; jobs that stay in them still press.
func TestLateStartsOfWhatMovesRefuseNobody(t *testing.T) {
	for class, presses := range map[int]bool{safe: false, unsafe: true} {
		s := alone()
		s.MaxAttempts = 1
		k := newDesk(t, s, fleet(6)...)
		k.sent(class, 100*ms)
		k.wait(900 * ms)
		if got := k.d.shed > 0; got != presses {
			t.Errorf("class %d: refusing %v after a late start, want %v", class, got, presses)
		}
	}
}

// coldSends lands first tries one at a time and counts those that go to a worker.
func (k *desk) coldSends(jobs int, cold func(WorkerID) bool) (n int) {
	for range jobs {
		id, acts := k.land(safe, 50*ms)
		acts = append(acts, k.wait(joinTick+ms)...)
		for _, a := range acts {
			if a.Kind == Send && cold(a.Worker) {
				n++
			}
		}
		if j := k.d.job(id); j != nil && j.out() > 0 {
			k.run(id, 0)
		}
	}
	return n
}

// On a recorded day most workers of one zone were gone and six came back cold: all dispatchers of that zone drew from six.
func TestFewColdWorkersOfAZoneDoNotBearAllItsDraws(t *testing.T) {
	s := settings()
	s.PriceCross = 0.02
	list := tagged(40)
	for i := range list {
		list[i].Zone = 1
	}
	k := newDesk(t, s)
	for i := range 2 {
		list[i].Zone, list[i].StartedAt = 0, k.now
	}
	k.do(Event{Kind: ListSnapshot, Workers: list, Version: 1})
	if n := k.coldSends(300, func(w WorkerID) bool { return w < 2 }); n > 30 {
		t.Errorf("%d of 300 jobs went to two cold workers, alone in their zone with half of all traffic; want a tenth of them at most", n)
	}
}

func TestPassingOverOthersBringsAColdWorkerNoMore(t *testing.T) {
	k := newDesk(t, settings())
	list := tagged(10)
	list[0].StartedAt = k.now
	k.do(Event{Kind: ListSnapshot, Workers: list, Version: 1})
	for _, w := range k.d.workers[2:] {
		w.silent, w.trialAt = true, never
	}
	if n := k.coldSends(300, func(w WorkerID) bool { return w == 0 }); n > 45 {
		t.Errorf("%d of 300 jobs went to a cold worker, one of ten, as eight others give no sign", n)
	}
}

func TestAbsurdReportsDoNoLastingHarm(t *testing.T) {
	k := newDesk(t, settings(), fleet(2)...)
	w := k.d.workers[0]
	for _, r := range []Report{{}, {Known: true, FreeSlots: -1, Queue: -1}, {Known: true, FreeSlots: 0, Queue: 1e12}, {FreeSlots: 50}} {
		k.d.reported(w, &Event{Kind: Ended, Report: r})
		if w.kind.size != 1 {
			t.Errorf("size %v after the report %+v, want it as it was", w.kind.size, r)
		}
	}
	k.d.reported(w, &Event{Kind: Ended, Report: Report{Known: true, FreeSlots: 1e9}})
	if w.kind.size > 1+sizeStep {
		t.Errorf("size %v after one absurd report", w.kind.size)
	}
	k.wait(reportLife) // zero free slots, told long ago
	if _, acts := k.land(safe, 100*ms); count(acts, Send) != 1 {
		t.Errorf("got %v, want a send in spite of old reports", acts)
	}
}

func TestWeightsOfNoughtOrAllAlikePlaceJobs(t *testing.T) {
	for name, weights := range map[string][3]float64{
		"nought": {}, "one": {1, 1, 1}, "one told": {0, 6, 0}, "below nought": {-3, -3, -3}, "far apart": {1e-300, 1, 1e300},
	} {
		list := fleet(3)
		for i := range list {
			list[i].Weight = weights[i]
		}
		k := newDesk(t, moving(), list...)
		sends := 0
		for range 20 {
			id, acts := k.land(safe, 50*ms)
			acts = append(acts, k.wait(100*ms)...)
			sends += count(acts, Send)
			if j := k.d.job(id); j != nil && j.out() > 0 {
				k.run(id, 0)
			}
		}
		if sends < 20 {
			t.Errorf("weights %s: %d of 20 jobs were sent", name, sends)
		}
	}
}

func TestKeysWithOneWorkerOrNone(t *testing.T) {
	k := newDesk(t, fetching())
	if _, acts := k.landKey(7); len(acts) != 0 {
		t.Fatalf("got %v without a list", acts)
	}
	k.do(Event{Kind: ListSnapshot, Version: 1})
	id, acts := k.landKey(7)
	want(t, acts)
	acts = append(k.do(Event{Kind: ListSnapshot, Version: 2, Workers: tagged(1)}), k.wait(2*joinTick)...)
	if count(acts, Send) == 0 || k.d.job(id) == nil {
		t.Fatalf("got %v once there is a worker", acts)
	}
}

func TestAGroupOf900TellsWithinItself(t *testing.T) {
	s := fetching()
	s.GroupSize, s.Ordinal, s.CanTell = 900, 899, true
	k := newDesk(t, s, tagged(290)...)
	notes, sends := 0, 0
	for key := range uint64(50) {
		id, acts := k.landKey(key + 1)
		acts = append(acts, k.wait(2*askLife)...)
		for _, a := range acts {
			if a.Kind == Tell && (a.Peer < 0 || a.Peer >= 899) {
				t.Fatalf("a note to %d", a.Peer)
			}
		}
		notes, sends = notes+count(acts, Tell), sends+count(acts, Send)
		if j := k.d.job(id); j != nil && j.out() > 0 {
			k.run(id, 0)
		}
	}
	if sends < 50 || notes < 50 {
		t.Errorf("%d sends and %d notes for 50 jobs, though no home answers", sends, notes)
	}
}

func TestWaitsBeforeMovesStayWaitsHoweverManyAttempts(t *testing.T) {
	k := newDesk(t, alone(), fleet(2)...)
	j := &job{class: &k.d.classes[safe], most: 4, attempts: make([]attempt, 80)}
	if wait := k.d.startBy(j, k.d.workers[0]); wait < Second {
		t.Errorf("a wait of %v at the eightieth attempt: shifted out of its bits", wait)
	}
}
