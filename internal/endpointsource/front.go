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

// Front tells a View's list to dispatchers in discovery's own words, so that a dispatcher needs nothing new: its discovery
// is an address on its own machine. It is the View's one owner and gives it a clock.
type Front struct {
	mu      sync.Mutex
	view    *View
	start   time.Time
	timer   *time.Timer
	index   uint64
	list    map[string]engine.Endpoint
	changes []change
	wake    chan struct{}
	closed  bool
}

// change is one entry's news with its index.
type change struct {
	index uint64
	entry engine.Endpoint
}

// Bounds and times of the front.
const (
	changesKept = 4096 // who is further behind gets the whole list
	aliveEvery  = 2 * time.Second
)

// NewFront returns a front with nothing to tell.
func NewFront(c Config) *Front {
	f := &Front{view: NewView(c), start: time.Now(), list: map[string]engine.Endpoint{}, wake: make(chan struct{})}
	f.timer = time.AfterFunc(time.Hour, f.tick)
	f.timer.Stop()
	return f
}

// Close ends all watches.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.timer.Stop()
	f.signal()
}

// Tell takes a source's news.
func (f *Front) Tell(source int, n News) {
	f.do(func(now time.Duration) []engine.EndpointList { return f.view.Tell(now, source, n) })
}

// Lost says that a source is lost.
func (f *Front) Lost(source int) {
	f.do(func(now time.Duration) []engine.EndpointList { return f.view.Lost(now, source) })
}

func (f *Front) tick() { f.do(f.view.Tick) }

func (f *Front) do(step func(now time.Duration) []engine.EndpointList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	for _, l := range step(time.Since(f.start)) {
		for _, e := range l.Endpoints {
			f.index++
			if e.State == dispatch.Gone {
				delete(f.list, e.Name)
			} else {
				f.list[e.Name] = e
			}
			f.changes = append(f.changes, change{f.index, e})
		}
		if over := len(f.changes) - changesKept; over > 0 {
			f.changes = append(f.changes[:0], f.changes[over:]...)
		}
		f.signal()
	}
	if at, ok := f.view.Next(); ok {
		f.timer.Reset(time.Until(f.start.Add(at)))
	}
}

// signal wakes all watches. The lock is held.
func (f *Front) signal() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// Status is what the front tells of itself.
type Status struct {
	Index   uint64  `json:"index"`
	Workers int     `json:"workers"`
	Source  int     `json:"source"` // whose list counts; -1: none has told one
	AgeS    float64 `json:"age_s"`  // of its last word
}

// Status tells whose list counts and how old it is.
func (f *Front) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.advance(time.Since(f.start))
	source, age := f.view.Active()
	return Status{f.index, len(f.list), source, age.Seconds()}
}

// endpoint is an entry in discovery's words.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

type message struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

var statusOf = map[dispatch.WorkerState]string{dispatch.Ready: "up", dispatch.Draining: "draining", dispatch.Gone: "removed"}

func wordsOf(e *engine.Endpoint) endpoint {
	return endpoint{e.Name, e.Address, e.Zone, e.Kind, e.Cell, statusOf[e.State], e.Weight, e.StartedAtMillis}
}

// since is what has changed after an index, or the whole list. Several changes of one worker become its last. The lock
// is held.
func (f *Front) since(index uint64, whole bool) message {
	m := message{Index: f.index, Endpoints: []endpoint{}}
	if whole || index > f.index || index < f.index && (len(f.changes) == 0 || f.changes[0].index > index+1) {
		m.Snapshot = true
		for _, e := range f.list {
			m.Endpoints = append(m.Endpoints, wordsOf(&e))
		}
		return m
	}
	last := map[string]int{}
	for i := range f.changes {
		if f.changes[i].index > index {
			last[f.changes[i].entry.Name] = i
		}
	}
	for i := range f.changes {
		if c := &f.changes[i]; c.index > index && last[c.entry.Name] == i {
			m.Endpoints = append(m.Endpoints, wordsOf(&c.entry))
		}
	}
	return m
}

// ServeHTTP answers for the list, whole or as a watch, and for /status.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
	case r.URL.Path == "/status":
		json.NewEncoder(w).Encode(f.Status())
	case r.URL.Path != "/discovery/hosts":
		http.NotFound(w, r)
	case r.URL.Query().Get("follow") == "1":
		index, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since is no number", http.StatusBadRequest)
			return
		}
		f.follow(w, r, index)
	default:
		f.mu.Lock()
		known := f.view.active >= 0
		m := f.since(0, true)
		f.mu.Unlock()
		if !known { // an empty list would take the place of the one that the dispatcher has
			http.Error(w, "no source has told its list yet", http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(m)
	}
}

// follow is the life of one watch.
func (f *Front) follow(w http.ResponseWriter, r *http.Request, index uint64) {
	control := http.NewResponseController(w)
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for first := true; ; first = false {
		f.mu.Lock()
		wake, closed := f.wake, f.closed
		var line []byte
		if first || index != f.index {
			line, _ = json.Marshal(f.since(index, false))
			index = f.index
		}
		f.mu.Unlock()
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
		case <-wake:
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
