package dispatch

import (
	"slices"
	"testing"
)

// What other shapes of deployment brought: keys, moves of one attempt at a time, weights that move, notes that take
// longer, and reports that come with answers.

// taggedFleet is a fleet whose tags are spread like hashes of names.
func taggedFleet(n int) []Worker {
	w := fleet(n)
	for i := range w {
		w[i].Tag = splitmix64(uint64(i)+1) >> 32
	}
	return w
}

// affinitySettings are settings under which a fetch has a price.
func affinitySettings() Settings {
	s := testSettings()
	s.PriceFetch = 0.1
	return s
}

// arriveWithKey lands a job with a key, at the desk's clock.
func (h *harness) arriveWithKey(key uint64) (RequestID, []Action) {
	id := h.nextRequest
	h.nextRequest++
	actions := h.handle(Event{Kind: RequestArrived, Request: id, Tenant: -1, ExpectedWork: 100 * ms, TimeLeft: 5 * Second, Slots: 1, AffinityKey: key})
	if len(actions) == 0 {
		actions = h.wait(candidateInterval + ms)
	}
	return id, actions
}

func TestAffinity_SameWorkerAtEveryDispatcher(t *testing.T) {
	workersByKey := map[uint64]map[WorkerID]bool{}
	all := map[WorkerID]bool{}
	for seed := range uint64(4) {
		d, err := New(affinitySettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, dispatcher: d, now: 100 * Second, timer: never}
		h.handle(Event{Kind: EndpointSnapshot, Workers: taggedFleet(30), Version: 1})
		for key := uint64(1); key <= 40; key++ {
			id, actions := h.arriveWithKey(key)
			if countKind(actions, Send) != 1 {
				t.Fatalf("key %d: got %v, want one send", key, actions)
			}
			if workersByKey[key] == nil {
				workersByKey[key] = map[WorkerID]bool{}
			}
			workersByKey[key][actions[0].Worker], all[actions[0].Worker] = true, true
			h.startAndEnd(id, 100*ms)
		}
	}
	for key, w := range workersByKey {
		if len(w) != 1 {
			t.Errorf("key %d met %d workers, want one", key, len(w))
		}
	}
	if len(all) < 15 {
		t.Errorf("40 keys met %d of 30 workers", len(all))
	}
}

func TestAffinity_OnlyWhereFetchHasPrice(t *testing.T) {
	h := newHarness(t, testSettings(), taggedFleet(30)...)
	workers := map[WorkerID]bool{}
	for range 40 {
		id, actions := h.arriveWithKey(7)
		if countKind(actions, Send) != 1 {
			t.Fatalf("got %v, want one send", actions)
		}
		workers[actions[0].Worker] = true
		h.startAndEnd(id, 100*ms)
	}
	if len(workers) < 10 {
		t.Errorf("40 jobs met %d of 30 workers, want an even spread", len(workers))
	}
}

func TestAffinity_MovesOnFromDrainingWorker(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.startAndEnd(id, 100*ms)
	ring := &h.dispatcher.ring[0]
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: affinityWorker, Tag: taggedFleet(30)[affinityWorker].Tag, State: Draining}}})
	next := map[WorkerID]bool{}
	for range 5 {
		id, actions = h.arriveWithKey(7)
		if countKind(actions, Send) != 1 || actions[0].Worker == affinityWorker {
			t.Fatalf("got %v, want a send to another than %d", actions, affinityWorker)
		}
		next[actions[0].Worker] = true
		h.startAndEnd(id, 100*ms)
	}
	if len(next) != 1 {
		t.Errorf("the key met %d workers after its own had left, want one", len(next))
	}
	for _, w := range h.dispatcher.workers {
		w.slotsInUse = 100
	}
	id, _ = h.arriveWithKey(7)
	if r := h.dispatcher.request(id); r.isCandidate(h.dispatcher.workers[affinityWorker]) {
		t.Error("a held job has spent a pick on the worker that drains")
	}
	if &h.dispatcher.ring[0] != ring {
		t.Error("the ring was made anew for a change of the list: that costs more than the platform leaves us")
	}
	if bare := newHarness(t, testSettings(), taggedFleet(30)...); len(bare.dispatcher.ring) != 0 {
		t.Error("a ring is kept where no fetch has a price")
	}
}

// A hash that always leads to one worker would bring it, while it is cold, all jobs of that key.
func TestAffinity_WarmingWorkerGetsEvenShare(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.startAndEnd(id, 100*ms)
	warming := taggedFleet(30)[affinityWorker]
	warming.StartedAt = h.now
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{warming}})
	sends := 0
	for range 100 {
		id, actions := h.arriveWithKey(7)
		for _, a := range actions {
			if a.Kind == Send && a.Worker == affinityWorker {
				sends++
			}
		}
		h.startAndEnd(id, 10*ms)
	}
	if sends > 15 {
		t.Errorf("%d of 100 jobs of a key went to its worker while that was cold, want about one in 30 draws", sends)
	}
}

// Machines come and go for weeks: their points must not crowd out those that are left.
func TestAffinity_RingForgetsGoneWorkers(t *testing.T) {
	h := newHarness(t, affinitySettings())
	list := taggedFleet(3000)
	for i := range 100 { // each release replaces all 30 machines
		h.handle(Event{Kind: EndpointSnapshot, Version: uint64(i + 1), Workers: list[30*i : 30*i+30]})
		id, _ := h.arriveWithKey(7)
		h.startAndEnd(id, 10*ms)
	}
	if n := len(h.dispatcher.ring); n != 30*pointsPerWorker {
		t.Fatalf("%d points for 30 workers", n)
	}
	h.handle(Event{Kind: EndpointUpdate, Version: 101, Workers: []Worker{{ID: 2999, Tag: list[2999].Tag, State: Gone}, list[0]}})
	h.arriveWithKey(8)
	h.handle(Event{Kind: EndpointUpdate, Version: 102, Workers: []Worker{list[2999], list[1]}}) // it comes back
	h.arriveWithKey(9)
	if n := len(h.dispatcher.ring); n != 32*pointsPerWorker {
		t.Errorf("%d points, want those of 32 workers: one that has come back has its points again, once", n)
	}
}

func TestAffinity_RingIsEven(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	keysByWorker := make([]int, 30)
	for key := range uint64(3000) {
		keysByWorker[h.dispatcher.sampleWorker(&request{affinityKey: key + 1}, h.dispatcher.ready).ID]++
	}
	if highest := slices.Max(keysByWorker); highest > 200 {
		t.Errorf("a worker is the first of %d keys, where 100 are the mean: it keeps only so many", highest)
	}
}

func TestAffinity_RejectedGoesToNextOnRing(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	r := &request{affinityKey: 7}
	h.dispatcher.sampleWorker(r, h.dispatcher.ready)
	next := h.dispatcher.sampleWorker(r, h.dispatcher.ready)
	id, _ := h.arriveWithKey(7)
	actions := append(h.end(id, 0, ResultOverloaded), h.wait(candidateInterval+ms)...)
	if countKind(actions, Send) != 1 || actions[0].Worker != next.ID {
		t.Errorf("got %v, want it sent to worker %d, the second in the order of its key", actions, next.ID)
	}
}

func TestAffinity_EarlierCandidateIsPreferred(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.start(id, 0)
	if _, actions = h.arriveWithKey(7); countKind(actions, Send) != 1 || actions[0].Worker != affinityWorker {
		t.Errorf("got %v, want the key's worker %d, which has room and one job, before an idle one", actions, affinityWorker)
	}
}

func TestHedging_OffWhereFetchIsDear(t *testing.T) {
	s := hedgingSettings()
	s.PriceFetch = 0.1
	h := newHarness(t, s, fleet(6)...)
	h.arriveAndSend(classIdempotent, 100*ms)
	if actions := h.wait(300 * ms); countKind(actions, Send)+countKind(actions, Cancel) != 0 {
		t.Errorf("got %v", actions)
	}
}

// migrationSettings are settings under which a job has one attempt out at a time and a cancel is worth its price.
func migrationSettings() Settings {
	s := hedgingSettings()
	s.CanHedge, s.MaxAttempts = false, 5
	return s
}

func TestMigration_CancelsBeforeResend(t *testing.T) {
	for _, class := range []int{classIdempotent, classDedupEverywhere} {
		h := newHarness(t, migrationSettings(), fleet(12)...)
		id, first := h.arriveAndSend(class, 100*ms)
		wantKinds(t, h.wait(2*initialStartDelay+hedgeStartSlack+ms), Cancel)
		actions := append(h.end(id, 0, ResultCancelled), h.wait(candidateInterval+ms)...)
		if countKind(actions, Send) != 1 || actions[0].Worker == first {
			t.Fatalf("class %d: got %v, want it sent to another worker", class, actions)
		}
		wantKinds(t, h.start(id, 1))
		if actions = h.wait(200 * ms); len(actions) != 0 {
			t.Fatalf("class %d: got %v while it runs", class, actions)
		}
	}
	h := newHarness(t, migrationSettings(), fleet(12)...)
	h.arriveAndSend(classNonIdempotent, 100*ms)
	if actions := h.wait(300 * ms); len(actions) != 0 {
		t.Errorf("an unsafe job was moved: %v", actions)
	}
}

// Attempts are few: five moves within 80 ms left 467 jobs of one day in the queue that they met last.
func TestMigration_IsSpaced(t *testing.T) {
	h := newHarness(t, migrationSettings(), fleet(12)...)
	id, _ := h.arriveAndSend(classIdempotent, 300*ms)
	var waits []Time
	for len(waits) < 3 {
		actions := h.wait(ms)
		for _, a := range actions {
			if a.Kind != Cancel {
				continue
			}
			waits = append(waits, h.now-h.dispatcher.request(id).attempts[a.Attempt].sentAt)
			if actions := append(h.end(id, a.Attempt, ResultCancelled), h.wait(candidateInterval+ms)...); countKind(actions, Send) != 1 {
				t.Fatalf("move %d: got %v", len(waits), actions)
			}
		}
		if h.now > 110*Second {
			t.Fatalf("only %d moves", len(waits))
		}
	}
	for i := range waits[1:] {
		if waits[i+1] < waits[i]+hedgeStartSlack/2 {
			t.Errorf("waits of %v before the moves, want each longer than the one before", waits)
		}
	}
}

func TestLoadReport_SetsSize(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	w := h.dispatcher.workers[0]
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.start(id, 0)
	h.handle(Event{Kind: AttemptEnded, Request: id, Final: true, Report: LoadReport{Known: true, FreeSlots: 6.7, QueueLength: -1}})
	if w.kind.size != 6 {
		t.Fatalf("size %v after 6.7 free slots were told, want 6", w.kind.size)
	}
	for range 20 { // starts in time beside a load of the whole size: a job had ended meanwhile
		id, _ = h.arriveAndSend(classIdempotent, 100*ms)
		h.dispatcher.request(id).attempts[0].groupLoad = w.kind.size + 1
		h.startAndEnd(id, 100*ms)
	}
	if w.kind.size != 6 {
		t.Errorf("size %v: it crept up by starts", w.kind.size)
	}
}

// A worker that a home has just called full must not count as free because the word is a little old.
func TestPeers_OlderLoadBeatsNone(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 2, 0, true
	list := taggedFleet(2)
	for i := range list {
		list[i].Tag = uint64(2*i + 1) // both have their home at the other
	}
	h := newHarness(t, s, list...)
	h.wait(2 * aggregatorWarmup)
	report := func() {
		for _, w := range list {
			h.handle(Event{Kind: PeerMessageReceived, Peer: 1, Message: PeerMessage{Kind: LoadReply, Tag: w.Tag, Slots: 9}})
		}
	}
	h.arrive(classIdempotent, 100*ms)
	report()
	sends := 0
	for range 5 { // the homes stay silent from here on
		sends += countKind(h.wait(loadQueryTimeout), Send)
	}
	if sends != 0 {
		t.Errorf("%d sends to workers that were told to be full", sends)
	}
}

func TestPeers_LoadCountsBySlowdownAndBeforeReports(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.PeerMessages = 2, true
	h := newHarness(t, s, fleet(2)...)
	quick, slow := h.dispatcher.workers[0], h.dispatcher.workers[1]
	for _, w := range h.dispatcher.workers {
		w.groupLoad, w.groupLoadAt, w.runCount, w.slowdown = 1, h.now, 1, 1
	}
	slow.slowdown = 2
	quick.kind.size = 8
	h.dispatcher.now = h.now
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, slots: 1, open: true, deadline: never, queuedAt: h.now}
	if a, b := h.dispatcher.placementCost(r, quick), h.dispatcher.placementCost(r, slow); a >= b {
		t.Errorf("usage %v of the quick worker, %v of one half as quick under the same load", a, b)
	}
	quick.reportedCapacity, quick.reportedCapacityUntil = 0, h.now+Second // a report of a moment ago
	if !h.dispatcher.hasCapacity(r, quick) {
		t.Error("a report keeps a job from a worker whose home has just told room")
	}
}

func TestPeers_LoadQueriesAreBounded(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 2, 0, true
	list := taggedFleet(200)
	for i := range list {
		list[i].Tag |= 1
	}
	h := newHarness(t, s, list...)
	h.wait(2 * aggregatorWarmup)
	_, actions := h.arrive(classIdempotent, 100*ms)
	for range 3 {
		if n := countKind(actions, SendToPeer); n > maxLoadQueries {
			t.Fatalf("%d notes in one draw, want %d at most", n, maxLoadQueries)
		}
		for _, w := range h.dispatcher.workers {
			w.groupLoad, w.groupLoadAt = 99, h.now // all full
		}
		actions = h.wait(loadQueryTimeout + ms)
	}
}

// loadWeightSettings are settings of weights that fall with load, and nothing else that tells load.
func loadWeightSettings() Settings {
	s := testSettings()
	s.WeightsShowLoad = true
	return s
}

func TestWeights_LoadNotSize(t *testing.T) {
	list := taggedFleet(2)
	list[0].Weight, list[1].Weight = 6, 2.5
	h := newHarness(t, loadWeightSettings(), list...)
	h.dispatcher.workers[0].capacityReducedAt, h.dispatcher.workers[1].capacityReducedAt = 0, 0
	h.dispatcher.workers[0].capacity = 1
	if capacity := h.dispatcher.capacityOf(h.dispatcher.workers[0]); capacity != h.dispatcher.meanCapacity {
		t.Errorf("room %v of an idle worker, want the usual %v: its weight is no size", capacity, h.dispatcher.meanCapacity)
	}
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, slots: 1, open: true, deadline: never, queuedAt: h.now}
	if idle, busy := h.dispatcher.placementCost(r, h.dispatcher.workers[0]), h.dispatcher.placementCost(r, h.dispatcher.workers[1]); idle >= busy {
		t.Errorf("usage %v at the idle worker, %v at the busy one", idle, busy)
	}
	list[1].Weight = 1
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: list[1:]})
	w := h.dispatcher.workers[1]
	if h.dispatcher.hasCapacity(r, w) {
		t.Error("a worker at a sixth of the other's weight has room at once")
	}
	if h.now += h.dispatcher.crossZoneDelay(); !func() bool { h.dispatcher.now = h.now; return h.dispatcher.hasCapacity(r, w) }() {
		t.Error("it has no room even after a wait: an old weight must not shut it for good")
	}
}

func TestShedding_ByWeightLost(t *testing.T) {
	shed := func(lateWeight float64) float64 {
		s := testSettings()
		s.Classes[classIdempotent].LateWeight = lateWeight
		h := newHarness(t, s, fleet(1)...)
		h.arriveAndSend(classIdempotent, 100*ms)
		h.wait(700 * ms)
		return h.dispatcher.shedding
	}
	if none, half := shed(0), shed(0.5); none <= 0 || half >= 0.6*none {
		t.Errorf("a late start refuses by %v where it loses all, by %v where it loses half", none, half)
	}
}

// At few landings a second chance alone brings several of one tenant together.
func TestQuota_QuietTenantIsWithinQuota(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight, s.GroupSize = []Tenant{{QuotaRPS: 40}, {QuotaRPS: 40}}, 0.1, 40
	h := newHarness(t, s, fleet(20)...)
	overQuota := 0
	for i := range 200 { // 0.8 a second of each, a fifth under the part of 1; in bunches of four
		id, tenant := h.nextRequest, i/4%2
		h.nextRequest++
		h.handle(Event{Kind: RequestArrived, Request: id, Tenant: tenant, ExpectedWork: 50 * ms, TimeLeft: 5 * Second, Slots: 1})
		if r := h.dispatcher.request(id); r != nil && r.band == bandOverQuota {
			overQuota++
		}
		if i%4 == 3 {
			h.wait(2500 * ms)
		}
	}
	if overQuota > 10 {
		t.Errorf("%d of 200 jobs within the share were taken for beyond it", overQuota)
	}
}

// Refusing for jobs that leave their queues by themselves would leave slots idle; jobs that stay in them still press.
func TestShedding_MigratedRequestsDoNotCount(t *testing.T) {
	for class, sheds := range map[int]bool{classIdempotent: false, classNonIdempotent: true} {
		s := migrationSettings()
		s.MaxAttempts = 1
		h := newHarness(t, s, fleet(6)...)
		h.arriveAndSend(class, 100*ms)
		h.wait(900 * ms)
		if got := h.dispatcher.shedding > 0; got != sheds {
			t.Errorf("class %d: refusing %v after a late start, want %v", class, got, sheds)
		}
	}
}

// countSends lands first tries one at a time and counts those that go to a worker.
func (h *harness) countSends(requests int, isTarget func(WorkerID) bool) (n int) {
	for range requests {
		id, actions := h.arrive(classIdempotent, 50*ms)
		actions = append(actions, h.wait(candidateInterval+ms)...)
		for _, a := range actions {
			if a.Kind == Send && isTarget(a.Worker) {
				n++
			}
		}
		if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
			h.startAndEnd(id, 0)
		}
	}
	return n
}

// On a recorded day most workers of one zone were gone and six came back cold: all dispatchers of that zone drew from six.
func TestSlowStart_FewWarmingWorkersOfAZone(t *testing.T) {
	s := testSettings()
	s.PriceCrossZone = 0.02
	list := taggedFleet(40)
	for i := range list {
		list[i].Zone = 1
	}
	h := newHarness(t, s)
	for i := range 2 {
		list[i].Zone, list[i].StartedAt = 0, h.now
	}
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	if n := h.countSends(300, func(w WorkerID) bool { return w < 2 }); n > 30 {
		t.Errorf("%d of 300 jobs went to two cold workers, alone in their zone with half of all traffic; want a tenth of them at most", n)
	}
}

func TestSlowStart_SkippedWorkersAddNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	list := taggedFleet(10)
	list[0].StartedAt = h.now
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	for _, w := range h.dispatcher.workers[2:] {
		w.unresponsive, w.nextProbeAt = true, never
	}
	if n := h.countSends(300, func(w WorkerID) bool { return w == 0 }); n > 45 {
		t.Errorf("%d of 300 jobs went to a cold worker, one of ten, as eight others give no sign", n)
	}
}

func TestLoadReport_AbsurdFigures(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	w := h.dispatcher.workers[0]
	for _, report := range []LoadReport{{}, {Known: true, FreeSlots: -1, QueueLength: -1}, {Known: true, FreeSlots: 0, QueueLength: 1e12}, {FreeSlots: 50}} {
		h.dispatcher.recordLoadReport(w, &Event{Kind: AttemptEnded, Report: report})
		if w.kind.size != 1 {
			t.Errorf("size %v after the report %+v, want it as it was", w.kind.size, report)
		}
	}
	h.dispatcher.recordLoadReport(w, &Event{Kind: AttemptEnded, Report: LoadReport{Known: true, FreeSlots: 1e9}})
	if w.kind.size > 1+maxSizeStep {
		t.Errorf("size %v after one absurd report", w.kind.size)
	}
	h.wait(loadReportTTL) // zero free slots, told long ago
	if _, actions := h.arrive(classIdempotent, 100*ms); countKind(actions, Send) != 1 {
		t.Errorf("got %v, want a send in spite of old reports", actions)
	}
}

func TestWeights_ZeroOrEqual(t *testing.T) {
	for name, weights := range map[string][3]float64{
		"nought": {}, "one": {1, 1, 1}, "one told": {0, 6, 0}, "below nought": {-3, -3, -3}, "far apart": {1e-300, 1, 1e300},
	} {
		list := fleet(3)
		for i := range list {
			list[i].Weight = weights[i]
		}
		h := newHarness(t, loadWeightSettings(), list...)
		sends := 0
		for range 20 {
			id, actions := h.arrive(classIdempotent, 50*ms)
			actions = append(actions, h.wait(100*ms)...)
			sends += countKind(actions, Send)
			if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
				h.startAndEnd(id, 0)
			}
		}
		if sends < 20 {
			t.Errorf("weights %s: %d of 20 jobs were sent", name, sends)
		}
	}
}

func TestAffinity_OneWorkerOrNone(t *testing.T) {
	h := newHarness(t, affinitySettings())
	if _, actions := h.arriveWithKey(7); len(actions) != 0 {
		t.Fatalf("got %v without a list", actions)
	}
	h.handle(Event{Kind: EndpointSnapshot, Version: 1})
	id, actions := h.arriveWithKey(7)
	wantKinds(t, actions)
	actions = append(h.handle(Event{Kind: EndpointSnapshot, Version: 2, Workers: taggedFleet(1)}), h.wait(2*candidateInterval)...)
	if countKind(actions, Send) == 0 || h.dispatcher.request(id) == nil {
		t.Fatalf("got %v once there is a worker", actions)
	}
}

func TestPeers_GroupOf900(t *testing.T) {
	s := affinitySettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 900, 899, true
	h := newHarness(t, s, taggedFleet(290)...)
	notes, sends := 0, 0
	for key := range uint64(50) {
		id, actions := h.arriveWithKey(key + 1)
		actions = append(actions, h.wait(2*loadQueryTimeout)...)
		for _, a := range actions {
			if a.Kind == SendToPeer && (a.Peer < 0 || a.Peer >= 899) {
				t.Fatalf("a note to %d", a.Peer)
			}
		}
		notes, sends = notes+countKind(actions, SendToPeer), sends+countKind(actions, Send)
		if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
			h.startAndEnd(id, 0)
		}
	}
	if sends < 50 || notes < 50 {
		t.Errorf("%d sends and %d notes for 50 jobs, though no home answers", sends, notes)
	}
}

func TestMigration_DelayIsBounded(t *testing.T) {
	h := newHarness(t, migrationSettings(), fleet(2)...)
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, attempts: make([]attempt, 80)}
	if wait := h.dispatcher.startAllowance(r, h.dispatcher.workers[0]); wait < Second {
		t.Errorf("a wait of %v at the eightieth attempt: shifted out of its bits", wait)
	}
}
