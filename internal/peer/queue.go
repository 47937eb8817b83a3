package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// Limits and delays of the queue to each member.
const (
	maxQueuedMessages = 256
	maxQueuedBytes    = 4 << 20
	sendTimeout       = time.Second           // from sending a queued message to its answer
	retryDelay        = 50 * time.Millisecond // pause of a queue after its member was unreachable
)

// sendQueue holds the messages to be sent to one member. Its goroutine sends them in order.
type sendQueue struct {
	member      Member
	messages    chan message
	queuedBytes atomic.Int64 // total size of the messages' bodies
}

// message is a queued message.
type message struct {
	path string
	body []byte
}

// Send queues a message for a member and returns at once. The answer is ignored. A message for a full queue is dropped and counted. A
// message for an unknown member is dropped.
func (t *Transport) Send(to, path string, body []byte) {
	queue := t.queueTo(to)
	if queue == nil {
		return
	}
	if !queue.push(message{path: path, body: body}) {
		t.Counters.Dropped.Add(1)
	}
}

// queueTo returns the queue to a member. The first call for a member creates the queue and starts its goroutine. It returns nil for an
// unknown member, and for a member without a queue after Close.
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

// push queues a message. It returns false if the message exceeds the queue's limits.
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

// release subtracts the size of a message that was taken from the queue from queuedBytes.
func (q *sendQueue) release(m message) { q.queuedBytes.Add(-int64(len(m.body))) }

// sendLoop sends the messages of one queue until the context is cancelled.
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

// deliver sends one message. If the member is unreachable, it drops the queued messages, because they are outdated by the time the member
// is reachable again (raft resends those that still matter), and waits for retryDelay.
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
	if isAnswer(err) { // the next messages may be accepted, for example by another incarnation
		return
	}
	t.options.OnUnreachable(queue.member.Name)
	t.dropQueued(queue)
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// dropQueued drops the messages that are queued when it is called.
func (t *Transport) dropQueued(queue *sendQueue) {
	for n := len(queue.messages); n > 0; n-- {
		queue.release(<-queue.messages)
		t.Counters.Dropped.Add(1)
	}
}
