package rules

// Containers of the decisions: they hold and order, and decide nothing.

// entry is a job's place in a held list. It lives as long as the job is held under the same ticket.
type entry struct {
	j      *job
	ticket uint64
}

func (e *entry) live() bool { return e.ticket == e.j.ticket }

// queue is a first-come list whose dead entries go when they reach the head.
type queue struct {
	items []entry
	head  int
}

func (q *queue) push(j *job) { q.items = append(q.items, entry{j, j.ticket}) }

// trim drops dead entries at the head and the space before it.
func (q *queue) trim() {
	for q.head < len(q.items) && !q.items[q.head].live() {
		q.items[q.head] = entry{}
		q.head++
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	} else if q.head > 64 && 2*q.head > len(q.items) {
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
}

type timer struct {
	at     Time
	serial uint64
	j      *job
}

func (t *timer) before(o *timer) bool { return t.at < o.at || t.at == o.at && t.serial < o.serial }

// timerHeap is a binary heap, the earliest first.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	s := append(*h, t)
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !s[i].before(&s[up]) {
			break
		}
		s[i], s[up] = s[up], s[i]
		i = up
	}
	*h = s
}

func (h *timerHeap) pop() timer {
	s := *h
	top := s[0]
	n := len(s) - 1
	s[0], s[n] = s[n], timer{}
	s = s[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && s[c+1].before(&s[c]) {
			c++
		}
		if !s[c].before(&s[i]) {
			break
		}
		s[i], s[c] = s[c], s[i]
		i = c
	}
	*h = s
	return top
}
