package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// How long a draining worker stands there: past the grace, so that what is sent too late is seen, and at the most.
const (
	drainStays   = time.Second // past the grace
	drainTimeout = 5 * time.Second
)

// Fleet is all workers with discovery.
type Fleet struct {
	Workers   []*Worker
	Discovery *Discovery

	day           *scenario.Day
	ledger        *invariant.Ledger
	workersByName func(dispatcher int, address string) string

	mu      sync.Mutex
	renamed map[int]string
	stopped bool
	waits   sync.WaitGroup
	quit    chan struct{}
}

// New starts the fleet of a day. All workers are up and listed at once; at is by which address a dispatcher reaches one of a
// worker, nil: by itself.
func New(day *scenario.Day, l *invariant.Ledger, book Book, at func(dispatcher int, address string) string) (*Fleet, error) {
	t := &day.Scenario.Terms
	r := scenario.Rand(day.Seed, scenario.StreamErr)
	var mu sync.Mutex
	cfg := &Config{
		Net: NewNet(), Ledger: l, Book: book, Dispatchers: day.Scenario.Dispatchers, Notes: t.Notes, IdleClose: t.IdleClose,
		Fails: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return r.Float64()
		},
	}
	f := &Fleet{day: day, ledger: l, workersByName: at, renamed: map[int]string{}, quit: make(chan struct{})}
	cfg.OnOverload = func(i int) { f.after(0, func() { f.publish(i, StatusRemoved, false, false) }) }
	for i, w := range day.Workers {
		f.Workers = append(f.Workers, NewWorker(cfg, w.Name, i, SpecOf(w, t)))
	}
	var err error
	f.Discovery, err = NewDiscovery(l, day.Scenario.Dispatchers, day.Scenario.List.Keep, day.Scenario.List.Lag,
		day.Scenario.List.Jitter, scenario.Rand(day.Seed, scenario.StreamLag))
	if err != nil {
		return nil, err
	}
	for i, w := range f.Workers {
		if err := w.Start(!day.Workers[i].WarmingUp); err != nil {
			f.Close()
			return nil, err
		}
		f.publish(i, StatusUp, day.Workers[i].WarmingUp, true)
	}
	return f, nil
}

// SpecOf is what a day's worker can do.
func SpecOf(w scenario.Worker, t *scenario.Terms) Spec {
	return Spec{
		Kind: w.Kind, Cores: w.Cores, Speed: w.Speed, Memory: w.Memory, Queue: w.Queue, SlowStartMinFactor: t.SlowStartMinFactor, SlowStartWindow: t.SlowStartWindow,
		OverloadMultiple: t.OverloadMultiple, OverloadWindow: t.OverloadWindow, Progress: t.Progress,
	}
}

// publish tells discovery how a worker is now.
func (f *Fleet) publish(i int, status string, cold, atOnce bool) {
	w, d := f.Workers[i], f.day.Workers[i]
	since := int64(0)
	if cold {
		since = time.Now().UnixMilli()
	}
	f.Discovery.Publish(EndpointUpdate{Worker: i, Incarnation: w.Incarnation(), Endpoint: func(dispatcher int) Endpoint {
		address := w.Address(dispatcher)
		if f.workersByName != nil && address != "" {
			address = f.workersByName(dispatcher, address)
		}
		return Endpoint{
			Name: f.name(i), Address: address, Zone: d.Zone, Type: d.Kind, Group: d.Cell, Status: status,
			Weight: float64(d.Cores), SinceMs: since,
		}
	}}, atOnce)
}

// after does something later, unless the fleet is closed first.
func (f *Fleet) after(wait time.Duration, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.waits.Add(1)
	go func() {
		defer f.waits.Done()
		select {
		case <-f.quit:
		case <-time.After(wait):
			do()
		}
	}()
}

// Kill ends a worker's process and starts it again cold after a while.
func (f *Fleet) Kill(i int, away time.Duration) {
	f.Workers[i].Kill()
	f.publish(i, StatusRemoved, false, false)
	f.after(away, func() { f.restart(i) })
}

// Drain drains a worker and starts it again cold after a while, counted from its end.
func (f *Fleet) Drain(i int, away time.Duration) {
	f.publish(i, StatusDraining, false, false)
	// It takes jobs until all dispatchers have had time to learn of it, as real ones do.
	learned := f.day.Scenario.List.Lag + f.day.Scenario.List.Jitter
	f.after(learned, func() {
		done := f.Workers[i].Drain(f.day.Scenario.Terms.DrainGrace+drainStays, drainTimeout)
		select {
		case <-done:
		case <-f.quit:
			return
		}
		f.publish(i, StatusRemoved, false, false)
		f.after(away, func() { f.restart(i) })
	})
}

// Leave has a worker be listed as draining; it goes on serving whoever comes, until Down.
func (f *Fleet) Leave(i int) { f.publish(i, StatusDraining, false, false) }

// Down ends a worker's process, until Up.
func (f *Fleet) Down(i int) {
	f.Workers[i].Kill()
	f.publish(i, StatusRemoved, false, false)
}

// Rename has a worker that is down be listed under another name from then on.
func (f *Fleet) Rename(i int, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renamed[i] = name
}

// name is what a worker is listed as.
func (f *Fleet) name(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name, ok := f.renamed[i]; ok {
		return name
	}
	return f.Workers[i].Name
}

// Up starts a worker again, cold.
func (f *Fleet) Up(i int) { f.restart(i) }

func (f *Fleet) restart(i int) {
	if f.Workers[i].Start(false) != nil {
		return // no port is left: it stays away, as the list says
	}
	f.publish(i, StatusUp, true, false)
}

// Ghosts lists workers that are not there, or takes them off the list.
func (f *Fleet) Ghosts(n int, on bool) {
	status := StatusUp
	if !on {
		status = StatusRemoved
	}
	for g := range n {
		f.Discovery.Publish(EndpointUpdate{Worker: -1, Endpoint: func(int) Endpoint {
			return Endpoint{
				Name: fmt.Sprintf("ghost%d", g+1), Address: fmt.Sprintf("127.0.0.1:%d", g+1), Zone: f.day.Scenario.Zones[0],
				Type: f.day.Workers[0].Kind, Status: status, Weight: 1,
			}
		}}, false)
	}
}

// Close ends all workers and discovery.
func (f *Fleet) Close() {
	f.mu.Lock()
	if !f.stopped {
		f.stopped = true
		close(f.quit)
	}
	f.mu.Unlock()
	f.waits.Wait()
	for _, w := range f.Workers {
		w.Kill()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}
