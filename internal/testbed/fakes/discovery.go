package fakes

import (
	"math/rand/v2"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Status is the status of an endpoint in the discovery protocol.
type Status string

// Values of Endpoint.Status.
const (
	StatusUp       Status = "up"
	StatusDraining Status = "draining"
	StatusRemoved  Status = "removed"
)

// state converts the status to the ledger's state.
func (s Status) state() invariant.State {
	switch s {
	case StatusDraining:
		return invariant.Draining
	case StatusRemoved:
		return invariant.Removed
	default:
		return invariant.Up
	}
}

// Endpoint is one entry of the endpoint list in the discovery protocol.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  Status  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"` // when it started to warm up, in Unix milliseconds; 0: it is warmed up
}

// noWorker is the worker index of an endpoint that is not a worker of the fleet.
const noWorker = -1

// EndpointUpdate is one change of the endpoint list.
type EndpointUpdate struct {
	Worker      int // index in the fleet; -1: not a worker of the fleet
	Incarnation int
	Endpoint    func(dispatcher int) Endpoint // differs by dispatcher in the address
}

// Discovery is the endpoint list, with an agent for each dispatcher.
type Discovery struct {
	Agents []*Agent
}

// NewDiscovery starts the agents. Each keeps the newest keep changes for watches. A change reaches an agent after lag plus a
// random time of up to jitter, drawn from r.
func NewDiscovery(l *invariant.Ledger, dispatchers, keep int, lag, jitter time.Duration, r *rand.Rand) (*Discovery, error) {
	d := &Discovery{}
	for i := range dispatchers {
		a := &Agent{
			ledger: l, dispatcher: i, keep: keep, lag: lag, jitter: jitter, random: rand.New(rand.NewPCG(r.Uint64(), uint64(i))),
			delayFactor: 1, entries: map[string]entry{}, changed: make(chan struct{}),
		}
		if err := a.listen(); err != nil {
			d.Close()
			return nil, err
		}
		d.Agents = append(d.Agents, a)
	}
	return d, nil
}

// Publish sends a change to all agents. If immediate is set, as at the start of a run, they have applied it when Publish returns.
func (d *Discovery) Publish(update EndpointUpdate, immediate bool) {
	for _, a := range d.Agents {
		a.receive(update, immediate)
	}
}

// Close closes all agents.
func (d *Discovery) Close() {
	for _, a := range d.Agents {
		a.close()
	}
}
