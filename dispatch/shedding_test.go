package dispatch

import "testing"

func TestAdmit_RejectsBeyondBacklog(t *testing.T) {
	s := testSettings()
	s.Classes[classIdempotent].LateWeight = 0
	h := newHarness(t, s, fleet(1)...)
	for range 2 {
		id, _ := h.arriveAndSend(classIdempotent, 400*ms)
		h.start(id, 0)
	}
	early, rejected := 0, 0
	for range 20 {
		_, actions := h.arrive(classIdempotent, 400*ms)
		early += countKind(actions, Reject)
		rejected += countKind(append(actions, h.wait(30*ms)...), Reject)
	}
	if early < 5 { // once the oldest has waited for a while the backlog estimate counts
		t.Fatalf("%d of 20 requests beyond the backlog rejected at their arrival", early)
	}
	if actions := h.wait(2 * Second); countKind(actions, Reject)+rejected != 20 {
		t.Fatalf("%d rejected, want all once they cannot end in time", countKind(actions, Reject)+rejected)
	}
}

func TestQuota_OverQuotaWaitsInLowerBand(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{QuotaRPS: 5}, {QuotaRPS: 5}}, 0.1
	h := newHarness(t, s, fleet(1)...)
	a, _ := h.arriveAndSend(classIdempotent, 100*ms)
	b, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.start(a, 0)
	h.start(b, 0)
	h.wait(Second)
	var flood RequestID
	for range 36 {
		flood = h.nextRequest
		h.nextRequest++
		h.handle(Event{Kind: RequestArrived, Request: flood, Tenant: 0, ExpectedWork: 300 * ms, TimeLeft: 5 * Second, Slots: 1})
	}
	if r := h.dispatcher.request(flood); r != nil && r.band != bandOverQuota {
		t.Fatal("the last of 36 requests at once of a tenant with five a second is not over its quota")
	}
	other := h.nextRequest
	h.handle(Event{Kind: RequestArrived, Request: other, Tenant: 1, ExpectedWork: 300 * ms, TimeLeft: 5 * Second, Slots: 1})
	if r := h.dispatcher.request(other); r == nil || r.band != bandNormal {
		t.Fatal("another tenant's request suffers from the flood")
	}
}

func TestShedding_RisesWithLateStartsAndDecays(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(20)...)
	ids := make([]RequestID, 0, 6)
	for range 6 {
		id, _ := h.arriveAndSend(classIdempotent, 100*ms)
		ids = append(ids, id)
	}
	h.wait(Second)
	for _, id := range ids {
		h.start(id, 0) // far too late
	}
	rejected := 0
	for range 20 {
		_, actions := h.arrive(classIdempotent, 100*ms)
		rejected += countKind(actions, Reject)
	}
	if rejected < 5 {
		t.Fatalf("%d of 20 arrivals rejected while all start too late", rejected)
	}
	h.wait(4 * shedDecayTime) // starts give no information meanwhile
	if _, actions := h.arrive(classIdempotent, 100*ms); countKind(actions, Reject) != 0 {
		t.Fatal("still rejected long after")
	}
}

func TestShedding_OverQuotaFirst(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{QuotaRPS: 1}, {QuotaRPS: 100}}, 0.1
	h := newHarness(t, s, fleet(20)...)
	rejected := [2]int{}
	for i := range 300 {
		h.dispatcher.shedding, h.dispatcher.sheddingAt = 0.3, h.now
		actions := h.handle(Event{Kind: RequestArrived, Request: RequestID(i), Tenant: i % 2, ExpectedWork: 20 * ms, TimeLeft: 5 * Second, Slots: 1})
		rejected[i%2] += countKind(actions, Reject)
		h.wait(20 * ms)
		if r := h.dispatcher.request(RequestID(i)); r != nil && r.inFlight() > 0 {
			h.startAndEnd(RequestID(i), 0)
		}
	}
	if rejected[0] < 75 || rejected[1] > 30 {
		t.Fatalf("rejected %d of 150 beyond a quota, %d of 150 within one", rejected[0], rejected[1])
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
		t.Errorf("a late start sheds by %v where it loses all weight, by %v where it loses half", none, half)
	}
}

// With few arrivals per second several of one tenant arrive together by chance.
func TestQuota_QuietTenantIsWithinQuota(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight, s.GroupSize = []Tenant{{QuotaRPS: 40}, {QuotaRPS: 40}}, 0.1, 40
	h := newHarness(t, s, fleet(20)...)
	overQuota := 0
	for i := range 200 { // 0.8 per second of each, a fifth below the part of 1; in groups of four
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
		t.Errorf("%d of 200 requests within the quota were taken for beyond it", overQuota)
	}
}

// Shedding because of requests that leave their queues by themselves would leave slots idle; requests that stay in them increase
// it.
func TestShedding_MigratedRequestsDoNotCount(t *testing.T) {
	for class, sheds := range map[int]bool{classIdempotent: false, classNonIdempotent: true} {
		s := migrationSettings()
		s.MaxAttempts = 1
		h := newHarness(t, s, fleet(6)...)
		h.arriveAndSend(class, 100*ms)
		h.wait(900 * ms)
		if got := h.dispatcher.shedding > 0; got != sheds {
			t.Errorf("class %d: shedding %v after a late start, want %v", class, got, sheds)
		}
	}
}
