package engine

// IDSet is a set of request ids that several processes share. The engine calls it with its lock held.
type IDSet interface {
	// Claim adds an id and reports whether it was absent.
	Claim(id string) bool
}

// ShareIDs makes Open claim the id of each request in a set, and adds the ids of this engine's open and recent requests. It replaces an
// earlier set, which is not used after ShareIDs has returned; nil: no set.
func (e *Engine) ShareIDs(set IDSet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharedIDs = set
	if set == nil {
		return
	}
	for _, generation := range []map[string]struct{}{e.recentIDs.previous, e.recentIDs.current} {
		for id := range generation {
			set.Claim(id)
		}
	}
}

// claimID reports whether no process has a request with this id that is open or was of late. The caller must hold the lock, and has to open
// the request.
func (e *Engine) claimID(id string) bool {
	return e.sharedIDs == nil || e.sharedIDs.Claim(id)
}

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
