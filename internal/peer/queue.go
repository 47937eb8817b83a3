package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// Limits of the queue to each member.
const (
	maxQueuedMessages = 256
	maxQueuedBytes    = 4 << 20
	sendTimeout       = time.Second           // for a member to answer a queued message
	retryDelay        = 50 * time.Millisecond // of a queue after a member could not be reached
)

// sendQueue has the messages that wait to be sent to one member. Its goroutine sends them in order.
type sendQueue struct {
	member      Member
	messages    chan message
	queuedBytes atomic.Int64 // of the messages' bodies
}

// message is a queued message.
type message struct {
	path string
	body []byte
}

// Send queues a message for a member and returns at once. The answer is ignored. A message that does not fit the queue is dropped and
// counted; one for a name that is not a member's is dropped.
func (t *Transport) Send(to, path string, body []byte) {
	queue := t.queueTo(to)
	if queue == nil {
		return
	}
	if !queue.push(message{path: path, body: body}) {
		t.Counters.Dropped.Add(1)
	}
}

// queueTo returns the queue to a member. The first call for a member creates the queue and starts its goroutine. It returns nil for a name
// that is not a member's, and after Close if there was no queue before.
func (t *Transport) queueTo(name string) *sendQueue {
	member, ok := t.member(name)
	if !ok {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[name]
	if queue == nil && t.ctx.Err() == nil {
		queue = &sendQueue{member: member, messages: make(chan message, maxQueuedMessages)}
		t.queues[name] = queue
		t.senders.Go(func() { t.sendLoop(t.ctx, queue) })
	}
	return queue
}

// push queues a message and reports whether it fits.
func (q *sendQueue) push(m message) bool {
	size := int64(len(m.body))
	if q.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case q.messages <- m:
			return true
		default:
		}
	}
	q.queuedBytes.Add(-size)
	return false
}

// release subtracts a message that was received from the queue from queuedBytes.
func (q *sendQueue) release(m message) { q.queuedBytes.Add(-int64(len(m.body))) }

// sendLoop sends the messages of one queue until the context ends.
func (t *Transport) sendLoop(ctx context.Context, queue *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue.messages:
			queue.release(m)
			t.deliver(ctx, queue, m)
		}
	}
}

// deliver sends one message. If the member cannot be reached it drops the queued messages, as they are outdated by the time that the
// member is back (raft resends what still matters), and waits for retryDelay.
func (t *Transport) deliver(ctx context.Context, queue *sendQueue, m message) {
	requestCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := t.Request(requestCtx, queue.member.Name, m.path, m.body)
	if err == nil {
		t.Counters.Sent.Add(1)
		t.Counters.BytesOut.Add(int64(len(m.body)))
		return
	}
	t.Counters.Lost.Add(1)
	if isAnswer(err) { // declined; the next messages may be accepted, as they may be for another incarnation
		return
	}
	t.options.OnUnreachable(queue.member.Name)
	t.dropQueued(queue)
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// dropQueued drops the messages that are queued at the call.
func (t *Transport) dropQueued(queue *sendQueue) {
	for n := len(queue.messages); n > 0; n-- {
		queue.release(<-queue.messages)
		t.Counters.Dropped.Add(1)
	}
}
