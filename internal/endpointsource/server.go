package endpointsource

import (
	"sync"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Server publishes the list of a View in discovery's protocol, so that dispatchers need no code for the sources: they use discovery at an
// address on their own machine. Server owns the View and runs its timer. It is safe for concurrent use.
type Server struct {
	start time.Time // origin of the View's times

	mu        sync.Mutex // guards the fields below
	view      *View
	timer     *time.Timer
	index     uint64 // of the newest change
	endpoints map[string]engine.Endpoint
	changes   []change      // the newest ones, by index
	changed   chan struct{} // closed at each change, and replaced by a new one
	closed    bool
}

// change is a change of one endpoint with its index.
type change struct {
	index    uint64
	endpoint engine.Endpoint
}

// maxChanges limits the number of stored changes. A watch that lags further behind gets the complete list.
const maxChanges = 4096

// NewServer returns a server without a list. Close stops its timer.
func NewServer(c Config) *Server {
	s := &Server{
		start:     time.Now(),
		view:      NewView(c),
		endpoints: map[string]engine.Endpoint{},
		changed:   make(chan struct{}),
	}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timer.Stop()
	return s
}

// Close ends all watches. Later updates are ignored.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	s.wakeWatches()
}

// Update applies an update of a source.
func (s *Server) Update(source int, update Update) {
	s.apply(func(now time.Duration) []engine.EndpointList { return s.view.Update(now, source, update) })
}

// MarkLost records that the connection to a source was lost.
func (s *Server) MarkLost(source int) {
	s.apply(func(now time.Duration) []engine.EndpointList { return s.view.MarkLost(now, source) })
}

func (s *Server) tick() { s.apply(s.view.Tick) }

// apply runs a step of the view, records the changes, and sets the timer for the next Tick.
func (s *Server) apply(step func(now time.Duration) []engine.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, list := range step(time.Since(s.start)) {
		s.record(list.Endpoints)
		s.wakeWatches()
	}
	if at, ok := s.view.NextTick(); ok {
		s.timer.Reset(time.Until(s.start.Add(at)))
	}
}

// record applies changed endpoints to the list and stores the newest changes. The caller must hold the lock.
func (s *Server) record(endpoints []engine.Endpoint) {
	for _, endpoint := range endpoints {
		s.index++
		if endpoint.State == dispatch.Gone {
			delete(s.endpoints, endpoint.Name)
		} else {
			s.endpoints[endpoint.Name] = endpoint
		}
		s.changes = append(s.changes, change{s.index, endpoint})
	}
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.changes = append(s.changes[:0], s.changes[excess:]...)
	}
}

// wakeWatches wakes all watches. The caller must hold the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Status is the state of the server, for operators.
type Status struct {
	Index      uint64  `json:"index"`
	Workers    int     `json:"workers"`
	Source     int     `json:"source"` // the active source; -1 if none has sent a list
	AgeSeconds float64 `json:"age_s"`  // since its last update
}

// Status returns the server's state.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.advance(time.Since(s.start))
	source, age := s.view.ActiveSource()
	return Status{Index: s.index, Workers: len(s.endpoints), Source: source, AgeSeconds: age.Seconds()}
}

// canResumeFrom reports whether all changes after an index are stored. The caller must hold the lock.
func (s *Server) canResumeFrom(index uint64) bool {
	if index >= s.index {
		return index == s.index
	}
	return len(s.changes) > 0 && s.changes[0].index <= index+1
}

// snapshot returns the complete list as a message. The caller must hold the lock.
func (s *Server) snapshot() listMessage {
	m := listMessage{Index: s.index, Snapshot: true, Endpoints: make([]endpointJSON, 0, len(s.endpoints))}
	for _, endpoint := range s.endpoints {
		m.Endpoints = append(m.Endpoints, encodeEndpoint(&endpoint))
	}
	return m
}

// changesSince returns the changes after an index, or the complete list if some of them are no longer stored. Of several changes of one
// worker it returns only the last. The caller must hold the lock.
func (s *Server) changesSince(index uint64) listMessage {
	if !s.canResumeFrom(index) {
		return s.snapshot()
	}
	lastIndex := map[string]uint64{}
	for i := range s.changes {
		if c := &s.changes[i]; c.index > index {
			lastIndex[c.endpoint.Name] = c.index
		}
	}
	m := listMessage{Index: s.index, Endpoints: make([]endpointJSON, 0, len(lastIndex))}
	for i := range s.changes {
		if c := &s.changes[i]; lastIndex[c.endpoint.Name] == c.index {
			m.Endpoints = append(m.Endpoints, encodeEndpoint(&c.endpoint))
		}
	}
	return m
}
