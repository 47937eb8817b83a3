package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// unlimitedRate is the rate, in requests a second, from which a limit is not noticeable.
	unlimitedRate = 1e9

	// slowestRate is the rate, in requests a second, below which no clock sees the next token: one in more than eleven days.
	slowestRate = 1e-6

	// maxWait is longer than any wait that matters, and far enough from the end of its type for sums.
	maxWait = time.Duration(math.MaxInt64 / 4)

	// minCacheSize is the least number of token buckets that are kept by key or tenant, whatever is configured.
	minCacheSize = 1024
)

// tokenBucket is a token bucket in the form of the generic cell rate algorithm. Its state is one moment, at which the
// bucket would be full again.
type tokenBucket struct{ fullAt time.Duration }

// take takes one token and returns 0, or returns how long it takes until there is one.
func (t *tokenBucket) take(now time.Duration, rate float64, burst int) time.Duration {
	if !(rate > 0) { // NaN too
		return maxWait
	}
	if rate >= unlimitedRate {
		return 0
	}
	interval := time.Duration(float64(time.Second) / rate)
	if rate < slowestRate {
		interval = maxWait / time.Duration(burst+1)
	}
	tolerance := interval * time.Duration(burst-1)
	overflow := burst > 1 && tolerance/time.Duration(burst-1) != interval
	if overflow {
		tolerance = maxWait
	}
	// Guards against the state of a bucket with a larger burst or a slower rate, from before a reload: this one is full at
	// the latest when an empty one of its kind is.
	fullAt := min(max(t.fullAt, now), now+tolerance+interval)
	if wait := fullAt - tolerance - now; wait > 0 {
		return wait
	}
	t.fullAt = fullAt + interval
	return 0
}

// bucketCache keeps token buckets by route and key up to a maximum, and forgets the longest idle ones. A bucket that is
// full again holds no information, so only a caller who comes back before that gains from being forgotten.
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

// get returns the bucket of a key, a full one for a key that is not known.
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

// replaceOldest reuses the longest idle entry, and its memory, for a new key.
func (c *bucketCache) replaceOldest(id bucketID) *list.Element {
	element := c.recent.Back()
	entry := element.Value.(*cacheEntry)
	delete(c.entries, entry.id)
	*entry = cacheEntry{id: id}
	c.recent.MoveToFront(element)
	c.entries[id] = element
	return element
}
