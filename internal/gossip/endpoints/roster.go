// Package endpoints tells the other members of a group how far workers have come by our own list, and leaves out those that others
// know to have come further. Nothing is kept over a restart. Roster decides, and has no I/O, clock or goroutine; Teller carries.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how far a worker's start has come.
type State int

// The states, in their order.
const (
	Up State = iota
	Draining
	Gone
)

// Fact is how far a worker has come, as discovery has told some member. Of two on one worker the further one holds: a later start,
// or of one start the later state. So facts become one in any order.
type Fact struct {
	Name  string `json:"name"`
	Start int64  `json:"start,omitempty"` // Unix time in milliseconds, by discovery's clock; 0: long ago
	State State  `json:"state,omitempty"`
}

// further tells whether a fact holds against another one on the same worker.
func (f Fact) further(o Fact) bool {
	return cmp.Or(cmp.Compare(f.Start, o.Start), cmp.Compare(f.State, o.State)) > 0
}

// Bounds on facts.
const (
	nameMost  = 256    // bytes
	factsMost = 20_000 // of others, that our list does not have
)

// Times of facts.
const (
	// trustOwn is how long our own watch has to have been alive after a fact came until our list holds against it: discovery's news
	// counts as told 6 s after it is there, and a watch that has fallen silent is seen after 5 s.
	trustOwn = 6 * time.Second
	// forget is how long a fact is known after it came, so that it is not told again and again.
	forget = 15 * time.Minute
)

// Roster is what one member knows. Times are on its own monotonic clock.
type Roster struct {
	own    map[string]Fact
	fresh  bool             // discovery has told it since our start
	others map[string]heard // further than our own
}

type heard struct {
	Fact
	came   time.Duration
	lapsed bool // our list has held against it since
}

// New returns a Roster that knows nothing.
func New() *Roster { return &Roster{own: map[string]Fact{}, others: map[string]heard{}} }

// Own takes our own list over; fresh tells that our discovery has told it, and not a list from before our start. It returns what
// others are to hear, sorted: what has come further since the fresh list before, and that nobody told us.
func (r *Roster) Own(all []Fact, fresh bool) (news []Fact) {
	was := r.own
	r.own = make(map[string]Fact, len(all))
	for _, f := range all {
		r.own[f.Name] = f
		old, known := was[f.Name]
		o, told := r.others[f.Name]
		if r.fresh && (!known || f.further(old)) && !(told && !f.further(o.Fact)) {
			news = append(news, f)
		}
		if told && !o.further(f) {
			delete(r.others, f.Name)
		}
	}
	r.fresh = fresh
	slices.SortFunc(news, byName)
	return news
}

// All are the facts of our own list, for one that starts, sorted; false where our discovery has told nothing yet.
func (r *Roster) All() ([]Fact, bool) { return slices.SortedFunc(maps.Values(r.own), byName), r.fresh }

func byName(a, b Fact) int { return cmp.Compare(a.Name, b.Name) }

// Hear takes facts of another member over and returns those that were news, for others again. What makes no sense, and what there
// is no room for, is counted in refused.
func (r *Roster) Hear(now time.Duration, facts []Fact) (news []Fact, refused int) {
	for _, f := range facts {
		if f.Name == "" || len(f.Name) > nameMost || f.Start < 0 || f.State < Up || f.State > Gone {
			refused++
			continue
		}
		old, known := r.others[f.Name]
		if known && !f.further(old.Fact) || !f.further(r.own[f.Name]) {
			continue
		}
		if !known && len(r.others) >= factsMost {
			refused++
			continue
		}
		r.others[f.Name] = heard{Fact: f, came: now}
		news = append(news, f)
	}
	return news, refused
}

// Held are the workers to leave out now, sorted: those of our own list that others know to have come further. alive is how long our
// own watch has told its list without a break; below 0: it does not.
func (r *Roster) Held(now, alive time.Duration) (names []string) {
	for name, o := range r.others {
		if !o.lapsed && alive >= 0 && min(alive, now-o.came) >= trustOwn {
			o.lapsed = true
			r.others[name] = o
		}
		if now-o.came > forget && alive >= 0 {
			delete(r.others, name)
		}
		if own, listed := r.own[name]; listed && !o.lapsed && o.further(own) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
