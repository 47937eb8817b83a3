package fakes

import (
	"math/rand/v2"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Status is the status of an endpoint, as discovery's protocol has it.
type Status string

// The statuses.
const (
	StatusUp       Status = "up"
	StatusDraining Status = "draining"
	StatusRemoved  Status = "removed"
)

// state returns the ledger's term for a status.
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

// Endpoint is one entry of the endpoint list, as discovery's protocol has it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  Status  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"` // when it started to warm up, in Unix milliseconds; 0: it is warm
}

// noWorker is the index of an endpoint behind which there is no worker of the fleet.
const noWorker = -1

// EndpointUpdate is one change of the endpoint list.
type EndpointUpdate struct {
	Worker      int // index in the fleet, or -1 for none
	Incarnation int
	Endpoint    func(dispatcher int) Endpoint // as each dispatcher gets it: the addresses differ
}

// Discovery is the endpoint list, with an agent for each dispatcher.
type Discovery struct {
	Agents []*Agent
}

// NewDiscovery starts the agents. Each keeps the newest keep changes for watches; a change takes lag and up to jitter more,
// drawn from r, to reach an agent.
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

// Publish sends a change to all agents; with immediate they have it when Publish returns, as at the start of a run.
func (d *Discovery) Publish(update EndpointUpdate, immediate bool) {
	for _, a := range d.Agents {
		a.receive(update, immediate)
	}
}

// Close ends all agents.
func (d *Discovery) Close() {
	for _, a := range d.Agents {
		a.close()
	}
}
