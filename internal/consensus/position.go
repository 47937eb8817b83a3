package consensus

// Position is how far a member has said that it has come: what its disk has to have for ever.
type Position struct {
	Term      uint64 `json:"term"`      // it has heard of this one, and may have voted in it
	LastIndex uint64 `json:"last"`      // it has acknowledged the entries up to this one
	LastTerm  uint64 `json:"last_term"` // of that entry
}

// OlderThan tells whether a disk with this mark has less than another one had.
func (p Position) OlderThan(other Position) bool { return p.Term < other.Term || p.logOlderThan(other) }

// logOlderThan compares logs as raft does.
func (p Position) logOlderThan(other Position) bool {
	return p.LastTerm < other.LastTerm || p.LastTerm == other.LastTerm && p.LastIndex < other.LastIndex
}

// UpperBound is the bound that covers both: the newer term, and the longer log.
func (p Position) UpperBound(other Position) Position {
	if p.logOlderThan(other) {
		p.LastIndex, p.LastTerm = other.LastIndex, other.LastTerm
	}
	p.Term = max(p.Term, other.Term)
	return p
}

// Misses tells whether a disk that has come so far has forgotten what was said.
func (p Position) Misses(promised Position) bool {
	return p.Term < promised.Term || p.LastIndex < promised.LastIndex
}

// Merge is the mark that covers both.
func (p Position) Merge(other Position) Position {
	return Position{Term: max(p.Term, other.Term), LastIndex: max(p.LastIndex, other.LastIndex)}
}
