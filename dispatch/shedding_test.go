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
	if early < 5 { // the backlog estimate applies once the oldest request has waited for some time
		t.Fatalf("%d of 20 requests beyond the backlog rejected at arrival, want at least 5", early)
	}
	if actions := h.wait(2 * Second); countKind(actions, Reject)+rejected != 20 {
		t.Fatalf("%d of 20 requests rejected, want all once they would be late", countKind(actions, Reject)+rejected)
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
	var last RequestID
	for range 36 {
		last = h.nextRequest
		h.nextRequest++
		h.handle(Event{Kind: RequestArrived, Request: last, Tenant: 0, ExpectedWork: 300 * ms, TimeLeft: 5 * Second, Slots: 1})
	}
	if r := h.dispatcher.request(last); r != nil && r.band != bandOverQuota {
		t.Fatal("the last of 36 simultaneous requests is not over the quota of its tenant, 5 per second")
	}
	other := h.nextRequest
	h.handle(Event{Kind: RequestArrived, Request: other, Tenant: 1, ExpectedWork: 300 * ms, TimeLeft: 5 * Second, Slots: 1})
	if r := h.dispatcher.request(other); r == nil || r.band != bandNormal {
		t.Fatal("the burst affects a request of another tenant")
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
		h.start(id, 0) // starts far too late
	}
	rejected := 0
	for range 20 {
		_, actions := h.arrive(classIdempotent, 100*ms)
		rejected += countKind(actions, Reject)
	}
	if rejected < 5 {
		t.Fatalf("%d of 20 arrivals rejected while all requests start too late, want at least 5", rejected)
	}
	h.wait(4 * shedDecayTime) // no starts are reported meanwhile
	if _, actions := h.arrive(classIdempotent, 100*ms); countKind(actions, Reject) != 0 {
		t.Fatal("request rejected although shedding should have decayed")
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
		t.Fatalf("rejected %d of 150 over quota and %d of 150 within quota, want at least 75 and at most 30", rejected[0], rejected[1])
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
		t.Errorf("shedding %v after a late start that loses all weight, %v after one that loses half, want the second below 0.6 of the first", none, half)
	}
}

// Guards against false over-quota decisions: with few arrivals per second, several requests of one tenant may arrive together by
// chance.
func TestQuota_QuietTenantIsWithinQuota(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight, s.GroupSize = []Tenant{{QuotaRPS: 40}, {QuotaRPS: 40}}, 0.1, 40
	h := newHarness(t, s, fleet(20)...)
	overQuota := 0
	for i := range 200 { // 0.8 per second of each tenant, in groups of four: a fifth below this dispatcher's share of the quota
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
		t.Errorf("%d of 200 requests within the quota were counted as over quota, want at most 10", overQuota)
	}
}

// Late requests that can migrate leave their queues by themselves: shedding because of them would leave slots idle. Late requests
// that stay in their queues increase the shedding.
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
