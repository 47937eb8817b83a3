package engine

// recentIDsPerGeneration is the minimum number of recent ids that are stored; the maximum is twice that number.
const recentIDsPerGeneration = 4096

// recentIDs stores the most recent ids in two generations. When the current generation is full, it replaces the previous one. The zero
// recentIDs is empty.
type recentIDs struct{ current, previous map[string]struct{} }

// contains reports whether an id is stored.
func (r *recentIDs) contains(id string) bool {
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	return inCurrent || inPrevious
}

// add stores an id.
func (r *recentIDs) add(id string) {
	if r.current == nil || len(r.current) >= recentIDsPerGeneration {
		r.previous = r.current
		r.current = make(map[string]struct{})
	}
	r.current[id] = struct{}{}
}
