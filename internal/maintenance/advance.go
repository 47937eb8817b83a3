package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"birchfork/internal/failpoint"
)

// advance goes on by what the leader has heard: machines that are clear, back, warm or overdue, plans that may begin, and
// the next machine. It takes one machine an entry, so that each choice rests on the one before.
func (r *run) advance(a *Advance) {
	// Guards against an entry of a leader that is none any more, or that was overtaken: its time would count twice.
	if a == nil || a.Seq != r.Seq {
		return
	}
	if a.Waited > 0 { // and so that no later entry counts this time again
		r.Clock += a.Waited
		r.Seq++
	}
	if a.Bound > r.Bound {
		r.Bound = a.Bound
		r.tell("", "", "a member is waited for %v at the longest", r.Bound)
	}
	r.Warm = max(r.Warm, a.Warm)
	for _, u := range r.Plans {
		if !u.Phase.open() {
			continue
		}
		if u.Phase == Announced && len(r.unheard(u.At, a)) == 0 {
			u.Phase = Running
			r.tell(u.Name, "", "%s", Running)
		}
		for _, p := range u.Places {
			r.populate(u, p, a)
			r.place(u, p, a)
		}
		r.close(u)
	}
	for _, u := range r.Plans {
		if u.Phase != Running {
			continue
		}
		if p, _ := r.Next(u, a); p != nil {
			u.Zone = a.zone(p)
			r.step(u, p, Leaving)
			return
		}
	}
}

// populate has the runners of a machine that is a host: those that are there. While it is away further ones are added, as
// what was there may still run something; once it is put back those count that have come, whatever they are called now.
func (r *run) populate(u *Under, p *Place, a *Advance) {
	if p.Host == "" || p.Step.over() {
		return
	}
	var now []string
	for _, name := range slices.Sorted(maps.Keys(a.Fleet)) {
		if w := a.Fleet[name]; w.Host == p.Host && !w.Gone {
			now = append(now, name)
		}
	}
	if p.Step.away() {
		now = append(now, p.Runners...)
		slices.Sort(now)
		now = slices.Compact(now)
	} else if len(now) == 0 && p.Step != Waiting {
		return
	}
	if slices.Equal(now, p.Runners) {
		return
	}
	p.Runners = now
	r.tell(u.Name, p.Name, "its runners are %s", strings.Join(now, ", "))
}

// Would tells whether an entry would settle anything.
func (s *State) Would(a *Advance) bool {
	if a.Bound <= s.Bound && !slices.ContainsFunc(s.Plans, func(u *Under) bool { return u.Phase.open() }) {
		return false // the usual case, asked often
	}
	r := &run{State: s.Clone()}
	r.advance(a)
	return len(r.events) > 0
}

// unheard are the members that do not have an entry in force, as far as is known, sorted.
func (s *State) unheard(at uint64, a *Advance) (out []string) {
	for _, name := range s.Names() {
		if w := a.word(s, name); w.Life != s.Members[name].Life || w.Applied < at || !w.Alone {
			out = append(out, name)
		}
	}
	return out
}

// held are the members because of whom a machine that leaves is not clear yet, sorted.
func (s *State) held(p *Place, a *Advance) []string {
	out := s.unheard(p.At, a)
	if failpoint.On(failpoint.FewWords) {
		return nil
	}
	for _, name := range s.Names() {
		w := a.word(s, name)
		busy := slices.ContainsFunc(p.Runners, func(r string) bool { return slices.Contains(w.Busy, r) })
		busy = busy || p.Host != "" && slices.Contains(w.BusyAt, p.Host)
		if busy && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// place moves one machine on, where what was heard allows it.
func (r *run) place(u *Under, p *Place, a *Advance) {
	took := r.Clock - p.Since
	switch p.Step {
	case Leaving:
		// Nobody's lease from before the entry runs any more after Bound, nor any attempt that was begun under it.
		if took >= r.Bound && r.Bound > 0 && !failpoint.On(failpoint.NeverClear) || len(r.held(p, a)) == 0 {
			r.step(u, p, Clear)
		} else if r.overdue(u, p, took, u.Leave) && u.Overdue == Skip {
			r.putBack(u, p)
		}
	case Out:
		r.overdue(u, p, took, u.Work)
	case Returning:
		if a.whole(p) && took >= r.Warm {
			r.step(u, p, Warm)
		} else if r.overdue(u, p, took, u.Back) && u.Overdue != Wait {
			r.step(u, p, Failed)
		}
	case Failed:
		if a.whole(p) {
			r.step(u, p, Warm)
		}
	case Warm:
		if p.Left {
			r.step(u, p, Skipped)
		} else {
			r.step(u, p, Done)
		}
	}
}

// overdue notes a step that takes longer than it may, and pauses the plan where staff wished so.
func (r *run) overdue(u *Under, p *Place, took, most time.Duration) bool {
	if most <= 0 || took < most {
		return false
	}
	if !p.Overdue {
		p.Overdue = true
		r.tell(u.Name, p.Name, "overdue: %s for longer than %v", p.Step, most)
		if u.Overdue == Pause && (u.Phase == Running || u.Phase == Announced) {
			u.Phase = Paused
			r.tell(u.Name, "", "%s", Paused)
		}
	}
	return true
}

// whole tells whether all runners of a machine are there and warm.
func (a *Advance) whole(p *Place) bool { return len(a.lacks(p)) == 0 }

// lacks says of a machine's runners what keeps them from their full part.
func (a *Advance) lacks(p *Place) (out []string) {
	for _, name := range p.Runners {
		r, ok := a.Fleet[name]
		switch {
		case !ok:
			out = append(out, name+" is not on the list")
		case r.Down:
			out = append(out, name+" drains or has gone")
		case r.Hand:
			out = append(out, name+" is out by hand")
		case r.Cold:
			out = append(out, name+" is cold")
		}
	}
	return out
}

// zone is where a machine's first listed runner is.
func (a *Advance) zone(p *Place) string {
	for _, name := range p.Runners {
		if r, ok := a.Fleet[name]; ok {
			return r.Zone
		}
	}
	return ""
}

// unit is what counts once against a budget: a machine of a plan, or a runner that is in none.
type unit struct {
	runners []string
	away    bool
	taken   bool // by a plan
}

// units are all of the fleet, by name, with whether each is away: by a plan, by hand, by itself, or not warm yet.
func (s *State) units(a *Advance) map[string]*unit {
	out := map[string]*unit{}
	of := map[string]*unit{}
	back := map[string]*Place{} // machines that are hosts and were put back
	for _, u := range s.Plans {
		for _, p := range u.Places {
			if p.Host != "" && p.Step != Waiting && !p.Step.away() {
				back[p.Host] = p
			}
		}
		if u.Phase == Ended {
			continue
		}
		for _, p := range u.Places {
			if p.Step.over() {
				continue
			}
			taken := p.Step != Waiting && p.Step != Warm
			n := &unit{runners: p.Runners, away: taken, taken: taken}
			out["machine "+p.Name] = n
			for _, r := range p.Runners {
				of[r] = n
			}
		}
	}
	for name, r := range a.Fleet {
		// Guards against a name that went for good while its machine was with staff: what is there now has another.
		if p := back[r.Host]; p != nil && r.Gone && !slices.Contains(p.Runners, name) {
			continue
		}
		n := of[name]
		if n == nil {
			n = &unit{runners: []string{name}}
			out["runner "+name] = n
		}
		n.away = n.away || r.away() && !failpoint.On(failpoint.DeadUncounted)
	}
	return out
}

// Next is the machine that a plan takes next; nil, and why, where it takes none: what is broken already goes first, then
// what costs least weight, another zone than the last one's first, then as the plan has them.
func (s *State) Next(u *Under, a *Advance) (*Place, map[string]string) {
	var best *Place
	var bestRank [3]float64
	why := map[string]string{}
	units := s.units(a)
	for _, p := range u.Places {
		if p.Step != Waiting {
			continue
		}
		if reason := s.forbids(u, p, a, units); reason != "" {
			why[p.Name] = reason
			continue
		}
		rank := [3]float64{1, weight(a, p.Runners), 0}
		if failpoint.On(failpoint.OwnOrder) {
			rank[1] = float64(rand.Int())
		}
		if rank[1] == 0 {
			rank[0] = 0
		}
		if a.zone(p) == u.Zone {
			rank[2] = 1
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = p, rank
		}
	}
	return best, why
}

// weight is what runners that are not away bear together.
func weight(a *Advance, runners []string) (sum float64) {
	for _, name := range runners {
		if r, ok := a.Fleet[name]; ok && !r.away() {
			sum += r.Weight
		}
	}
	return sum
}

// forbids says why a machine may not be taken now; empty where it may.
func (s *State) forbids(u *Under, p *Place, a *Advance, units map[string]*unit) string {
	// What is away by itself costs nothing more when it is taken: then what plans have counts alone. Else two machines that died
	// would stand in each other's way, and in the way of their repair.
	key := "machine " + p.Name
	broken := units[key].away
	var all, gone []string
	fleet, total, stays := 0, 0.0, 0.0
	zones, kinds := map[string]int{}, map[string]int{}
	left := map[string]bool{} // zones and kinds that keep a runner
	for _, g := range a.Rest {
		total, stays = total+g.Weight*float64(g.Count), stays+g.Weight*float64(g.Count)
		left["zone "+g.Zone], left["kind "+g.Kind] = true, true
	}
	for _, name := range slices.Sorted(maps.Keys(units)) {
		n := units[name]
		away := n.away && (!broken || n.taken) || name == key
		inZone, inKind := map[string]bool{}, map[string]bool{}
		for _, w := range n.runners {
			r, ok := a.Fleet[w]
			if !ok {
				continue
			}
			all = append(all, w)
			inZone[r.Zone], inKind[r.Kind] = true, true
			if total += r.Weight; !away {
				stays += r.Weight
				left["zone "+r.Zone], left["kind "+r.Kind] = true, true
			}
		}
		if !away {
			continue
		}
		if fleet++; name != key {
			gone = append(gone, name)
		}
		for z := range inZone {
			zones[z]++
		}
		for k := range inKind {
			kinds[k]++
		}
	}
	if failpoint.On(failpoint.NoBudget) {
		return ""
	}
	if fleet > u.Out && broken {
		return fmt.Sprintf("%d machines would be taken, %d may be%s", fleet, u.Out, others(gone))
	}
	if fleet > u.Out {
		return fmt.Sprintf("%d machines would be away, %d may be%s", fleet, u.Out, others(gone))
	}
	for _, w := range p.Runners {
		r, ok := a.Fleet[w]
		switch {
		case !ok:
			continue
		case u.ZoneOut > 0 && zones[r.Zone] > u.ZoneOut:
			return fmt.Sprintf("%d machines of zone %s would be away, %d may be", zones[r.Zone], r.Zone, u.ZoneOut)
		case u.KindOut > 0 && kinds[r.Kind] > u.KindOut:
			return fmt.Sprintf("%d machines of kind %s would be away, %d may be", kinds[r.Kind], r.Kind, u.KindOut)
		case broken:
		case !left["zone "+r.Zone]:
			return fmt.Sprintf("it is the last of zone %s", r.Zone)
		case !left["kind "+r.Kind]:
			return fmt.Sprintf("it is the last of kind %s", r.Kind)
		}
	}
	if stays < u.Capacity*total && !broken {
		return fmt.Sprintf("%.0f%% of the capacity would stay, %.0f%% has to", 100*stays/total, 100*u.Capacity)
	}
	if len(all) == 0 && len(a.Rest) == 0 {
		return "no runner is known"
	}
	return ""
}

// namesTold bounds the names in a reason.
const namesTold = 5

// others names what is away already, for a reason.
func others(names []string) string {
	if len(names) == 0 {
		return ""
	}
	more := ""
	if len(names) > namesTold {
		names, more = names[:namesTold], ", ..."
	}
	return ": " + strings.Join(names, ", ") + more
}

// Why says for each machine that does not go on what it waits for.
func (s *State) Why(u *Under, a *Advance) map[string]string {
	_, why := s.Next(u, a)
	switch u.Phase {
	case Announced:
		why[""] = fmt.Sprintf("waits until members have it in force: %v", s.unheard(u.At, a))
	case Running:
	default:
		clear(why)
	}
	for _, p := range u.Places {
		switch p.Step {
		case Leaving:
			why[p.Name] = fmt.Sprintf("waits for %v, at the longest %v more", s.held(p, a), max(0, s.Bound-(s.Clock-p.Since)))
		case Returning, Failed:
			why[p.Name] = strings.Join(a.lacks(p), ", ")
		}
	}
	return why
}
