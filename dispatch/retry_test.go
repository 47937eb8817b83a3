package dispatch

import "testing"

func TestRetry_ByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   ActionKind
	}{
		{"idempotent failed", classIdempotent, ResultFailed, Send},
		{"idempotent disconnected", classIdempotent, ResultDisconnected, Send},
		{"deduplicated failed", classDedupEverywhere, ResultFailed, Send},
		{"non-idempotent failed", classNonIdempotent, ResultFailed, Fail},
		{"non-idempotent timed out", classNonIdempotent, ResultTimedOut, Fail},
		{"non-idempotent unknown", classNonIdempotent, ResultUnknown, Fail},
		{"non-idempotent unreachable", classNonIdempotent, ResultUnreachable, Send},
		{"non-idempotent not sent", classNonIdempotent, ResultNotSent, Send},
		{"deduplicated by zone, other zone only", classDedupZone, ResultFailed, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.PriceCrossZone = 0.01
			h := newHarness(t, s, Worker{ID: 0, Zone: 0}, Worker{ID: 1, Zone: 1})
			id, _ := h.arriveAndSend(c.class, 100*ms)
			actions := append(h.end(id, 0, c.result), h.wait(2*Second)...)
			if len(actions) == 0 || actions[0].Kind != c.want {
				t.Fatalf("got %v, want kind %v first", actions, c.want)
			}
		})
	}
}

func TestRetry_NoneAfterDedupWindow(t *testing.T) {
	s := testSettings()
	s.Classes[classDedupEverywhere].DedupWindow = 50 * ms
	h := newHarness(t, s, fleet(3)...)
	id, _ := h.arriveAndSend(classDedupEverywhere, 100*ms)
	h.wait(100 * ms)
	if actions := append(h.end(id, 0, ResultFailed), h.wait(5*Second)...); countKind(actions, Send) != 0 {
		t.Fatalf("got %v, want no further attempt after the dedup window", actions)
	}
}

// A retry has to be sent before the end of the dedup window, since setting up its connection takes time. The window begins when the
// dispatcher requests the first attempt that may have run.
func TestRetry_SetsSendBefore(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		first Result
		bound bool
	}{
		{"deduplicated, after an attempt that may have run", classDedupEverywhere, ResultFailed, true},
		{"deduplicated, after an attempt that never ran", classDedupEverywhere, ResultOverloaded, false},
		{"idempotent", classIdempotent, ResultFailed, false},
	} {
		s := testSettings()
		s.Classes[classDedupEverywhere].DedupWindow = 500 * ms
		h := newHarness(t, s, fleet(3)...)
		arrivedAt := h.now
		id, first := h.arrive(c.class, 100*ms)
		if countKind(first, Send) != 1 || first[0].SendBefore < never {
			t.Fatalf("%s: got %+v, want one send without a time limit", c.name, first)
		}
		h.wait(50 * ms)
		actions := append(h.end(id, 0, c.first), h.wait(100*ms)...)
		if countKind(actions, Send) != 1 || actions[0].Kind != Send {
			t.Fatalf("%s: got %v, want a second attempt", c.name, actions)
		}
		if sendBefore := actions[0].SendBefore; c.bound && sendBefore != arrivedAt+500*ms-s.Tick || !c.bound && sendBefore < never {
			t.Errorf("%s: SendBefore of the retry is %v after the first send, want a limit of 499 ms: %v", c.name, sendBefore-arrivedAt, c.bound)
		}
	}
}

func TestRetry_IsBudgeted(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(4)...)
	arrivals, sends := 300, 0
	for range arrivals {
		_, actions := h.arrive(classIdempotent, 50*ms)
		actions = append(actions, h.wait(20*ms)...)
		for i := 0; i < len(actions); i++ {
			if a := actions[i]; a.Kind == Send {
				sends++
				actions = append(actions, h.end(a.Request, len(h.dispatcher.request(a.Request).attempts)-1, ResultFailed)...)
			}
		}
	}
	if limit := float64(arrivals)*(1+retryBudgetRatio) + maxRetryBudget + 1; float64(sends) > limit {
		t.Fatalf("%d attempts for %d arrivals, want at most %v", sends, arrivals, limit)
	}
}
