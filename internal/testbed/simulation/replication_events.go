package simulation

import (
	"cmp"
	"container/heap"
	"time"
)

// event is a scheduled function call. Events with the same time run in the order in which they were scheduled.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].number-q[j].number) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(v any) { *q = append(*q, v.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// after schedules run after a delay.
func (w *replicationWorld) after(delay time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.queue, event{at: w.now + delay, number: w.eventCount, run: run})
}

// runNextEvent advances the time to the next event and runs it.
func (w *replicationWorld) runNextEvent() {
	next := heap.Pop(&w.queue).(event)
	w.now = next.at
	next.run()
}
