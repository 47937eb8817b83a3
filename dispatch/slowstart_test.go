package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestSlowStart_LimitsSendsToWarmingWorkers checks the number of requests that each warming worker receives in any window. Requests
// for much of the fleet's capacity arrive at independent dispatchers, half of them at one.
func TestSlowStart_LimitsSendsToWarmingWorkers(t *testing.T) {
	for _, c := range []struct {
		dispatchers          int
		load                 float64   // arrivals as a fraction of the fleet's capacity once it is warmed up
		sizes                []float64 // slots of the workers
		listed               bool      // the endpoint list contains the sizes and the dispatchers know the size of each kind; otherwise neither
		warming, minRequests []int     // indices of the warming workers, and the minimum of requests for each in ten seconds
	}{
		{20, 1, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, true, []int{0}, []int{10}},
		{80, 0.8, []float64{1, 1, 1, 1, 1, 5, 5, 5, 5, 5}, true, []int{0, 9}, []int{3, 150}},
		{80, 0.7, []float64{1, 1, 2, 2, 3, 3, 4, 4, 5, 5}, true, []int{0, 1, 2, 6, 8, 9}, []int{3, 3, 15, 50, 100, 100}},
		{80, 1, []float64{2, 2, 2, 2, 4, 4, 4, 4, 4, 4}, false, []int{0, 9}, []int{20, 20}},
	} {
		sent := runWarmingFleet(t, c.dispatchers, c.load, c.sizes, c.listed, c.warming)
		for i, w := range c.warming {
			if len(sent[w]) < c.minRequests[i] {
				t.Errorf("%d dispatchers, sizes %v: worker %d received %d requests in ten seconds, want at least %d", c.dispatchers, c.sizes, w, len(sent[w]), c.minRequests[i])
			}
		}
	}
}

// runWarmingFleet simulates ten seconds and returns the times of all sends to warming workers. It fails the test if a window
// contains more requests than a worker can run.
func runWarmingFleet(t *testing.T, dispatchers int, load float64, sizes []float64, listed bool, warming []int) map[int][]Time {
	t.Helper()
	s := testSettings()
	s.GroupSize, s.PriceCrossZone, s.KindCount, s.WeightsShowSize = dispatchers, 0, 6, listed
	s.Classes[classIdempotent].ObjectiveStretch, s.Classes[classIdempotent].WorkerKind = 50, -1 // no request is rejected
	capacity := 0.0                                                                             // arrivals in 100 ms
	for _, n := range sizes {
		capacity += n * load
	}
	f := &warmingFleet{sizes: sizes, warming: warming, arrivals: capacity / 10, sent: map[int][]Time{}}
	for i := range s.GroupSize {
		f.harnesses = append(f.harnesses, f.newHarness(t, s, i, listed))
	}
	for step := range 1000 { // steps of 10 ms
		f.step(step)
		f.checkWindows(t, &s)
	}
	return f.sent
}

// warmingFleet simulates many dispatchers that send to the same workers, some of which are warming up. Each request runs for 100 ms.
type warmingFleet struct {
	harnesses []*harness
	sizes     []float64 // slots of the workers
	warming   []int     // indices of workers that are warming up
	arrivals  float64   // arrivals in 10 ms
	due       float64   // arrivals that are due, with a fraction
	sent      map[int][]Time
}

// newHarness returns the harness of dispatcher i, which knows the sizes only if they are listed.
func (f *warmingFleet) newHarness(t *testing.T, s Settings, i int, listed bool) *harness {
	t.Helper()
	h := newHarness(t, s)
	h.dispatcher.rng = rand.New(rand.NewPCG(uint64(i), 5))
	list := fleet(len(f.sizes))
	for w := range list {
		list[w].Weight, list[w].Kind = 1, int(f.sizes[w])
		if listed {
			list[w].Weight = f.sizes[w]
		}
		if slices.Contains(f.warming, w) {
			list[w].StartedAt = h.now
		}
	}
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	for n := range h.dispatcher.kinds {
		if listed {
			h.dispatcher.kinds[n].size = float64(n)
		}
	}
	return h
}

// step lets requests arrive, every second one at the first dispatcher, advances the clocks by 10 ms, and ends the attempts that were
// sent 100 ms earlier.
func (f *warmingFleet) step(step int) {
	var actions []Action
	for f.due += f.arrivals; f.due >= 1; f.due-- {
		h := f.harnesses[0]
		if step++; step%2 == 0 {
			h = f.harnesses[1+step/2%(len(f.harnesses)-1)]
		}
		_, more := h.arrive(classIdempotent, 100*ms)
		actions = append(actions, more...)
	}
	for _, h := range f.harnesses {
		actions = append(actions, h.wait(10*ms)...)
	}
	now := f.harnesses[0].now
	for _, a := range actions {
		if w := int(a.Worker); a.Kind == Send && slices.Contains(f.warming, w) {
			f.sent[w] = append(f.sent[w], now)
		}
	}
	for _, h := range f.harnesses {
		for id := range h.nextRequest {
			if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 && h.now >= r.attempts[0].sentAt+100*ms {
				h.end(id, 0, ResultOK)
			}
		}
	}
}

// checkWindows fails the test if the window that ends now contains more requests for a worker than it can run.
func (f *warmingFleet) checkWindows(t *testing.T, s *Settings) {
	t.Helper()
	first := f.harnesses[0]
	for w, times := range f.sent {
		n := 0
		for _, at := range times {
			if at > first.now-s.OverloadWindow {
				n++
			}
		}
		factor := first.dispatcher.slowStartFactor(first.worker(WorkerID(w)))
		limit := s.OverloadMultiple * factor * f.sizes[w] * float64(s.OverloadWindow/(100*ms))
		if float64(n) > limit+1 {
			t.Fatalf("%d dispatchers, sizes %v: %d requests within a window for warming worker %d, want at most %.1f", s.GroupSize, f.sizes, n, w, limit)
		}
	}
}

func TestSlowStart_ClientRetriesGetNoWarmingWorker(t *testing.T) {
	h := newHarness(t, testSettings())
	list := fleet(4)
	for i := range list {
		list[i].StartedAt = h.now - 15*Second // nearly warmed up, so that almost every sample counts
	}
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	sends := [2]int{}
	for i := range 100 {
		e := Event{Kind: RequestArrived, Request: RequestID(i), Tenant: -1, ExpectedWork: 20 * ms, TimeLeft: 5 * Second, Slots: 1, Retry: i%2 == 1}
		sends[i%2] += countKind(append(h.handle(e), h.wait(20*ms)...), Send)
		if r := h.dispatcher.request(RequestID(i)); r != nil && r.inFlight() > 0 {
			h.startAndEnd(RequestID(i), 0)
		}
	}
	if sends[0] < 10 || sends[1] != 0 {
		t.Fatalf("%d first tries and %d retries went to warming workers, want at least 10 and no retries", sends[0], sends[1])
	}
}

// While late starts at other workers cause all requests to be shed, warming workers still receive the requests whose samples count.
func TestSendToWarming_TakesShedRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	list := fleet(8)
	for i := range 4 {
		list[i].StartedAt = h.now - 15*Second
	}
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	toWarming, rejected := 0, 0
	for i := range 200 {
		h.dispatcher.shedding, h.dispatcher.sheddingAt = 1, h.now
		h.dispatcher.recordCompletion(h.worker(7)) // completes a request that was sent earlier
		retry := i%2 == 1
		actions := h.handle(Event{Kind: RequestArrived, Request: RequestID(i), Tenant: -1, ExpectedWork: 20 * ms, TimeLeft: 5 * Second, Slots: 1, Retry: retry})
		if len(actions) != 1 {
			t.Fatalf("got %v, want one action for an arrival", actions)
		}
		switch a := actions[0]; {
		case a.Kind == Reject:
			rejected++
		case a.Kind == Send && a.Worker < 4 && !retry:
			toWarming++
			h.startAndEnd(RequestID(i), 0)
		default:
			t.Fatalf("got %v (retry: %v), want a rejection, or a first try sent to a warming worker", a, retry)
		}
	}
	if toWarming < 30 || rejected < 100 {
		t.Errorf("%d requests went to warming workers and %d were rejected, want at least 30 and 100", toWarming, rejected)
	}
}

// A request that would be rejected because of the backlog may go to a warming worker, unless it would be late anyway.
func TestSendToWarming_TakesRequestsBeyondBacklog(t *testing.T) {
	sendsWithTimeLeft := func(left Time) (n int) {
		h := newHarness(t, testSettings())
		list := fleet(4)
		for i := range 2 {
			list[i].StartedAt = h.now - 15*Second
		}
		h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
		for i := range 200 {
			h.dispatcher.queuedSlots[bandNormal], h.dispatcher.slotsInUse, h.dispatcher.queues[bandNormal] = 1e6, 1, queue{} // a backlog too long to wait for
			h.dispatcher.recordCompletion(h.worker(3))                                                                       // completes a request that was sent earlier
			old := &request{queueTicket: 1, queuedAt: h.now - 9*Second}
			h.dispatcher.queues[bandNormal].push(old)
			for _, a := range h.handle(Event{Kind: RequestArrived, Request: RequestID(i), Tenant: -1, ExpectedWork: 20 * ms, TimeLeft: left, Slots: 1}) {
				if a.Kind == Send {
					n++
					h.startAndEnd(RequestID(i), 0)
				}
			}
		}
		return n
	}
	if n := sendsWithTimeLeft(5 * Second); n < 10 {
		t.Errorf("%d of 200 requests went to warming workers, want at least 10", n)
	}
	if n := sendsWithTimeLeft(100 * ms); n != 0 { // earlier tries have used the rest of the five seconds
		t.Errorf("%d requests were sent that would be late, want none", n)
	}
}

// Guards against overload of the few warming workers of a zone. In a recorded run most workers of one zone had left and six
// returned, warming up: all dispatchers of that zone sampled these six.
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
		t.Errorf("%d of 300 requests went to two warming workers, the only ones in a zone with half of all traffic, want at most a tenth", n)
	}
}

func TestSlowStart_UnresponsiveWorkersDoNotRaiseShare(t *testing.T) {
	h := newHarness(t, testSettings())
	list := taggedFleet(10)
	list[0].StartedAt = h.now
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	for _, w := range h.dispatcher.workers[2:] {
		w.unresponsive, w.nextProbeAt = true, never
	}
	if n := h.countSends(300, func(w WorkerID) bool { return w == 0 }); n > 45 {
		t.Errorf("%d of 300 requests went to the warming worker, one of ten with eight of them unresponsive, want at most 45", n)
	}
}

// Samples of warming workers are assumed to be won until they are measured, which limits the sends to slowStartShare of the
// budget. After many lost samples the probability is at most 1.5 times as high.
func TestSamplingProbability_RaisedByLostSamplesOnly(t *testing.T) {
	s := testSettings()
	s.WeightsShowSize = true
	h := newHarness(t, s)
	list := fleet(10)
	list[0].StartedAt = h.now
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	d, warming := h.dispatcher, h.worker(0)
	probability := func() float64 {
		d.completed, d.zones[0].completed, d.arrived = recentCount{}, recentCount{}, recentCount{}
		for range 20 {
			d.arrived.add(d.now, d.settings.OverloadWindow)
			d.recordCompletion(h.worker(5))
		}
		return d.samplingProbability(warming, len(d.ready))
	}
	want := slowStartShare * d.settings.OverloadMultiple * d.slowStartFactor(warming) / 9 * 10 / initialCandidates
	if got := probability(); got < 0.99*want || got > 1.01*want {
		t.Errorf("sampling probability %.4f before any sample is measured, want %.4f", got, want)
	}
	for range 100 {
		d.recordSampleOutcome(&request{candidates: []*worker{warming}})
	}
	if got := probability(); got < 1.49*want || got > 1.51*want {
		t.Errorf("sampling probability %.4f after many lost samples, want %.4f", got, 1.5*want)
	}
}

// Warming workers are used although the warmed-up workers, which are listed as ready, complete no requests.
func TestSlowStart_UsedWhereOthersCompleteNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	list := fleet(4)
	list[0].StartedAt, list[1].StartedAt = h.now-15*Second, h.now-15*Second
	h.handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
	toWarming := 0
	for i := range 400 {
		actions := h.handle(Event{Kind: RequestArrived, Request: RequestID(i), Tenant: -1, ExpectedWork: 20 * ms, TimeLeft: 5 * Second, Slots: 1})
		for _, w := range sendTargets(append(actions, h.wait(10*ms)...)) {
			if w < 2 {
				toWarming++
				h.startAndEnd(RequestID(i), 0)
			}
		}
	}
	if toWarming < 5 {
		t.Errorf("%d of 400 requests went to two warming workers while the others completed none, want at least 5", toWarming)
	}
}
