package admission

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any interval a bucket yields at most its burst plus the rate times the interval. An idle bucket yields its full burst.
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
				t.Fatalf("no token after the returned wait of %v", wait)
			}
		}
		for i := range admittedAt {
			for j := i; j < len(admittedAt); j++ {
				interval := admittedAt[j] - admittedAt[i]
				allowed := float64(burst) + interval.Seconds()*rate + 1e-3
				if float64(j-i+1) > allowed {
					t.Fatalf("%d tokens within %v, want at most %.2f", j-i+1, interval, allowed)
				}
			}
		}
		now += time.Duration(float64(burst) / rate * float64(time.Second))
		for i := range burst {
			if bucket.take(now, rate, burst) != 0 {
				t.Fatalf("an idle bucket yielded %d tokens, want %d", i, burst)
			}
		}
	})
}

// A bucket yields the right number of tokens for rates of 0, near 0, NaN and above the resolution of the clock, and for bursts
// that would overflow a duration.
func TestTokenBucket_ExtremeRates(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst int
		want  int // tokens that 100 takes at the same time yield
	}{{0, 5, 0}, {0.1, 1, 1}, {1e6, 1, 1}, {1e12, 1, 100}, {1e-9, 3, 3}, {math.NaN(), 3, 0}, {5, 1 << 30, 100}} {
		var bucket tokenBucket
		got := 0
		for range 100 {
			if bucket.take(time.Hour, c.rate, c.burst) == 0 {
				got++
			}
		}
		if got != c.want {
			t.Errorf("rate %v, burst %d: %d tokens, want %d", c.rate, c.burst, got, c.want)
		}
	}
}

// 100,000 keys use a bounded amount of memory, and keys that are used once do not evict a frequently used key.
func TestBucketCache_IsBounded(t *testing.T) {
	limiter := New(Config{Routes: []RouteConfig{{Name: "r", RateLimited: true, Rate: 0.001, Burst: 1, RateScope: PerKey, Priority: MaxPriority}}, MaxBuckets: 2000})
	limiter.Admit(0, Request{Key: 7})
	for i := range 100_000 {
		limiter.Admit(ms(i), Request{Key: uint64(1000 + i)})
		if i%500 == 0 && limiter.Admit(ms(i), Request{Key: 7}).Reason != RateExceeded {
			t.Fatalf("the bucket of the frequently used key was evicted after %d other keys", i)
		}
	}
	if n := len(limiter.buckets.entries); n > 2000 || limiter.buckets.recent.Len() != n {
		t.Errorf("%d buckets are stored, want at most 2000", n)
	}
}
