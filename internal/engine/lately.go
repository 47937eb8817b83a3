package engine

// latelyMost is how many ids are remembered at the least; twice as many at the most.
const latelyMost = 4096

// lately remembers the newest ids: in two halves, of which the older is dropped when the newer is full.
type lately struct{ newer, older map[string]struct{} }

func (l *lately) has(id string) bool {
	_, newer := l.newer[id]
	_, older := l.older[id]
	return newer || older
}

func (l *lately) add(id string) {
	if l.newer == nil || len(l.newer) >= latelyMost {
		l.newer, l.older = make(map[string]struct{}), l.newer
	}
	l.newer[id] = struct{}{}
}
