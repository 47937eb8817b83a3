package testbed

import (
	"context"
	"slices"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/scenario"
)

// faultInjector carries the timetable out. Several may hit the same worker at once: what holds there is worked out anew from
// all that are on.
type faultInjector struct {
	run         *run
	misbehaving loadgen.MisbehavingClients

	mu    sync.Mutex
	on    []*scenario.Event
	waits sync.WaitGroup
}

// injectAll begins each trouble at its time and ends it at its end, until ctx ends.
func (injector *faultInjector) injectAll(ctx context.Context) {
	for i := range injector.run.day.Events {
		e := &injector.run.day.Events[i]
		if e.Kind == scenario.Jump || e.Kind == scenario.Flood {
			continue // drawn into the arrivals
		}
		injector.waits.Add(1)
		go func() {
			defer injector.waits.Done()
			if injector.until(ctx, e.At) {
				injector.inject(ctx, e)
			}
		}()
	}
}

// until waits for a moment of the day; false: the run has ended before.
func (injector *faultInjector) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(injector.run.load.Origin() + at - injector.run.ledger.Now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject is the life of one trouble.
func (injector *faultInjector) inject(ctx context.Context, e *scenario.Event) {
	f, length := injector.run.fleet, e.Until-e.At
	switch e.Kind {
	case scenario.WorkerKill:
		for _, w := range e.Workers {
			f.Kill(w, length)
		}
	case scenario.WorkerDrain:
		for _, w := range e.Workers {
			f.Drain(w, length)
		}
	case scenario.Release:
		for k, w := range e.Workers {
			if !injector.until(ctx, e.At+length*time.Duration(k)/time.Duration(len(e.Workers))) {
				return
			}
			f.Drain(w, 0)
		}
	case scenario.WorkerHang, scenario.WorkerSlow, scenario.WorkerErr, scenario.Silent, scenario.LinkPartition,
		scenario.ListLate, scenario.ListSilent:
		injector.set(e, true)
		injector.until(ctx, e.Until)
		injector.set(e, false)
	case scenario.ListWrong:
		f.Ghosts(e.Count, true)
		if injector.until(ctx, e.Until) {
			f.Ghosts(e.Count, false)
		}
	case scenario.ListMove:
		for _, d := range e.Dispatchers {
			if f.Discovery.Agents[d].Move() == nil { //nolint:contextcheck // Move shuts its old server down at once, with a context that has ended
				injector.reload(d)
			}
		}
	case scenario.DispHup:
		for _, d := range e.Dispatchers {
			injector.reload(d)
		}
	case scenario.DispKill, scenario.DispTerm:
		injector.restart(ctx, e)
	case scenario.IdleClients, scenario.MisbehavingClients:
		injector.visit(ctx, e)
	}
}

// set turns a trouble on or off and works out what holds now.
func (injector *faultInjector) set(e *scenario.Event, on bool) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if on {
		injector.on = append(injector.on, e)
	} else {
		injector.on = slices.DeleteFunc(injector.on, func(o *scenario.Event) bool { return o == e })
	}
	switch e.Kind {
	case scenario.ListLate, scenario.ListSilent:
		for _, d := range e.Dispatchers {
			factor, silent := 1.0, false
			for _, o := range injector.on {
				if slices.Contains(o.Dispatchers, d) {
					silent = silent || o.Kind == scenario.ListSilent
					if o.Kind == scenario.ListLate {
						factor *= o.Factor
					}
				}
			}
			injector.run.fleet.Discovery.Agents[d].SetDelay(factor)
			injector.run.fleet.Discovery.Agents[d].Silence(silent)
		}
	case scenario.Silent, scenario.LinkPartition:
		var cuts sync.WaitGroup
		for _, w := range e.Workers {
			for _, d := range e.Dispatchers {
				cut := slices.ContainsFunc(injector.on, func(o *scenario.Event) bool {
					return (o.Kind == scenario.Silent || o.Kind == scenario.LinkPartition) && slices.Contains(o.Workers, w) && slices.Contains(o.Dispatchers, d)
				})
				cuts.Add(1)
				go func() {
					defer cuts.Done()
					injector.run.fleet.Workers[w].Partition(d, cut)
				}()
			}
		}
		cuts.Wait()
	default:
		for _, w := range e.Workers {
			slow, hung, fails := 1.0, false, 0.0
			for _, o := range injector.on {
				if !slices.Contains(o.Workers, w) {
					continue
				}
				switch o.Kind {
				case scenario.WorkerSlow:
					slow *= o.Factor
				case scenario.WorkerHang:
					hung = true
				case scenario.WorkerErr:
					fails = max(fails, o.Share)
				}
			}
			k := injector.run.fleet.Workers[w]
			k.Slow(slow)
			k.Hang(hung)
			k.SetFailureRate(fails)
		}
	}
}

func (injector *faultInjector) reload(d int) {
	k := injector.run.dispatchers[d]
	if k.configure() == nil {
		k.signal(sighup, invariant.Reloaded, invariant.Reloaded)
	}
}

// restart ends dispatchers and starts them again.
func (injector *faultInjector) restart(ctx context.Context, e *scenario.Event) {
	var all sync.WaitGroup
	for _, d := range e.Dispatchers {
		all.Add(1)
		go func() {
			defer all.Done()
			injector.run.restartOne(ctx, d, e.Kind == scenario.DispKill, e.Until-e.At, nil)
		}()
	}
	all.Wait()
}

// visit sends clients that are none.
func (injector *faultInjector) visit(ctx context.Context, e *scenario.Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for _, d := range e.Dispatchers {
		all.Add(1)
		go func() {
			defer all.Done()
			addr := injector.run.dispatchers[d].listen
			if e.Kind == scenario.MisbehavingClients {
				seed := scenario.Rand(injector.run.day.Seed+uint64(d), scenario.StreamMisbehaving).Uint64()
				injector.misbehaving.Run(ctx, addr, injector.run.day.Scenario.Classes[0].Name, e.Count, seed)
			} else {
				loadgen.Idle(ctx, addr, e.Count)
			}
		}()
	}
	injector.until(ctx, e.Until)
	cancel()
	all.Wait()
}
