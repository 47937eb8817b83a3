package consensus

// Position is a member's raft term and the end of its log. A position that a member has reported to others is a promise: its storage must
// never fall behind it.
type Position struct {
	Term      uint64 `json:"term"`      // newest known term, in which the member may have voted
	LastIndex uint64 `json:"last"`      // index of the last acknowledged entry
	LastTerm  uint64 `json:"last_term"` // term of that entry
}

// OlderThan reports whether p has an older term or an older log than other.
func (p Position) OlderThan(other Position) bool {
	return p.Term < other.Term || p.logOlderThan(other)
}

// logOlderThan reports whether the log at p is less up to date than the log at other, as defined by raft.
func (p Position) logOlderThan(other Position) bool {
	if p.LastTerm != other.LastTerm {
		return p.LastTerm < other.LastTerm
	}
	return p.LastIndex < other.LastIndex
}

// UpperBound returns the newer term and the more up-to-date log of p and other.
func (p Position) UpperBound(other Position) Position {
	if p.logOlderThan(other) {
		p.LastIndex, p.LastTerm = other.LastIndex, other.LastTerm
	}
	p.Term = max(p.Term, other.Term)
	return p
}

// Lacks reports whether storage at p is behind a promised position. It ignores the terms of entries, because messages do not contain
// them.
func (p Position) Lacks(promised Position) bool {
	return p.Term < promised.Term || p.LastIndex < promised.LastIndex
}

// Merge returns the position that a member has promised with two messages: the newer term and the higher index. LastTerm is not set.
func (p Position) Merge(other Position) Position {
	return Position{Term: max(p.Term, other.Term), LastIndex: max(p.LastIndex, other.LastIndex)}
}
