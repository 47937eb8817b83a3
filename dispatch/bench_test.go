package dispatch

import "testing"

// benchStep is the time between two requests of a benchmark.
const benchStep = 2 * Millisecond

// benchmarkRequests measures what a dispatcher takes for one request, from its arrival to its end: parallel of them are
// under way at a time.
func benchmarkRequests(b *testing.B, s Settings, workers []Worker, parallel int) {
	d, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	var acts []Action
	now, timer := 100*Second, never
	handle := func(e Event) {
		acts = d.Handle(now, &e, acts[:0])
		for i := range acts {
			if acts[i].Kind == SetTimer {
				timer = min(timer, now+acts[i].Wait)
			}
		}
	}
	handle(Event{Kind: ListSnapshot, Version: 1, Workers: workers})
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += benchStep
		if timer <= now {
			timer = never
			handle(Event{Kind: TimerFired})
		}
		id := RequestID(i % parallel)
		if j := d.job(id); j != nil {
			for attempt := range j.attempts {
				handle(Event{Kind: Ended, Request: id, Attempt: attempt, Result: OK, Final: true})
			}
			handle(Event{Kind: ClientGone, Request: id})
		}
		handle(Event{Kind: Arrived, Request: id, Class: i % 2, Tenant: -1, Work: 100 * Millisecond, Left: 5 * Second, Slots: 1, Key: uint64(i%64) + 1})
		if d.job(id) != nil {
			handle(Event{Kind: Started, Request: id})
		}
	}
}

func BenchmarkHandle_IdleFleet(b *testing.B) { benchmarkRequests(b, settings(), tagged(100), 32) }

func BenchmarkHandle_BusyFleet(b *testing.B) { benchmarkRequests(b, settings(), tagged(12), 64) }

func BenchmarkHandle_Keys(b *testing.B) { benchmarkRequests(b, fetching(), tagged(100), 32) }

func BenchmarkHandle_Notes(b *testing.B) {
	s := settings()
	s.GroupSize, s.CanTell = 40, true
	benchmarkRequests(b, s, tagged(100), 32)
}
