package fakes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
)

// moveLinger is how long connections to an agent's old address stay open after a move.
const moveLinger = 1500 * time.Millisecond

// Agent serves the endpoint list to one dispatcher. It is safe for concurrent use.
type Agent struct {
	ledger      *invariant.Ledger
	dispatcher  int
	keep        int // number of changes that are kept
	lag, jitter time.Duration

	mu          sync.Mutex
	random      *rand.Rand
	delayFactor float64          // multiplies the lag of updates
	lastDue     time.Time        // of the last update that was sent; updates arrive in order
	pending     []entry          // in transit, in order of arrival
	silent      bool             // nothing is served or applied
	deferred    []entry          // arrived while silent
	index       uint64           // of the newest change
	entries     map[string]entry // the list by name, including removed endpoints
	names       []string         // of entries, in order of their first arrival
	changes     []entry          // the newest changes, by index
	changed     chan struct{}    // closed and replaced at each change that is not immediate, when silence starts or ends, and at close
	server      *http.Server
	address     string
	closed      bool
	timers      []*time.Timer // of updates in transit
}

// entry is an endpoint at one agent, with its delivery in the ledger.
type entry struct {
	Endpoint
	index       uint64 // of the change
	worker      int
	incarnation int
	delivery    *invariant.Delivery // nil: not a worker of the fleet
}

// listen starts a server at a new address. The lock is held unless the agent is not shared yet.
func (a *Agent) listen() error {
	listener, err := net.Listen("tcp", processNet.Host(0)+":0")
	if err != nil {
		return fmt.Errorf("discovery: listening: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveHosts)
	server := &http.Server{Handler: mux}
	a.server = server
	a.address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }() // returns once the agent moves or closes
	return nil
}

// Address returns the address at which the dispatcher reaches the agent.
func (a *Agent) Address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// Move moves the agent to a new address. The old one stops accepting connections immediately, and closes the open ones after
// moveLinger.
func (a *Agent) Move() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	go func() {
		// Shutdown closes the listener immediately. With an open context it would wait for watches, which never end.
		_ = old.Shutdown(canceledContext()) // returns the context's error
		time.Sleep(moveLinger)
		_ = old.Close() // the connections end even if it fails
	}()
	return nil
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// SetDelay sets the factor by which the lag of later updates is multiplied.
func (a *Agent) SetDelay(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delayFactor = factor
}

// Silence stops the agent from serving and applying updates, or resumes both and applies the updates that have arrived meanwhile.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	if !on {
		for _, e := range a.deferred {
			a.apply(e)
		}
		a.deferred = nil
	}
	a.signal()
}

// isSilent reports whether the agent serves nothing.
func (a *Agent) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

// signal wakes all watches. The lock is held.
func (a *Agent) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, t := range a.timers {
		t.Stop()
	}
	a.signal()
	_ = a.server.Close() // the connections end even if it fails
}

// receive applies an update immediately or after the lag of discovery.
func (a *Agent) receive(update EndpointUpdate, immediate bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := entry{Endpoint: update.Endpoint(a.dispatcher), worker: update.Worker, incarnation: update.Incarnation}
	if immediate {
		a.apply(e)
		return
	}
	delay := time.Duration(a.delayFactor * float64(a.lag+time.Duration(a.random.Float64()*float64(a.jitter))))
	due := time.Now().Add(delay)
	if due.Before(a.lastDue) {
		due = a.lastDue.Add(time.Microsecond)
	}
	a.lastDue = due
	a.pending = append(a.pending, e)
	a.timers = append(a.timers, time.AfterFunc(time.Until(due), a.arrive))
}

// arrive applies the oldest update in transit, which may not be the one whose timer fired: timers that are due at almost the same
// time may fire in any order.
func (a *Agent) arrive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.pending[0]
	a.pending = a.pending[1:]
	switch {
	case a.closed:
	case a.silent:
		a.deferred = append(a.deferred, e)
	default:
		a.apply(e)
		a.signal()
	}
}

// apply applies a change to the list and records it. The lock is held.
func (a *Agent) apply(e entry) {
	a.index++
	e.index = a.index
	if e.worker != noWorker {
		e.delivery = &invariant.Delivery{
			Dispatcher: a.dispatcher, Worker: e.worker, Incarnation: e.incarnation, State: e.Status.state(), AtAgent: a.ledger.Now(),
		}
		a.ledger.Delivery(e.delivery)
	}
	if _, ok := a.entries[e.Name]; !ok {
		a.names = append(a.names, e.Name)
	}
	a.entries[e.Name] = e
	a.changes = append(a.changes, e)
	if len(a.changes) > a.keep { // compact the older ones
		a.changes = a.changes[len(a.changes)-a.keep:]
	}
}
