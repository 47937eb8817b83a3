package admission

import (
	"container/list"
	"time"
)

// bucket is a token bucket in the form of the generic cell rate algorithm: one moment, at which it would be full again.
type bucket struct{ full time.Duration }

// take takes one token, or says how long until there is one.
func (b *bucket) take(now time.Duration, rate float64, burst int) time.Duration {
	if !(rate > 0) {
		return forever
	}
	if rate >= maxRate {
		return 0
	}
	each := time.Duration(float64(time.Second) / rate)
	if rate < 1e-6 { // a token in more than eleven days: no clock of ours sees the next one
		each = forever / time.Duration(burst+1)
	}
	spare := each * time.Duration(burst-1)
	if burst > 1 && spare/time.Duration(burst-1) != each {
		spare = forever
	}
	// Guards against a bucket of a larger burst or a slower rate, from before a reload: it is full at the latest when an
	// empty one of this kind is.
	full := min(max(b.full, now), now+spare+each)
	if wait := full - spare - now; wait > 0 {
		return wait
	}
	b.full = full + each
	return 0
}

// keyed remembers buckets by key, so many at the most; the longest idle ones are forgotten. One that is full again tells
// nothing, so that only a caller who comes back within a full bucket's time gains by being forgotten.
type keyed struct {
	most int
	all  map[keyName]*list.Element
	used *list.List // of *keyBucket, the last used first
}

type keyName struct {
	route string
	key   uint64
}

type keyBucket struct {
	bucket
	name keyName
}

// keysLeast is how many are remembered where nothing is configured.
const keysLeast = 1024

func newKeyed(most int) *keyed {
	return &keyed{most: most, all: map[keyName]*list.Element{}, used: list.New()}
}

func (k *keyed) get(route string, key uint64) *bucket {
	name := keyName{route, key}
	if e := k.all[name]; e != nil {
		k.used.MoveToFront(e)
		return &e.Value.(*keyBucket).bucket
	}
	if len(k.all) >= max(k.most, keysLeast) {
		e := k.used.Back() // its place and its memory are used again
		b := e.Value.(*keyBucket)
		delete(k.all, b.name)
		*b = keyBucket{name: name}
		k.used.MoveToFront(e)
		k.all[name] = e
		return &b.bucket
	}
	e := k.used.PushFront(&keyBucket{name: name})
	k.all[name] = e
	return &e.Value.(*keyBucket).bucket
}
