package consensus

// Position is a position in a member's log. What a member has told others of its own position is a promise: its storage must never have
// less again.
type Position struct {
	Term      uint64 `json:"term"`      // the newest term that the member has heard of and may have voted in
	LastIndex uint64 `json:"last"`      // the last entry that the member has acknowledged
	LastTerm  uint64 `json:"last_term"` // the term of that entry
}

// OlderThan reports whether storage at p has less than storage at other: an older term or an older log.
func (p Position) OlderThan(other Position) bool {
	return p.Term < other.Term || p.logOlderThan(other)
}

// logOlderThan reports whether the log at p is less up to date than that at other, by raft's order.
func (p Position) logOlderThan(other Position) bool {
	if p.LastTerm != other.LastTerm {
		return p.LastTerm < other.LastTerm
	}
	return p.LastIndex < other.LastIndex
}

// UpperBound returns the least position that is not older than p or other: the newer term, and the more up-to-date log.
func (p Position) UpperBound(other Position) Position {
	if p.logOlderThan(other) {
		p.LastIndex, p.LastTerm = other.LastIndex, other.LastTerm
	}
	p.Term = max(p.Term, other.Term)
	return p
}

// Lacks reports whether storage at p has lost something that was promised. It ignores the terms of entries, as messages do not tell
// them.
func (p Position) Lacks(promised Position) bool {
	return p.Term < promised.Term || p.LastIndex < promised.LastIndex
}

// Merge returns the position that a member has promised by two messages: the newer term and the higher index, without the term of an
// entry.
func (p Position) Merge(other Position) Position {
	return Position{Term: max(p.Term, other.Term), LastIndex: max(p.LastIndex, other.LastIndex)}
}
