package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// unlimitedRate is the rate, in requests per second, from which a limit has no effect.
	unlimitedRate = 1e9

	// minRate is the rate, in requests per second, below which the next token counts as never available. It
	// corresponds to one token in more than eleven days.
	minRate = 1e-6

	// maxWait is longer than any relevant wait. It is a quarter of the maximum duration, so that sums do not overflow.
	maxWait = time.Duration(math.MaxInt64 / 4)

	// minCacheSize is the lower bound on the configured number of token buckets by key or tenant.
	minCacheSize = 1024
)

// tokenBucket is a token bucket that is implemented with the generic cell rate algorithm. Its state is the time at which
// the bucket will be full.
type tokenBucket struct{ fullAt time.Duration }

// take takes one token. It returns 0, or the time until a token is available.
func (t *tokenBucket) take(now time.Duration, rate float64, burst int) time.Duration {
	if !(rate > 0) { // 0, negative or NaN
		return maxWait
	}
	if rate >= unlimitedRate {
		return 0
	}
	interval := time.Duration(float64(time.Second) / rate)
	if rate < minRate {
		interval = maxWait / time.Duration(burst+1)
	}
	tolerance := interval * time.Duration(burst-1)
	overflow := burst > 1 && tolerance/time.Duration(burst-1) != interval
	if overflow {
		tolerance = maxWait
	}
	// A reload may have reduced the burst or raised the rate. The bucket is full no later than an empty bucket with the
	// current configuration would be.
	fullAt := min(max(t.fullAt, now), now+tolerance+interval)
	if wait := fullAt - tolerance - now; wait > 0 {
		return wait
	}
	t.fullAt = fullAt + interval
	return 0
}

// bucketCache stores token buckets by route and key. If it is full, it evicts the least recently used bucket. An eviction
// has the effect of filling the bucket, so that only a client whose bucket was not full yet gains tokens.
type bucketCache struct {
	maxSize int
	entries map[bucketID]*list.Element
	recent  *list.List // elements of type *cacheEntry, the most recently used first
}

type bucketID struct {
	route string
	key   uint64
}

type cacheEntry struct {
	tokenBucket
	id bucketID
}

func newBucketCache(maxSize int) *bucketCache {
	return &bucketCache{maxSize: maxSize, entries: map[bucketID]*list.Element{}, recent: list.New()}
}

// get returns the bucket of a key. For an unknown key it returns a full bucket.
func (c *bucketCache) get(route string, key uint64) *tokenBucket {
	id := bucketID{route, key}
	element, found := c.entries[id]
	switch {
	case found:
		c.recent.MoveToFront(element)
	case len(c.entries) >= max(c.maxSize, minCacheSize):
		element = c.replaceOldest(id)
	default:
		element = c.recent.PushFront(&cacheEntry{id: id})
		c.entries[id] = element
	}
	return &element.Value.(*cacheEntry).tokenBucket
}

// replaceOldest evicts the least recently used entry and reuses its memory for a new key.
func (c *bucketCache) replaceOldest(id bucketID) *list.Element {
	element := c.recent.Back()
	entry := element.Value.(*cacheEntry)
	delete(c.entries, entry.id)
	*entry = cacheEntry{id: id}
	c.recent.MoveToFront(element)
	c.entries[id] = element
	return element
}
