package fakes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Times of discovery.
const (
	aliveEvery = 2 * time.Second         // an empty line while nothing changes
	oldLinger  = 1500 * time.Millisecond // after a move open connections stay so long
)

// Endpoint is one entry of the list, as the protocol words it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// The statuses.
const (
	StatusUp       = "up"
	StatusDraining = "draining"
	StatusRemoved  = "removed"
)

var stateOf = map[string]invariant.State{StatusUp: invariant.Up, StatusDraining: invariant.Draining, StatusRemoved: invariant.Removed}

// EndpointUpdate is one change: Endpoint as each dispatcher gets it.
type EndpointUpdate struct {
	Worker      int // -1: none of the fleet's
	Incarnation int
	Endpoint    func(dispatcher int) Endpoint
}

// Discovery is the list with an agent for each dispatcher.
type Discovery struct {
	Agents []*Agent
}

// NewDiscovery starts so many agents. lag draws how long a change is on its way to an agent.
func NewDiscovery(l *invariant.Ledger, dispatchers, keep int, lag, jitter time.Duration, r *rand.Rand) (*Discovery, error) {
	d := &Discovery{}
	for i := range dispatchers {
		a := &Agent{
			ledger: l, dispatcher: i, keep: keep, lag: lag, jitter: jitter, r: rand.New(rand.NewPCG(r.Uint64(), uint64(i))),
			factor: 1, view: map[string]entry{}, wake: make(chan struct{}),
		}
		if err := a.listen(); err != nil {
			d.Close()
			return nil, err
		}
		d.Agents = append(d.Agents, a)
	}
	return d, nil
}

// Publish sends a change on its way; at once: it is there at once, as at the start of a day.
func (d *Discovery) Publish(n EndpointUpdate, atOnce bool) {
	for _, a := range d.Agents {
		a.send(n, atOnce)
	}
}

// Close ends all agents.
func (d *Discovery) Close() {
	for _, a := range d.Agents {
		a.close()
	}
}

// Agent is what one dispatcher asks.
type Agent struct {
	ledger      *invariant.Ledger
	dispatcher  int
	keep        int
	lag, jitter time.Duration

	mu      sync.Mutex
	r       *rand.Rand
	factor  float64   // times the usual lag
	lastDue time.Time // changes arrive in order
	silent  bool
	due     []entry // what is on its way
	waiting []entry // what came while we were silent
	index   uint64
	view    map[string]entry
	names   []string // in the order of their first coming
	changes []entry  // the last ones, with their index
	wake    chan struct{}
	server  *http.Server
	address string
	closed  bool
	timers  []*time.Timer
}

// entry is an endpoint with what the ledger wants to know.
type entry struct {
	Endpoint
	index       uint64
	worker      int
	incarnation int
	telling     *invariant.Delivery
}

// listen opens a new address.
func (a *Agent) listen() error {
	l, err := net.Listen("tcp", ours.Host(0)+":0")
	if err != nil {
		return fmt.Errorf("discovery: listening: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.hosts)
	a.server = &http.Server{Handler: mux}
	a.address = l.Addr().String()
	server := a.server
	go func() { _ = server.Serve(l) }() // returns once the agent moves or closes
	return nil
}

// Address is where the dispatcher asks.
func (a *Agent) Address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// Move opens another address; the old one takes no new connection, and closes the open ones after a while.
func (a *Agent) Move() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	go func() {
		// Shutdown closes the listener at once; it would wait for watches that never end.
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = old.Shutdown(closedContext()) // its error is that of the context
		}()
		<-done
		time.Sleep(oldLinger)
		_ = old.Close() // its connections end either way
	}()
	return nil
}

// SetDelay sets how many times the usual lag news takes.
func (a *Agent) SetDelay(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.factor = factor
}

// Silence makes the agent say nothing and learn nothing, or ends that.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	if !on {
		for _, e := range a.waiting {
			a.apply(e)
		}
		a.waiting = nil
	}
	a.signal()
}

// signal wakes all watches. The lock is held.
func (a *Agent) signal() {
	close(a.wake)
	a.wake = make(chan struct{})
}

func (a *Agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, t := range a.timers {
		t.Stop()
	}
	a.signal()
	_ = a.server.Close() // its connections end either way
}

func (a *Agent) send(n EndpointUpdate, atOnce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := entry{Endpoint: n.Endpoint(a.dispatcher), worker: n.Worker, incarnation: n.Incarnation}
	if atOnce {
		a.apply(e)
		return
	}
	wait := time.Duration(a.factor * float64(a.lag+time.Duration(a.r.Float64()*float64(a.jitter))))
	due := time.Now().Add(wait)
	if due.Before(a.lastDue) {
		due = a.lastDue.Add(time.Microsecond)
	}
	a.lastDue = due
	a.due = append(a.due, e)
	a.timers = append(a.timers, time.AfterFunc(time.Until(due), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		e := a.due[0] // not its own: timers a moment apart may fire in any order
		a.due = a.due[1:]
		switch {
		case a.closed:
		case a.silent:
			a.waiting = append(a.waiting, e)
		default:
			a.apply(e)
			a.signal()
		}
	}))
}

// apply takes a change into the list. The lock is held.
func (a *Agent) apply(e entry) {
	a.index++
	e.index = a.index
	if e.worker >= 0 {
		e.telling = &invariant.Delivery{
			Dispatcher: a.dispatcher, Worker: e.worker, Incarnation: e.incarnation, State: stateOf[e.Status], Has: a.ledger.Now(),
		}
		a.ledger.Delivery(e.telling)
	}
	if _, ok := a.view[e.Name]; !ok {
		a.names = append(a.names, e.Name)
	}
	a.view[e.Name] = e
	a.changes = append(a.changes, e)
	if len(a.changes) > a.keep { // older ones are compacted
		a.changes = a.changes[len(a.changes)-a.keep:]
	}
}

// message is a line of discovery.
type message struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Known is the whole list as JSON, for a dispatcher's configuration.
func (a *Agent) Known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	raw, err := json.Marshal(a.whole())
	if err != nil {
		panic(err) // plain fields only
	}
	return raw
}

func (a *Agent) whole() message {
	m := message{Index: a.index, Snapshot: true, Endpoints: []Endpoint{}}
	for _, n := range a.names {
		if e := a.view[n]; e.Status != StatusRemoved {
			m.Endpoints = append(m.Endpoints, e.Endpoint)
		}
	}
	return m
}

// since is what changed after an index, or the whole list where that is no longer known.
func (a *Agent) since(index uint64) (m message, told []entry) {
	if index > a.index || index < a.index && (len(a.changes) == 0 || a.changes[0].index > index+1) {
		return a.whole(), a.all()
	}
	m = message{Index: a.index, Endpoints: []Endpoint{}}
	for _, e := range a.changes {
		if e.index > index {
			m.Endpoints = append(m.Endpoints, e.Endpoint)
			told = append(told, e)
		}
	}
	return m, told
}

func (a *Agent) all() (out []entry) {
	for _, n := range a.names {
		out = append(out, a.view[n])
	}
	return out
}

// recordDelivery takes down that entries have been written to the dispatcher. Who asks again is told again: a process that began
// since then knows only what it was told itself.
func (a *Agent) recordDelivery(all []entry, again bool) {
	now := a.ledger.Now()
	for _, e := range all {
		t := e.telling
		if t == nil {
			continue
		}
		if again {
			a.ledger.Delivery(&invariant.Delivery{Dispatcher: t.Dispatcher, Worker: t.Worker, Incarnation: t.Incarnation, State: t.State, Has: now, Written: now})
			continue
		}
		a.ledger.Do(func() {
			if t.Written == 0 {
				t.Written = now
			}
		})
	}
}

// hosts answers for the list, whole or as a watch.
func (a *Agent) hosts(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") != "1" {
		a.mu.Lock()
		for a.silent && !a.closed {
			wake := a.wake
			a.mu.Unlock()
			select {
			case <-wake:
			case <-r.Context().Done():
				return
			}
			a.mu.Lock()
		}
		m, all := a.whole(), a.all()
		a.mu.Unlock()
		if json.NewEncoder(w).Encode(m) == nil {
			a.recordDelivery(all, true)
		}
		return
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no number", http.StatusBadRequest)
		return
	}
	a.watch(w, r, index)
}

func (a *Agent) watch(w http.ResponseWriter, r *http.Request, index uint64) {
	control := http.NewResponseController(w)
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for first := true; ; first = false {
		a.mu.Lock()
		if a.closed {
			a.mu.Unlock()
			return
		}
		wake, silent := a.wake, a.silent
		var line []byte
		var told []entry
		if !silent && (first || index != a.index) {
			var m message
			m, told = a.since(index)
			index = a.index
			line, _ = json.Marshal(m)
		}
		a.mu.Unlock()
		if line != nil {
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			if control.Flush() != nil {
				return
			}
			a.recordDelivery(told, first)
		}
		select {
		case <-wake:
		case <-alive.C:
			a.mu.Lock()
			silent := a.silent
			a.mu.Unlock()
			if !silent {
				_, _ = w.Write([]byte("\n")) // Flush tells if the watch has ended
				if control.Flush() != nil {
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
}
