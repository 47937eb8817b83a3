package admission

import (
	"container/list"
	"time"
)

// tokenBucket is a token bucket in the form of the generic cell rate algorithm: one moment, at which it would be full again.
type tokenBucket struct{ fullAt time.Duration }

// take takes one token, or says how long until there is one.
func (t *tokenBucket) take(now time.Duration, rate float64, burst int) time.Duration {
	if !(rate > 0) {
		return maxWait
	}
	if rate >= unlimitedRate {
		return 0
	}
	interval := time.Duration(float64(time.Second) / rate)
	if rate < 1e-6 { // a token in more than eleven days: no clock of ours sees the next one
		interval = maxWait / time.Duration(burst+1)
	}
	tolerance := interval * time.Duration(burst-1)
	if burst > 1 && tolerance/time.Duration(burst-1) != interval {
		tolerance = maxWait
	}
	// Guards against a bucket of a larger burst or a slower rate, from before a reload: it is full at the latest when an
	// empty one of this kind is.
	fullAt := min(max(t.fullAt, now), now+tolerance+interval)
	if wait := fullAt - tolerance - now; wait > 0 {
		return wait
	}
	t.fullAt = fullAt + interval
	return 0
}

// bucketCache remembers buckets by key, so many at the most; the longest idle ones are forgotten. One that is full again tells
// nothing, so that only a caller who comes back within a full bucket's time gains by being forgotten.
type bucketCache struct {
	maxSize int
	entries map[bucketID]*list.Element
	recent  *list.List // of *keyBucket, the last used first
}

type bucketID struct {
	route string
	key   uint64
}

type cacheEntry struct {
	tokenBucket
	id bucketID
}

// minCacheSize is how many are remembered where nothing is configured.
const minCacheSize = 1024

func newBucketCache(maxSize int) *bucketCache {
	return &bucketCache{maxSize: maxSize, entries: map[bucketID]*list.Element{}, recent: list.New()}
}

func (c *bucketCache) get(route string, key uint64) *tokenBucket {
	id := bucketID{route, key}
	if element := c.entries[id]; element != nil {
		c.recent.MoveToFront(element)
		return &element.Value.(*cacheEntry).tokenBucket
	}
	if len(c.entries) >= max(c.maxSize, minCacheSize) {
		element := c.recent.Back() // its place and its memory are used again
		entry := element.Value.(*cacheEntry)
		delete(c.entries, entry.id)
		*entry = cacheEntry{id: id}
		c.recent.MoveToFront(element)
		c.entries[id] = element
		return &entry.tokenBucket
	}
	element := c.recent.PushFront(&cacheEntry{id: id})
	c.entries[id] = element
	return &element.Value.(*cacheEntry).tokenBucket
}
