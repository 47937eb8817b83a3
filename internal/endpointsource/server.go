package endpointsource

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Server tells a View's list to dispatchers in discovery's own words, so that a dispatcher needs nothing new: its discovery
// is an address on its own machine. It is the View's one owner and gives it a clock.
type Server struct {
	mu        sync.Mutex
	view      *View
	start     time.Time
	timer     *time.Timer
	index     uint64
	endpoints map[string]engine.Endpoint
	changes   []change
	changed   chan struct{}
	closed    bool
}

// change is one entry's news with its index.
type change struct {
	index    uint64
	endpoint engine.Endpoint
}

// Bounds and times of the front.
const (
	maxChanges        = 4096 // who is further behind gets the whole list
	keepAliveInterval = 2 * time.Second
)

// NewServer returns a front with nothing to tell.
func NewServer(c Config) *Server {
	s := &Server{view: NewView(c), start: time.Now(), endpoints: map[string]engine.Endpoint{}, changed: make(chan struct{})}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timer.Stop()
	return s
}

// Close ends all watches.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	s.wakeWatches()
}

// Update takes a source's news.
func (s *Server) Update(source int, update Update) {
	s.apply(func(now time.Duration) []engine.EndpointList { return s.view.Update(now, source, update) })
}

// MarkLost says that a source is lost.
func (s *Server) MarkLost(source int) {
	s.apply(func(now time.Duration) []engine.EndpointList { return s.view.MarkLost(now, source) })
}

func (s *Server) tick() { s.apply(s.view.Tick) }

func (s *Server) apply(step func(now time.Duration) []engine.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, l := range step(time.Since(s.start)) {
		for _, e := range l.Endpoints {
			s.index++
			if e.State == dispatch.Gone {
				delete(s.endpoints, e.Name)
			} else {
				s.endpoints[e.Name] = e
			}
			s.changes = append(s.changes, change{s.index, e})
		}
		if over := len(s.changes) - maxChanges; over > 0 {
			s.changes = append(s.changes[:0], s.changes[over:]...)
		}
		s.wakeWatches()
	}
	if at, ok := s.view.NextTick(); ok {
		s.timer.Reset(time.Until(s.start.Add(at)))
	}
}

// wakeWatches wakes all watches. The lock is held.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Status is what the front tells of itself.
type Status struct {
	Index      uint64  `json:"index"`
	Workers    int     `json:"workers"`
	Source     int     `json:"source"` // whose list counts; -1: none has told one
	AgeSeconds float64 `json:"age_s"`  // of its last word
}

// Status tells whose list counts and how old it is.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.advance(time.Since(s.start))
	source, age := s.view.ActiveSource()
	return Status{s.index, len(s.endpoints), source, age.Seconds()}
}

// endpointJSON is an entry in discovery's words.
type endpointJSON struct {
	Name            string  `json:"name"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Type            string  `json:"type"`
	Group           int     `json:"group"`
	Status          string  `json:"status"`
	Weight          float64 `json:"weight"`
	StartedAtMillis int64   `json:"since_ms"`
}

type listMessage struct {
	Index     uint64         `json:"index"`
	Snapshot  bool           `json:"snapshot"`
	Endpoints []endpointJSON `json:"endpoints"`
}

var statusNames = map[dispatch.WorkerState]string{dispatch.Ready: "up", dispatch.Draining: "draining", dispatch.Gone: "removed"}

func encodeEndpoint(e *engine.Endpoint) endpointJSON {
	return endpointJSON{e.Name, e.Address, e.Zone, e.Kind, e.Cell, statusNames[e.State], e.Weight, e.StartedAtMillis}
}

// changesSince is what has changed after an index, or the whole list. Several changes of one worker become its last. The lock
// is held.
func (s *Server) changesSince(index uint64, whole bool) listMessage {
	m := listMessage{Index: s.index, Endpoints: []endpointJSON{}}
	if whole || index > s.index || index < s.index && (len(s.changes) == 0 || s.changes[0].index > index+1) {
		m.Snapshot = true
		for _, e := range s.endpoints {
			m.Endpoints = append(m.Endpoints, encodeEndpoint(&e))
		}
		return m
	}
	last := map[string]int{}
	for i := range s.changes {
		if s.changes[i].index > index {
			last[s.changes[i].endpoint.Name] = i
		}
	}
	for i := range s.changes {
		if c := &s.changes[i]; c.index > index && last[c.endpoint.Name] == i {
			m.Endpoints = append(m.Endpoints, encodeEndpoint(&c.endpoint))
		}
	}
	return m
}

// ServeHTTP answers for the list, whole or as a watch, and for /status.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
	case r.URL.Path == "/status":
		json.NewEncoder(w).Encode(s.Status())
	case r.URL.Path != "/discovery/hosts":
		http.NotFound(w, r)
	case r.URL.Query().Get("follow") == "1":
		index, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since is no number", http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, index)
	default:
		s.mu.Lock()
		known := s.view.active >= 0
		m := s.changesSince(0, true)
		s.mu.Unlock()
		if !known { // an empty list would take the place of the one that the dispatcher has
			http.Error(w, "no source has told its list yet", http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(m)
	}
}

// serveWatch is the life of one watch.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, index uint64) {
	control := http.NewResponseController(w)
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		changed, closed := s.changed, s.closed
		var line []byte
		if first || index != s.index {
			line, _ = json.Marshal(s.changesSince(index, false))
			index = s.index
		}
		s.mu.Unlock()
		if closed {
			return
		}
		if line != nil {
			w.Write(append(line, '\n'))
			if control.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-alive.C:
			w.Write([]byte("\n"))
			if control.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
