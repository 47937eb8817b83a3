package engine

// recentIDsPerGeneration is the minimum number of ids that are remembered; the maximum is twice that.
const recentIDsPerGeneration = 4096

// recentIDs remembers the newest ids in two generations: the previous one is dropped when the current one is full. The zero recentIDs is
// empty.
type recentIDs struct{ current, previous map[string]struct{} }

// contains reports whether an id is remembered.
func (r *recentIDs) contains(id string) bool {
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	return inCurrent || inPrevious
}

// add remembers an id.
func (r *recentIDs) add(id string) {
	if r.current == nil || len(r.current) >= recentIDsPerGeneration {
		r.previous = r.current
		r.current = make(map[string]struct{})
	}
	r.current[id] = struct{}{}
}
