package engine

import (
	"maps"
	"net"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// Guard is what a group of dispatchers has settled on workers, by name or by host, as far as it binds this one. It takes away
// only.
type Guard struct {
	Away, AwayAt     map[string]bool // taken out for work: nothing goes there
	Leased, LeasedAt map[string]bool // of plans under way: sent to only while the lease runs
}

// runSlack is how much later than its deadline a job may end at a worker that has been told the time left when the last
// byte came: the way there, and the worker's own timer.
const runSlack = 250 * time.Millisecond

// Guard takes the group's settled word over, in place of the one before. From its return on nothing is sent to workers that
// are away, and to those under the lease only while that runs. One that comes back has been started anew meanwhile.
func (s *Store) Guard(g Guard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard = g
	s.bind()
}

// bind puts the guard in force for the workers as they are listed now: at a host that is taken out one may be listed under
// another name. The lock is held.
func (s *Store) bind() {
	for _, id := range s.leased {
		s.workers[id].leased = false
	}
	s.leased = s.pick(s.guard.Leased, s.guard.LeasedAt)
	for _, id := range s.leased {
		s.workers[id].leased = true
	}
	away := s.pick(s.guard.Away, s.guard.AwayAt)
	for _, id := range away {
		if s.workers[id].out&byPlan == 0 {
			s.leaveOut(id, byPlan)
		}
	}
	for _, id := range s.away {
		if !slices.Contains(away, id) {
			s.letIn(id, byPlan, 0)
		}
	}
	s.away = away
	s.bar()
}

// pick are the workers of these names and at these hosts. The lock is held.
func (s *Store) pick(names, hosts map[string]bool) (ids []dispatch.WorkerID) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		id := s.names.Worker(name)
		s.viewOf(id)
		ids = append(ids, id)
	}
	for i := range s.workers {
		if w := &s.workers[i].entry; hosts[hostOf(w.Address)] && !names[w.Name] {
			ids = append(ids, dispatch.WorkerID(i))
		}
	}
	return ids
}

// hostOf is the host of an address; empty where it has none.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// AttemptsMost bounds attempts that are ordered from now on, whatever time their clients give: a group that waits for a silent
// member has to know for how long something of that may run. 0 sets no bound.
func (s *Store) AttemptsMost(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptMost = d
}

// Lease says until when the group's lease runs; a moment before the present one says that it runs no more.
func (s *Store) Lease(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseUntil = until
	s.bar()
}

// Blind says whether we know nothing of the group's plans: then every worker may be in pieces, and counts as under the lease.
func (s *Store) Blind(blind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blind = blind
	s.bar()
}

// mayLease tells whether the lease lets us send to a worker at this moment. The lock is held.
func (s *Store) mayLease(w *workerView) bool {
	if failpoint.On(failpoint.NoLease) {
		return true
	}
	return !w.leased && !s.blind || time.Now().Before(s.leaseUntil)
}

// bar tells the module which workers have no lease, so that it draws others. A worker whose lease comes back started when
// the list says. The lock is held.
func (s *Store) bar() {
	s.underLease.Store(s.blind || len(s.leased) > 0)
	if !s.blind && len(s.leased) == 0 && !s.barred {
		return
	}
	s.barred = false
	for i := range s.workers {
		w, id := &s.workers[i], dispatch.WorkerID(i)
		switch may := s.mayLease(w); {
		case may && w.out&noLease != 0:
			s.letIn(id, noLease, 0)
		case !may && w.out&noLease == 0:
			s.leaveOut(id, noLease)
		}
		s.barred = s.barred || s.workers[i].out&noLease != 0
	}
}

// landed notes the end of an attempt. Where it does not tell that the job is over, the job may run up to its deadline. The
// lock is held.
func (s *Store) landed(a *Attempt, result dispatch.Result) {
	if int(a.worker) >= len(s.workers) {
		return
	}
	w := &s.workers[a.worker]
	w.flying--
	switch result {
	case dispatch.TimedOut, dispatch.Cancelled, dispatch.Disconnected, dispatch.UnknownResult:
		if end, ok := a.ctx.Deadline(); ok && end.Add(runSlack).After(w.mayRun) {
			w.mayRun = end.Add(runSlack)
		}
	}
}

// Busy are the names of those workers under the lease, or away, where something of ours runs or may run, and their hosts,
// sorted.
func (s *Store) Busy() (names, hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if failpoint.On(failpoint.IgnoresBusy) {
		return nil, nil
	}
	for id := range s.workers {
		w := &s.workers[id]
		if w.flying == 0 && !now.Before(w.mayRun) {
			continue
		}
		hosts = append(hosts, w.moved...) // what runs may run where it was
		if !w.leased && w.out&byPlan == 0 {
			continue
		}
		names = append(names, s.names.WorkerName(dispatch.WorkerID(id)))
		if host := hostOf(w.entry.Address); host != "" {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(names)
	slices.Sort(hosts)
	return names, slices.Compact(hosts)
}

// Seen is what this dispatcher knows of a worker.
type Seen struct {
	Name, Zone, Kind string
	Host             string
	Weight           float64
	Down             bool // draining, or gone for no longer than was asked
	Gone             bool
	Cold             bool // started, or put back, for no longer than was asked
	Hand             bool // left out by hand
}

// Fleet is what this dispatcher knows of all workers: those that have left are told for a while, and started ones are cold
// for a while.
func (s *Store) Fleet(gone, cold time.Duration) (all []Seen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i := range s.workers {
		w := &s.workers[i]
		e := &w.entry
		if e.Name == "" || e.State == dispatch.Gone && now-w.left > dispatch.Time(gone.Microseconds()) {
			continue
		}
		since := max(w.started, w.back)
		all = append(all, Seen{
			Name: e.Name, Zone: e.Zone, Kind: e.Kind, Host: hostOf(e.Address), Weight: e.Weight, Down: e.State != dispatch.Ready,
			Gone: e.State == dispatch.Gone,
			Cold: since > 0 && now-since < dispatch.Time(cold.Microseconds()), Hand: w.out&byHand != 0,
		})
	}
	return all
}
