package maintenance

import (
	"maps"
	"slices"
)

// Member is a dispatcher of the group.
type Member struct {
	Name             string            `json:"name"`
	Incarnation      string            `json:"life"` // random, chosen whenever the member starts with an empty disk
	RaftID           uint64            `json:"id"`   // of this incarnation
	Voter            bool              `json:"voter"`
	PastIncarnations []PastIncarnation `json:"old,omitempty"` // their messages are ignored
}

// PastIncarnation is a member's incarnation whose disk was lost.
type PastIncarnation struct {
	Incarnation string `json:"life"`
	RaftID      uint64 `json:"id"`
}

// HadIncarnation reports whether an incarnation is a past one of the member.
func (m *Member) HadIncarnation(incarnation string) bool {
	return slices.ContainsFunc(m.PastIncarnations, func(past PastIncarnation) bool { return past.Incarnation == incarnation })
}

func (m *Member) clone() *Member {
	clone := *m
	clone.PastIncarnations = slices.Clone(m.PastIncarnations)
	return &clone
}

// MemberNames returns the sorted names of all members.
func (s *State) MemberNames() []string { return slices.Sorted(maps.Keys(s.Members)) }

// joinMember adds a member, or replaces an existing one by its next incarnation.
func (a *applier) joinMember(member *Member) Result {
	if member == nil || member.Name == "" {
		return rejected("a member has a name")
	}
	joined := *member
	if previous := a.Members[member.Name]; previous != nil {
		joined.PastIncarnations = slices.Clone(previous.PastIncarnations)
		if previous.RaftID != member.RaftID {
			past := PastIncarnation{Incarnation: previous.Incarnation, RaftID: previous.RaftID}
			joined.PastIncarnations = append(joined.PastIncarnations, past)
		}
	}
	a.Members[member.Name] = &joined
	a.emit("", "", "member %s is in, life %s", member.Name, member.Incarnation)
	return succeeded("in")
}

// retireMember removes a member that no longer runs, so that no plan waits for its reports.
func (a *applier) retireMember(name string) Result {
	if a.Members[name] == nil {
		return rejected("no member is called %q", name)
	}
	delete(a.Members, name)
	a.emit("", "", "member %s is retired", name)
	return succeeded("retired")
}

// trustHistory allows plans to be started after the group was bootstrapped again: an operator has verified that no machine is under
// maintenance for a plan that was lost.
func (a *applier) trustHistory() Result {
	if a.HistoryLost {
		a.HistoryLost = false
		a.emit("", "", "plans may begin: no machine is with staff by a plan that was forgotten")
	}
	return succeeded("plans may begin")
}
