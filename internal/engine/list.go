package engine

import (
	"context"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// List is news of the workers, as a discovery front has decoded it.
type List struct {
	Index   uint64
	Whole   bool // all workers, not only those that changed
	Stale   bool // a copy kept from before our start
	Entries []Entry
}

// Entry is one worker of a List.
type Entry struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64
	State                     dispatch.State
	Since                     int64 // when it last started, Unix time in milliseconds; 0: long ago
}

// workerView is what the store itself remembers of a worker.
type workerView struct {
	entry    Entry         // as it was told last
	started  dispatch.Time // since on the module's clock
	out      cause         // why nothing goes there, whatever the list says
	handAt   time.Time     // when the operators spoke of it last
	left     dispatch.Time // when the list told that it has gone
	back     dispatch.Time // when it was put back last, by hand or by the group
	hand     int           // how often it was left out: what was ordered before does not go out after
	leased   bool          // of a plan under way: sent to only under the group's lease
	latest   int64         // start that the list has told of it, Unix time in milliseconds
	flying   int           // attempts that have not ended
	mayRun   time.Time     // until then one may run there that we know nothing of any more
	failures int           // of jobs, in a row
	moved    []string      // hosts that it was at when something of ours ran there
}

// ready says whether something may be sent there, by the list alone.
func (w *workerView) ready() bool { return w.entry.State == dispatch.Ready && w.entry.Address != "" }

// WorkerNews says that connections to an address are of no use any more: its worker has moved, restarted or is leaving.
type WorkerNews struct{ Address string }

// OnNews sets who hears that connections are of no use. It is called with the store's lock held and must not call back.
func (s *Store) OnNews(f func(WorkerNews)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNews = f
}

// Ready tells whether there is a worker to send to, and whether the list has been told since our start.
func (s *Store) Ready() (some, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.workers {
		if s.workers[i].ready() && s.workers[i].out == 0 {
			return true, s.fresh
		}
	}
	return false, s.fresh
}

// How a stall of the whole process is met.
const (
	stallFrom = 250 * time.Millisecond // without a beat for longer: we stood still
	stallRest = 30 * time.Millisecond  // for the watch to read what came meanwhile
)

// Beat says that the process runs; it is to be called every few dozen milliseconds.
func (s *Store) Beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteBeat(time.Now())
	s.bar()
}

// noteBeat notes a beat, and how long sends have to wait where it comes late. The lock is held.
func (s *Store) noteBeat(now time.Time) {
	if !s.beat.IsZero() && now.Sub(s.beat) > stallFrom {
		s.restUntil = now.Add(stallRest)
		s.Counters.Stalls.Add(1)
	}
	s.beat = now
}

// catchUp waits after a stall. Guards against sends to a worker that was told to drain while we stood still: the news
// counts as told, though the watch has not read it yet.
func (s *Store) catchUp(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	if !s.beat.IsZero() {
		s.noteBeat(now) // an attempt may be the first to run again
	}
	rest := s.restUntil.Sub(now)
	s.mu.Unlock()
	if rest > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// News takes news of the list over. News comes in order; the module's version is our own count of it, since
// discovery's may start again from a lower figure.
func (s *Store) News(l List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news++
	s.index = l.Index
	s.fresh = s.fresh || !l.Stale
	s.Counters.News.Add(1)
	e := dispatch.Event{Kind: dispatch.ListChange, Version: s.news, Stale: l.Stale}
	if l.Whole {
		e.Kind = dispatch.ListSnapshot
	}
	told := make(map[dispatch.WorkerID]bool, len(l.Entries))
	for i := range l.Entries {
		n := &l.Entries[i]
		id := s.names.Worker(n.Name)
		told[id] = true
		e.Workers = append(e.Workers, dispatch.Worker{
			ID: id, Zone: s.names.Zone(settings.Plain(n.Zone)), Kind: s.names.Kind(settings.Plain(n.Kind)),
			Cell: n.Cell, State: n.State, StartedAt: s.view(id, n), Tag: s.names.WorkerTag(id), Weight: n.Weight,
		})
	}
	if l.Whole {
		for id := range s.workers {
			if told[dispatch.WorkerID(id)] {
				continue
			}
			w := &s.workers[id] // who is missing has left
			was := w.ready()
			if w.entry.State != dispatch.Gone {
				w.left = s.now()
			}
			if w.entry.State = dispatch.Gone; was {
				s.onNews(WorkerNews{w.entry.Address})
			}
		}
	}
	if len(s.guard.AwayAt)+len(s.guard.LeasedAt) > 0 {
		s.bind()
	}
	s.bar() // before the module hears of a worker that it may not use yet
	s.handle(s.now(), &e)
}

// List is the whole list as it stands, and the count of news that it has had: it is another list when that has changed.
func (s *Store) List() (l List, news uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l = List{Index: s.index, Whole: true, Stale: !s.fresh}
	for i := range s.workers {
		if e := &s.workers[i].entry; e.Name != "" && e.State != dispatch.Gone {
			l.Entries = append(l.Entries, *e)
		}
	}
	return l, s.news
}

// Known is how far a worker has come, by our own list.
type Known struct {
	Name  string
	Start int64 // the latest that was told, Unix time in milliseconds; 0: long ago
	State dispatch.State
}

// Known are all workers of our list, those too that have left it for no longer than gone; fresh tells that discovery has told it
// since our start.
func (s *Store) Known(gone time.Duration) (all []Known, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.workers {
		w := &s.workers[i]
		if w.entry.Name != "" && (w.entry.State != dispatch.Gone || s.now()-w.left < dispatch.Time(gone.Microseconds())) {
			all = append(all, Known{w.entry.Name, w.latest, w.entry.State})
		}
	}
	return all, s.fresh
}

// Heed leaves out workers that other members of a group know to have come further than our list has them, in place of those before.
func (s *Store) Heed(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[dispatch.WorkerID]bool{}
	for _, name := range names {
		if id, ok := s.names.FindWorker(name); ok {
			held[id] = true
		}
	}
	for i := range s.workers {
		switch w, id := &s.workers[i], dispatch.WorkerID(i); {
		case held[id] && w.out&byPeers == 0:
			s.leaveOut(id, byPeers)
		case !held[id] && w.out&byPeers != 0:
			s.letIn(id, byPeers, 0)
		}
	}
}

// Watching says whether the watch on discovery has told its list and still stands.
func (s *Store) Watching(stands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !stands:
		s.watched = time.Time{}
	case s.watched.IsZero():
		s.watched = time.Now()
	}
}

// Watched is for how long it has, without a break; below 0: it does not.
func (s *Store) Watched() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched.IsZero() {
		return -1
	}
	return time.Since(s.watched)
}

// NewsCount is how much news of the list there has been.
func (s *Store) NewsCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

// view remembers one entry and returns its start on the module's clock. A start is converted once: another reading of
// the wall clock would move it, and a moved start is a restart to the module.
func (s *Store) view(id dispatch.WorkerID, n *Entry) dispatch.Time {
	w := s.viewOf(id)
	old := w.entry
	if old.Address != "" && (old.Address != n.Address || old.Since != n.Since || w.ready() && n.State != dispatch.Ready) {
		s.onNews(WorkerNews{old.Address})
	}
	if old.Since != n.Since {
		w.started = 0
		if n.Since > 0 {
			now := time.Now()
			w.started = max(s.at(now)-dispatch.Time(now.UnixMicro()-n.Since*1000), 0)
		}
	}
	if n.State == dispatch.Gone && old.State != dispatch.Gone {
		w.left = s.now()
	}
	if host := hostOf(old.Address); host != hostOf(n.Address) {
		if w.flying > 0 || time.Now().Before(w.mayRun) {
			w.moved = append(w.moved, host)
		} else {
			w.moved = nil
		}
	}
	w.latest = max(w.latest, n.Since) // a word that it leaves need not have its start
	w.entry = *n
	return w.started
}
