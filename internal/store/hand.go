package store

import (
	"errors"
	"maps"
	"slices"
	"time"

	"birchfork/rules"
)

// ErrWorker says that no worker of a name has been listed.
var ErrWorker = errors.New("no runner of this name is known")

// Hand is what the operators said of a worker last.
type Hand struct {
	Out bool
	At  time.Time
}

// viewOf is the view of a worker. The lock is held.
func (s *Store) viewOf(id rules.WorkerID) *workerView {
	for int(id) >= len(s.workers) {
		s.workers = append(s.workers, workerView{})
	}
	return &s.workers[id]
}

// Knows tells whether a worker of this name has been listed since our start, or was called out by hand.
func (s *Store) Knows(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.names.FindWorker(name)
	return ok
}

// Hand takes over what the operators have said of workers, by name. From its return on nothing is sent to one that is out,
// whatever the list says; one that is not out any more has been started anew meanwhile, and counts as started at that
// word. An older word on a worker than the newest is passed over: another process of this dispatcher may tell it again.
// A name that has not been listed is taken as well, as it may be listed later.
func (s *Store) Hand(all map[string]Hand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s.byHand(name, all[name])
	}
}

// byHand takes one word over. The lock is held.
func (s *Store) byHand(name string, h Hand) {
	id := s.names.Worker(name)
	w := s.viewOf(id)
	if !h.At.After(w.handAt) {
		return
	}
	if w.handAt = h.At; h.Out {
		w.hand++
	}
	if w.out != h.Out {
		w.out = h.Out
		s.onNews(WorkerNews{w.entry.Address}) // what is open leads to a process that ends, or has ended
	}
	e := rules.Event{Kind: rules.TakenOut, Worker: id}
	if !h.Out {
		e.Kind, e.Elapsed = rules.PutBack, rules.Time(max(0, time.Since(h.At)).Microseconds())
	}
	s.handle(s.now(), &e)
}

// Out are the names of the workers that are out by hand, sorted.
func (s *Store) Out() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.workers {
		if s.workers[id].out {
			names = append(names, s.names.WorkerName(rules.WorkerID(id)))
		}
	}
	slices.Sort(names)
	return names
}
