package admission

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any interval a bucket gives no more tokens than its burst plus those of the interval, and an idle one gives its full burst.
func TestTokenBucket_KeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.1, 1, 10, 1000}).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		var bucket tokenBucket
		var admittedAt []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "takes") {
			now += time.Duration(rapid.Float64Range(0, 2).Draw(t, "gap") / rate * float64(time.Second))
			if wait := bucket.take(now, rate, burst); wait == 0 {
				admittedAt = append(admittedAt, now)
			} else if (&tokenBucket{bucket.fullAt}).take(now+wait, rate, burst) != 0 {
				t.Fatalf("after the wait of %v there is still no token", wait)
			}
		}
		for i := range admittedAt {
			for j := i; j < len(admittedAt); j++ {
				interval := admittedAt[j] - admittedAt[i]
				allowed := float64(burst) + interval.Seconds()*rate + 1e-3
				if float64(j-i+1) > allowed {
					t.Fatalf("%d within %v, at most %.2f", j-i+1, interval, allowed)
				}
			}
		}
		now += time.Duration(float64(burst) / rate * float64(time.Second))
		for i := range burst {
			if bucket.take(now, rate, burst) != 0 {
				t.Fatalf("an idle bucket gave %d of %d", i, burst)
			}
		}
	})
}

// Rates of 0, near 0, NaN and beyond any clock, and bursts that would overflow.
func TestTokenBucket_ExtremeRates(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst int
		want  int // tokens out of 100 takes at one moment
	}{{0, 5, 0}, {0.1, 1, 1}, {1e6, 1, 1}, {1e12, 1, 100}, {1e-9, 3, 3}, {math.NaN(), 3, 0}, {5, 1 << 30, 100}} {
		var bucket tokenBucket
		got := 0
		for range 100 {
			if bucket.take(time.Hour, c.rate, c.burst) == 0 {
				got++
			}
		}
		if got != c.want {
			t.Errorf("rate %v, burst %d: %d, not %d", c.rate, c.burst, got, c.want)
		}
	}
}

// A hundred thousand keys take bounded memory, and a busy key is not evicted by keys that are used once.
func TestBucketCache_IsBounded(t *testing.T) {
	limiter := New(Config{Routes: []RouteConfig{{Name: "r", RateLimited: true, Rate: 0.001, Burst: 1, RateScope: PerKey, Priority: MaxPriority}}, MaxBuckets: 2000})
	limiter.Admit(0, Request{Key: 7})
	for i := range 100_000 {
		limiter.Admit(ms(i), Request{Key: uint64(1000 + i)})
		if i%500 == 0 && limiter.Admit(ms(i), Request{Key: 7}).Reason != RateExceeded {
			t.Fatalf("the busy key was forgotten after %d others", i)
		}
	}
	if n := len(limiter.buckets.entries); n > 2000 || limiter.buckets.recent.Len() != n {
		t.Errorf("%d keys are kept", n)
	}
}
