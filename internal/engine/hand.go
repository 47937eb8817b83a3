package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
)

// ErrWorker says that no worker of a name has been listed.
var ErrWorker = errors.New("no runner of this name is known")

// Hand is what the operators said of a worker last.
type Hand struct {
	Out bool
	At  time.Time
}

// viewOf is the view of a worker. The lock is held.
func (s *Store) viewOf(id dispatch.WorkerID) *workerView {
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
	w.handAt = h.At
	if h.Out {
		s.leaveOut(id, byHand)
	} else {
		s.letIn(id, byHand, dispatch.Time(max(0, time.Since(h.At)).Microseconds()))
	}
}

// cause is why nothing is sent to a worker beside what the list says of it; several may hold at once.
type cause uint8

// The causes.
const (
	byHand  cause = 1 << iota // the operators left it out at this dispatcher
	byPlan                    // the group has taken its machine out
	noLease                   // we may not send there just now, and know nothing against the worker
	byPeers                   // another member of the group knows that it has come further than our list has it

	byWord = byHand | byPlan // said by staff or the group: one that is put back was started anew meanwhile
)

// leaveOut keeps everything away from a worker, for one more cause. The lock is held.
func (s *Store) leaveOut(id dispatch.WorkerID, c cause) {
	w := &s.workers[id]
	if c != noLease {
		w.hand++
	}
	if w.out == 0 && c != noLease {
		s.onNews(WorkerNews{w.entry.Address}) // what is open leads to a process that ends, or has ended
	}
	w.out |= c
	s.handle(s.now(), &dispatch.Event{Kind: dispatch.TakenOut, Worker: id})
}

// letIn ends one cause, since so long ago. The worker serves again where no other holds, as one that was started when it was
// put back last, or for want of a lease alone, when the list says, if that is later: a cold one stays cold. The lock is held.
func (s *Store) letIn(id dispatch.WorkerID, c cause, ago dispatch.Time) {
	w, now := &s.workers[id], s.now()
	was := w.out
	if c&byWord != 0 {
		w.back = max(w.back, now-ago)
	}
	if w.out &^= c; w.out != 0 {
		return
	}
	if was != 0 && c&byWord != 0 {
		s.onNews(WorkerNews{w.entry.Address})
	}
	since := w.back
	if c&byWord == 0 {
		since = max(since, w.started)
	}
	s.handle(now, &dispatch.Event{Kind: dispatch.PutBack, Worker: id, Elapsed: now - since})
}

// Out are the names of the workers that are out by hand, sorted.
func (s *Store) Out() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.workers {
		if s.workers[id].out&byHand != 0 {
			names = append(names, s.names.WorkerName(dispatch.WorkerID(id)))
		}
	}
	slices.Sort(names)
	return names
}
