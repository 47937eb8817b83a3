package engine

// recentIDsPerGeneration is how many ids are remembered at the least; twice as many at the most.
const recentIDsPerGeneration = 4096

// recentIDs remembers the newest ids: in two halves, of which the older is dropped when the newer is full.
type recentIDs struct{ current, previous map[string]struct{} }

func (r *recentIDs) contains(id string) bool {
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	return inCurrent || inPrevious
}

func (r *recentIDs) add(id string) {
	if r.current == nil || len(r.current) >= recentIDsPerGeneration {
		r.current, r.previous = make(map[string]struct{}), r.current
	}
	r.current[id] = struct{}{}
}
