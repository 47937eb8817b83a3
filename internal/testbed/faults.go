package testbed

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/scenario"
)

// faultInjector injects the faults of a run at their times. Several may affect the same worker, link or discovery agent at
// once, so its state is computed from all active faults whenever one begins or ends.
type faultInjector struct {
	run         *run
	misbehaving loadgen.MisbehavingClients

	mu      sync.Mutex
	active  []*scenario.Event
	running sync.WaitGroup // the goroutines of faults and of Options.Alongside
}

// injectAll starts a goroutine for each fault, which injects it at its time and ends it after its duration or when ctx ends.
func (injector *faultInjector) injectAll(ctx context.Context) {
	for i := range injector.run.schedule.Events {
		e := &injector.run.schedule.Events[i]
		if e.Kind == scenario.TrafficJump || e.Kind == scenario.TenantFlood {
			continue // part of the generated arrivals
		}
		injector.running.Add(1)
		go func() {
			defer injector.running.Done()
			if injector.waitUntil(ctx, e.At) {
				injector.inject(ctx, e)
			}
		}()
	}
}

// waitUntil waits until a time, measured from the start of the load. It returns false if ctx ends first.
func (injector *faultInjector) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(injector.run.load.Origin() + at - injector.run.ledger.Now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject carries out one fault from its beginning to its end.
func (injector *faultInjector) inject(ctx context.Context, e *scenario.Event) {
	fleet, length := injector.run.fleet, e.Until-e.At
	switch e.Kind {
	case scenario.WorkerKill:
		for _, w := range e.Workers {
			fleet.Kill(w, length)
		}
	case scenario.WorkerDrain:
		for _, w := range e.Workers {
			fleet.Drain(w, length)
		}
	case scenario.Release:
		injector.release(ctx, e)
	case scenario.WorkerHang, scenario.WorkerSlow, scenario.WorkerErrors, scenario.MachineSilent, scenario.LinkPartition,
		scenario.ListLate, scenario.ListSilent:
		injector.setActive(e, true)
		injector.waitUntil(ctx, e.Until)
		injector.setActive(e, false)
	case scenario.ListWrong:
		fleet.SetDeadEndpoints(e.Count, true)
		if injector.waitUntil(ctx, e.Until) {
			fleet.SetDeadEndpoints(e.Count, false)
		}
	case scenario.ListMove:
		for _, d := range e.Dispatchers {
			if fleet.Discovery.Agents[d].Move() == nil { //nolint:contextcheck // Move shuts its old server down at once, with a context that has ended
				injector.reload(d)
			}
		}
	case scenario.DispatcherReload:
		for _, d := range e.Dispatchers {
			injector.reload(d)
		}
	case scenario.DispatcherKill, scenario.DispatcherTerminate:
		injector.restart(ctx, e)
	case scenario.IdleClients, scenario.MisbehavingClients:
		injector.runClients(ctx, e)
	}
}

// release drains the workers of a fault one after the other, evenly spread over its duration. Each worker starts again at
// once.
func (injector *faultInjector) release(ctx context.Context, e *scenario.Event) {
	length, count := e.Until-e.At, time.Duration(len(e.Workers))
	for i, w := range e.Workers {
		if !injector.waitUntil(ctx, e.At+length*time.Duration(i)/count) {
			return
		}
		injector.run.fleet.Drain(w, 0)
	}
}

// setActive begins or ends a fault and updates the state of everything that it affects.
func (injector *faultInjector) setActive(e *scenario.Event, active bool) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if active {
		injector.active = append(injector.active, e)
	} else {
		injector.active = slices.DeleteFunc(injector.active, func(other *scenario.Event) bool { return other == e })
	}
	switch e.Kind {
	case scenario.ListLate, scenario.ListSilent:
		for _, d := range e.Dispatchers {
			injector.applyToDiscovery(d)
		}
	case scenario.MachineSilent, scenario.LinkPartition:
		injector.applyToLinks(e.Workers, e.Dispatchers)
	default:
		for _, w := range e.Workers {
			injector.applyToWorker(w)
		}
	}
}

// applyToDiscovery sets the delay and the silence of a dispatcher's discovery agent. The caller holds mu.
func (injector *faultInjector) applyToDiscovery(dispatcher int) {
	delay, silent := 1.0, false
	for _, e := range injector.active {
		if !slices.Contains(e.Dispatchers, dispatcher) {
			continue
		}
		switch e.Kind {
		case scenario.ListSilent:
			silent = true
		case scenario.ListLate:
			delay *= e.Factor
		}
	}
	agent := injector.run.fleet.Discovery.Agents[dispatcher]
	agent.SetDelay(delay)
	agent.Silence(silent)
}

// applyToLinks partitions or heals the links between workers and dispatchers. The caller holds mu.
func (injector *faultInjector) applyToLinks(workers, dispatchers []int) {
	var links sync.WaitGroup
	for _, w := range workers {
		for _, d := range dispatchers {
			partitioned := injector.isPartitioned(w, d)
			links.Add(1)
			go func() {
				defer links.Done()
				injector.run.fleet.Workers[w].Partition(d, partitioned)
			}()
		}
	}
	links.Wait()
}

// isPartitioned reports whether an active fault partitions the link between a worker and a dispatcher. The caller holds mu.
func (injector *faultInjector) isPartitioned(worker, dispatcher int) bool {
	return slices.ContainsFunc(injector.active, func(e *scenario.Event) bool {
		partitions := e.Kind == scenario.MachineSilent || e.Kind == scenario.LinkPartition
		return partitions && slices.Contains(e.Workers, worker) && slices.Contains(e.Dispatchers, dispatcher)
	})
}

// applyToWorker sets the slowdown, the hang and the failure rate of a worker. The caller holds mu.
func (injector *faultInjector) applyToWorker(worker int) {
	slowdown, hung, failureRate := 1.0, false, 0.0
	for _, e := range injector.active {
		if !slices.Contains(e.Workers, worker) {
			continue
		}
		switch e.Kind {
		case scenario.WorkerSlow:
			slowdown *= e.Factor
		case scenario.WorkerHang:
			hung = true
		case scenario.WorkerErrors:
			failureRate = max(failureRate, e.Share)
		}
	}
	w := injector.run.fleet.Workers[worker]
	w.Slow(slowdown)
	w.Hang(hung)
	w.SetFailureRate(failureRate)
}

// reload writes a dispatcher's current configuration and sends it SIGHUP.
func (injector *faultInjector) reload(dispatcher int) {
	d := injector.run.dispatchers[dispatcher]
	if d.writeConfig() == nil {
		d.signal(syscall.SIGHUP, invariant.Reloaded, invariant.Reloaded)
	}
}

// restart ends dispatchers and starts them again.
func (injector *faultInjector) restart(ctx context.Context, e *scenario.Event) {
	var restarts sync.WaitGroup
	for _, d := range e.Dispatchers {
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			injector.run.restartDispatcher(ctx, d, e.Kind == scenario.DispatcherKill, e.Until-e.At, nil)
		}()
	}
	restarts.Wait()
}

// runClients runs idle or misbehaving clients at dispatchers until the fault ends.
func (injector *faultInjector) runClients(ctx context.Context, e *scenario.Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	schedule := injector.run.schedule
	var clients sync.WaitGroup
	for _, d := range e.Dispatchers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			address := injector.run.dispatchers[d].listen
			if e.Kind == scenario.IdleClients {
				loadgen.HoldIdleConnections(ctx, address, e.Count)
				return
			}
			seed := scenario.Rand(schedule.Seed+uint64(d), scenario.StreamMisbehaving).Uint64()
			injector.misbehaving.Run(ctx, address, schedule.Scenario.Classes[0].Name, e.Count, seed)
		}()
	}
	injector.waitUntil(ctx, e.Until)
	cancel()
	clients.Wait()
}
