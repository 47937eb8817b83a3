package maintenance

import (
	"cmp"
	"slices"
)

// Brief says the same as an Advance in fewer bytes, for a state as it is: each entry goes to each member, so that it must not grow
// with members and runners. By name stay those that the state's plans have to do with, and those that are in the way.
func (s *State) Brief(a *Advance) *Advance {
	b := *a
	b.Words, b.Fleet, b.Rest = map[string]Word{}, map[string]Runner{}, nil
	for _, u := range s.Plans {
		if b.Agreed = max(b.Agreed, u.At); u.Phase == Ended {
			continue
		}
		for _, p := range u.Places {
			b.Agreed = max(b.Agreed, p.At)
		}
	}
	for _, name := range s.Names() {
		w := s.busyWhereItMatters(a.word(s, name))
		if b.Agreed == 0 || w.Life != s.Members[name].Life || w.Applied < b.Agreed || !w.Alone || len(w.Busy)+len(w.BusyAt) > 0 {
			b.Words[name] = w
		}
	}
	in, at := map[string]bool{}, map[string]bool{}
	for _, u := range s.Plans {
		for _, p := range u.Places {
			at[p.Host] = at[p.Host] || p.Host != ""
			for _, r := range p.Runners {
				in[r] = true
			}
		}
	}
	rest := map[Group]int{}
	for name, r := range a.Fleet {
		if in[name] || at[r.Host] || r.away() || r.Gone {
			b.Fleet[name] = r
		} else {
			rest[Group{Zone: r.Zone, Kind: r.Kind, Weight: r.Weight}]++
		}
	}
	for _, g := range a.Rest {
		rest[Group{Zone: g.Zone, Kind: g.Kind, Weight: g.Weight}] += g.Count
	}
	for g, n := range rest {
		g.Count = n
		b.Rest = append(b.Rest, g)
	}
	slices.SortFunc(b.Rest, func(x, y Group) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Weight, y.Weight))
	})
	return &b
}

// busyWhereItMatters leaves of a word's busy runners those of machines that are to get clear.
func (s *State) busyWhereItMatters(w Word) Word {
	var names, hosts []string
	for _, u := range s.Plans {
		for _, p := range u.Places {
			if p.Step != Leaving {
				continue
			}
			for _, r := range p.Runners {
				if slices.Contains(w.Busy, r) {
					names = append(names, r)
				}
			}
			if p.Host != "" && slices.Contains(w.BusyAt, p.Host) {
				hosts = append(hosts, p.Host)
			}
		}
	}
	w.Busy, w.BusyAt = names, hosts
	return w
}

// word is what a member has told; one that is not named in a brief Advance has nothing in the way.
func (a *Advance) word(s *State, name string) Word {
	if w, ok := a.Words[name]; ok || a.Agreed == 0 {
		return w
	}
	return Word{Life: s.Members[name].Life, Applied: a.Agreed, Alone: true}
}
