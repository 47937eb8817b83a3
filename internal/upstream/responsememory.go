package upstream

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Parts of the memory of responses.
const (
	decodePart  = 3 // 1/decodePart is for the message that is being decoded, the rest for arriving messages and results
	messagePart = 2 // one message takes at most 1/messagePart of that rest

	// minReceiveTime is how long a message may be read before it can be evicted. A worker that works sends a complete message in less.
	minReceiveTime = 100 * time.Millisecond
)

// errNoResponseMemory ends an attempt whose response has to make room for those of other attempts.
var errNoResponseMemory = errors.New("no memory left for the response")

// ResponseMemory limits the memory of the responses of all workers together: of messages that exceed the buffers of their connection while
// they arrive and are decoded, and of results until clients have received them. If it is used up, responses wait without being read, and
// the message that has been read for the longest time is evicted: one that does not end takes its attempt with it, and those of workers that
// work get its memory. The zero value has a limit of 0, and nil has no limit. It is safe for concurrent use.
type ResponseMemory struct {
	Evictions atomic.Int64 // responses that ended for lack of memory

	decodeTurn sync.Mutex // held while a message is decoded, so that one is at a time

	mu          sync.Mutex
	limit       int64         // bytes of arriving messages and results
	decodeLimit int64         // bytes for decoding
	used        int64         // bytes of limit
	evicting    int64         // bytes of used that evicted messages have not released yet
	complete    int           // number of messages that are complete and not decoded yet
	receiving   list.List     // of *responseReservation: those whose message is arriving, the oldest first
	changed     chan struct{} // closed when memory is released; nil: nobody waits
}

// responseReservation is the memory of one response. The goroutine of the attempt calls its methods; after Request.keep, the owner of the
// request calls release.
type responseReservation struct {
	memory    *ResponseMemory // nil: no limit
	interrupt func()          // ends the current read of the response

	// Guarded by the mutex of memory.
	bytes        int64
	since        time.Time     // start of the message, plus the time for which it has waited for memory
	waitingSince time.Time     // zero: it is not waiting
	position     *list.Element // in receiving; nil: no message that needs memory is arriving
	complete     bool          // the message is complete and not decoded yet
	evicted      bool
}

// SetLimit sets the limit in bytes, and evicts messages that exceed it.
func (m *ResponseMemory) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decodeLimit = limit / decodePart
	m.limit = limit - m.decodeLimit
	for m.used-m.evicting > m.limit && m.receiving.Len() > 0 {
		m.evict(m.victim())
	}
	m.wake()
}

// Used returns the number of reserved bytes, without those for decoding.
func (m *ResponseMemory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve returns a reservation of 0 bytes for a response. interrupt has to end the current read of the response, and may be called with
// the mutex held.
func (m *ResponseMemory) reserve(interrupt func()) *responseReservation {
	return &responseReservation{memory: m, interrupt: interrupt}
}

// grow adds n bytes for a message that is arriving. It waits for other messages to be decoded or evicted, and returns errNoResponseMemory if
// this message is evicted itself or can never fit, or the error of ctx.
func (r *responseReservation) grow(ctx context.Context, n int64) error {
	m := r.memory
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		switch {
		case r.evicted:
			return errNoResponseMemory
		case r.bytes+n > m.limit/messagePart:
			m.Evictions.Add(1)
			return errNoResponseMemory
		case m.used+n <= m.limit:
			m.add(r, n)
			return nil
		}
		if err := m.waitForRoom(ctx, r, n); err != nil {
			return err
		}
	}
}

// add adds n bytes to a reservation. The caller must hold the mutex.
func (m *ResponseMemory) add(r *responseReservation, n int64) {
	m.used += n
	r.bytes += n
	if r.position == nil {
		r.since = time.Now()
		r.position = m.receiving.PushBack(r)
	}
}

// waitForRoom evicts messages if that makes room for n bytes of r, and waits for a change. The caller must hold the mutex.
func (m *ResponseMemory) waitForRoom(ctx context.Context, r *responseReservation, n int64) error {
	r.waitingSince = time.Now()
	timeout := m.makeRoom(n)
	if r.evicted {
		return errNoResponseMemory
	}
	err := m.wait(ctx, timeout)
	r.since = r.since.Add(time.Since(r.waitingSince))
	r.waitingSince = time.Time{}
	return err
}

// makeRoom evicts messages until n bytes will be free, and returns how long to wait at most before the next call. It evicts none while a
// message is complete, which releases its memory soon. The caller must hold the mutex.
func (m *ResponseMemory) makeRoom(n int64) (timeout time.Duration) {
	for m.complete == 0 && m.used-m.evicting+n > m.limit {
		victim := m.victim()
		if victim == nil {
			break // results that clients are receiving, or evicted messages: both release their memory
		}
		readTime := time.Since(victim.since)
		isRead := victim.waitingSince.IsZero()
		if isRead && readTime < minReceiveTime {
			return minReceiveTime - readTime
		}
		m.evict(victim)
	}
	return minReceiveTime
}

// victim returns the reservation to evict next: the one whose message has been read for the longest time, without those that wait for memory.
// If all wait, it is the one that holds the most. It returns nil if no message is arriving. The caller must hold the mutex.
func (m *ResponseMemory) victim() *responseReservation {
	var longestRead, largest *responseReservation
	for element := m.receiving.Front(); element != nil; element = element.Next() {
		r := element.Value.(*responseReservation)
		isRead := r.waitingSince.IsZero()
		if isRead && (longestRead == nil || r.since.Before(longestRead.since)) {
			longestRead = r
		}
		if largest == nil || r.bytes > largest.bytes {
			largest = r
		}
	}
	if longestRead != nil {
		return longestRead
	}
	return largest
}

// evict ends the attempt of a reservation whose message is arriving. The caller must hold the mutex.
func (m *ResponseMemory) evict(r *responseReservation) {
	r.leaveReceiving()
	r.evicted = true
	m.evicting += r.bytes
	m.Evictions.Add(1)
	r.interrupt()
	m.wake() // it may be waiting itself
}

// wait waits until memory is released, a time has passed or ctx ends, and returns the error of ctx. The caller must hold the mutex, which
// is released meanwhile.
func (m *ResponseMemory) wait(ctx context.Context, timeout time.Duration) error {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wake wakes all that wait. The caller must hold the mutex.
func (m *ResponseMemory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// decode calls decode for a complete message when no other one is being decoded. decode takes at most n bytes, and returns how many bytes of
// its result have to stay reserved. All others are released. decode is not called if n bytes can never be taken, or the message has been
// evicted: the error is then errNoResponseMemory.
func (r *responseReservation) decode(n int64, decode func() (kept int64)) error {
	if r.memory == nil {
		decode()
		return nil
	}
	if !r.memory.markComplete(r, n) {
		return errNoResponseMemory
	}
	r.memory.decodeTurn.Lock()
	defer r.memory.decodeTurn.Unlock()
	kept := int64(0)
	defer func() { r.shrink(kept) }()
	kept = decode()
	return nil
}

// markComplete records that the message of r is complete, so that it is not evicted any more. It reports false if the message has been evicted
// or n bytes exceed what decoding may take.
func (m *ResponseMemory) markComplete(r *responseReservation, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case r.evicted:
		return false
	case n > m.decodeLimit:
		m.Evictions.Add(1)
		return false
	}
	r.leaveReceiving()
	r.complete = true
	m.complete++
	return true
}

// leaveReceiving removes the reservation from those whose message is arriving. The caller must hold the mutex.
func (r *responseReservation) leaveReceiving() {
	if r.position != nil {
		r.memory.receiving.Remove(r.position)
		r.position = nil
	}
}

// replace releases the n bytes of a buffer that another one has replaced. The message is still arriving.
func (r *responseReservation) replace(n int64) {
	if r.memory == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.subtract(n)
}

// shrink releases all but n bytes, which belong to no arriving message any more.
func (r *responseReservation) shrink(n int64) {
	m := r.memory
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.leaveReceiving()
	if r.complete {
		r.complete = false
		m.complete--
	}
	r.subtract(max(r.bytes-n, 0))
}

// subtract releases n bytes. The caller must hold the mutex.
func (r *responseReservation) subtract(n int64) {
	r.bytes -= n
	r.memory.used -= n
	if r.evicted {
		r.memory.evicting -= n
	}
	r.memory.wake()
}

// release releases all memory. Further calls have no effect.
func (r *responseReservation) release() { r.shrink(0) }

// holdsMemory reports whether any bytes are reserved.
func (r *responseReservation) holdsMemory() bool {
	if r.memory == nil {
		return false
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.bytes > 0
}
