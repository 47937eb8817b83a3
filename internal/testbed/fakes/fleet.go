package fakes

import (
	"fmt"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Limits of the time for which the process of a draining worker runs.
const (
	minDrainTime = time.Second     // beyond the drain grace, so that requests sent too late are recorded
	drainTimeout = 5 * time.Second // after which queued jobs are returned and running ones are lost
)

// Fleet is all workers of a run and their discovery. It is safe for concurrent use.
type Fleet struct {
	Workers   []*Worker
	Discovery *Discovery

	schedule   *scenario.Schedule
	addressFor func(dispatcher int, address string) string // may be nil

	mu      sync.Mutex
	renamed map[int]string // listed name of each renamed worker
	closed  bool
	delayed sync.WaitGroup // goroutines of after
	quit    chan struct{}  // closed by Close
}

// New starts the workers of a schedule; all are up and listed when New returns. addressFor maps a worker's address to the one
// that is listed for a dispatcher; nil lists the worker's own.
func New(schedule *scenario.Schedule, l *invariant.Ledger, requests RequestLookup, addressFor func(dispatcher int, address string) string) (*Fleet, error) {
	terms, list := &schedule.Scenario.Terms, &schedule.Scenario.List
	f := &Fleet{schedule: schedule, addressFor: addressFor, renamed: map[int]string{}, quit: make(chan struct{})}
	cfg := &Config{
		Net: NewNet(), Ledger: l, Requests: requests, Dispatchers: schedule.Scenario.Dispatchers, ReportsProgress: terms.ReportsProgress, IdleClose: terms.IdleClose,
		Fails: failureSource(schedule),
		OnOverload: func(i int) {
			f.after(0, func() { f.publish(i, StatusRemoved, false, false) })
		},
	}
	for i, w := range schedule.Workers {
		f.Workers = append(f.Workers, NewWorker(cfg, w.Name, i, specOf(w, schedule.Scenario)))
	}
	var err error
	f.Discovery, err = NewDiscovery(l, schedule.Scenario.Dispatchers, list.Keep, list.Lag, list.Jitter, scenario.Rand(schedule.Seed, scenario.StreamLag))
	if err != nil {
		return nil, err
	}
	for i, w := range f.Workers {
		if err := w.Start(!schedule.Workers[i].WarmingUp); err != nil {
			f.Close()
			return nil, err
		}
		f.publish(i, StatusUp, schedule.Workers[i].WarmingUp, true)
	}
	return f, nil
}

// failureSource returns the fleet's seeded random source for failing jobs, which is safe for concurrent use.
func failureSource(schedule *scenario.Schedule) func() float64 {
	r := scenario.Rand(schedule.Seed, scenario.StreamFailures)
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

// specOf returns the spec of a worker's machine.
func specOf(w scenario.Worker, s *scenario.Scenario) Spec {
	terms := &s.Terms
	return Spec{
		Kind:               w.Kind,
		Cores:              w.Cores,
		Speed:              w.Speed,
		Memory:             w.Memory,
		Queue:              w.Queue,
		SlowStartMinFactor: terms.SlowStartMinFactor,
		SlowStartWindow:    terms.SlowStartWindow,
		OverloadMultiple:   terms.OverloadMultiple,
		OverloadWindow:     terms.OverloadWindow,
		Progress:           terms.Progress,
		MeanWork:           meanWork(s.Classes),
	}
}

// meanWork returns the mean work of a request, in seconds on a core of speed 1.
func meanWork(classes []scenario.Class) float64 {
	work, shares := 0.0, 0.0
	for _, c := range classes {
		work += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	if shares == 0 {
		return 0
	}
	return work / shares
}

// publish publishes a worker's status in discovery.
func (f *Fleet) publish(i int, status Status, warmingUp, immediate bool) {
	w, d := f.Workers[i], f.schedule.Workers[i]
	since := int64(0)
	if warmingUp {
		since = time.Now().UnixMilli()
	}
	f.Discovery.Publish(EndpointUpdate{Worker: i, Incarnation: w.Incarnation(), Endpoint: func(dispatcher int) Endpoint {
		address := w.Address(dispatcher)
		if f.addressFor != nil && address != "" {
			address = f.addressFor(dispatcher, address)
		}
		return Endpoint{
			Name: f.listedName(i), Address: address, Zone: d.Zone, Type: d.Kind, Group: d.Cell, Status: status,
			Weight: float64(d.Cores), SinceMs: since,
		}
	}}, immediate)
}

// after calls do in a goroutine once wait has passed, unless the fleet is closed first.
func (f *Fleet) after(wait time.Duration, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.delayed.Add(1)
	go func() {
		defer f.delayed.Done()
		select {
		case <-f.quit:
		case <-time.After(wait):
			do()
		}
	}()
}

// Kill ends a worker's process and restarts it, warming up, after downtime.
func (f *Fleet) Kill(i int, downtime time.Duration) {
	f.Down(i)
	f.after(downtime, func() { f.Up(i) })
}

// Drain drains a worker and restarts it, warming up, once its process has been down for downtime.
func (f *Fleet) Drain(i int, downtime time.Duration) {
	f.MarkDraining(i)
	// Like a real worker, it accepts jobs until the update has reached all dispatchers.
	propagation := f.schedule.Scenario.List.Lag + f.schedule.Scenario.List.Jitter
	f.after(propagation, func() {
		drained := f.Workers[i].Drain(f.schedule.Scenario.Terms.DrainGrace+minDrainTime, drainTimeout)
		select {
		case <-drained:
		case <-f.quit:
			return
		}
		f.publish(i, StatusRemoved, false, false)
		f.after(downtime, func() { f.Up(i) })
	})
}

// MarkDraining lists a worker as draining; it continues to accept jobs until Down.
func (f *Fleet) MarkDraining(i int) { f.publish(i, StatusDraining, false, false) }

// Down ends a worker's process and removes the worker from the list, until Up.
func (f *Fleet) Down(i int) {
	f.Workers[i].Kill()
	f.publish(i, StatusRemoved, false, false)
}

// Up restarts a worker, warming up.
func (f *Fleet) Up(i int) {
	if f.Workers[i].Start(false) != nil {
		return // no port is available: the worker stays down and unlisted
	}
	f.publish(i, StatusUp, true, false)
}

// Rename sets the name under which a worker that is down is listed from its next update on.
func (f *Fleet) Rename(i int, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renamed[i] = name
}

// listedName returns the name under which a worker is listed.
func (f *Fleet) listedName(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name, ok := f.renamed[i]; ok {
		return name
	}
	return f.Workers[i].Name
}

// SetDeadEndpoints lists n endpoints where no worker listens, or removes them from the list.
func (f *Fleet) SetDeadEndpoints(n int, on bool) {
	status := StatusUp
	if !on {
		status = StatusRemoved
	}
	for g := range n {
		f.Discovery.Publish(EndpointUpdate{Worker: noWorker, Endpoint: func(int) Endpoint {
			return Endpoint{
				Name: fmt.Sprintf("ghost%d", g+1), Address: fmt.Sprintf("127.0.0.1:%d", g+1), Zone: f.schedule.Scenario.Zones[0],
				Type: f.schedule.Workers[0].Kind, Status: status, Weight: 1,
			}
		}}, false)
	}
}

// Close cancels delayed calls and waits for those in progress, then stops all workers and discovery.
func (f *Fleet) Close() {
	f.mu.Lock()
	if !f.closed {
		f.closed = true
		close(f.quit)
	}
	f.mu.Unlock()
	f.delayed.Wait()
	for _, w := range f.Workers {
		w.Kill()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}
