package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// unlimitedRate is the rate, in requests per second, from which a limit has no noticeable effect.
	unlimitedRate = 1e9

	// minRate is the rate, in requests per second, below which the next token counts as never available: one token
	// in more than eleven days.
	minRate = 1e-6

	// maxWait is longer than any relevant wait, and far enough from the limit of its type for sums.
	maxWait = time.Duration(math.MaxInt64 / 4)

	// minCacheSize is the minimum number of token buckets that are kept by key or tenant, whatever is configured.
	minCacheSize = 1024
)

// tokenBucket is a token bucket in the form of the generic cell rate algorithm. Its state is the time at which the
// bucket will be full.
type tokenBucket struct{ fullAt time.Duration }

// take takes one token and returns 0, or returns the time until a token is available.
func (t *tokenBucket) take(now time.Duration, rate float64, burst int) time.Duration {
	if !(rate > 0) { // NaN too
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
	// Guards against the state of a bucket with a larger burst or a lower rate, from before a reload: this bucket is
	// full no later than an empty one with the current configuration would be.
	fullAt := min(max(t.fullAt, now), now+tolerance+interval)
	if wait := fullAt - tolerance - now; wait > 0 {
		return wait
	}
	t.fullAt = fullAt + interval
	return 0
}

// bucketCache stores token buckets by route and key up to a maximum, and evicts the least recently used ones. A full
// bucket contains no information, so only a caller who returns before its bucket is full gains from an eviction.
type bucketCache struct {
	maxSize int
	entries map[bucketID]*list.Element
	recent  *list.List // of *cacheEntry, the most recently used first
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

// get returns the bucket of a key, a full one for an unknown key.
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

// replaceOldest reuses the least recently used entry, and its memory, for a new key.
func (c *bucketCache) replaceOldest(id bucketID) *list.Element {
	element := c.recent.Back()
	entry := element.Value.(*cacheEntry)
	delete(c.entries, entry.id)
	*entry = cacheEntry{id: id}
	c.recent.MoveToFront(element)
	c.entries[id] = element
	return element
}
