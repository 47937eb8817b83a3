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

// troubles carries the timetable out. Several may hit the same worker at once: what holds there is worked out anew from
// all that are on.
type troubles struct {
	run  *run
	rude loadgen.Rude

	mu    sync.Mutex
	on    []*scenario.Event
	waits sync.WaitGroup
}

// play begins each trouble at its time and ends it at its end, until ctx ends.
func (t *troubles) play(ctx context.Context) {
	for i := range t.run.day.Events {
		e := &t.run.day.Events[i]
		if e.Kind == scenario.Jump || e.Kind == scenario.Flood {
			continue // drawn into the arrivals
		}
		t.waits.Add(1)
		go func() {
			defer t.waits.Done()
			if t.until(ctx, e.At) {
				t.one(ctx, e)
			}
		}()
	}
}

// until waits for a moment of the day; false: the run has ended before.
func (t *troubles) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(t.run.load.Origin() + at - t.run.ledger.Now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// one is the life of one trouble.
func (t *troubles) one(ctx context.Context, e *scenario.Event) {
	f, length := t.run.fleet, e.Until-e.At
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
			if !t.until(ctx, e.At+length*time.Duration(k)/time.Duration(len(e.Workers))) {
				return
			}
			f.Drain(w, 0)
		}
	case scenario.WorkerHang, scenario.WorkerSlow, scenario.WorkerErr, scenario.Silent, scenario.LinkCut,
		scenario.ListLate, scenario.ListSilent:
		t.set(e, true)
		t.until(ctx, e.Until)
		t.set(e, false)
	case scenario.ListWrong:
		f.Ghosts(e.Count, true)
		if t.until(ctx, e.Until) {
			f.Ghosts(e.Count, false)
		}
	case scenario.ListMove:
		for _, d := range e.Dispatchers {
			if f.Discovery.Agents[d].Move() == nil { //nolint:contextcheck // Move shuts its old server down at once, with a context that has ended
				t.reload(d)
			}
		}
	case scenario.DispHup:
		for _, d := range e.Dispatchers {
			t.reload(d)
		}
	case scenario.DispKill, scenario.DispTerm:
		t.restart(ctx, e)
	case scenario.IdleClients, scenario.Rude:
		t.visit(ctx, e)
	}
}

// set turns a trouble on or off and works out what holds now.
func (t *troubles) set(e *scenario.Event, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.on = append(t.on, e)
	} else {
		t.on = slices.DeleteFunc(t.on, func(o *scenario.Event) bool { return o == e })
	}
	switch e.Kind {
	case scenario.ListLate, scenario.ListSilent:
		for _, d := range e.Dispatchers {
			factor, silent := 1.0, false
			for _, o := range t.on {
				if slices.Contains(o.Dispatchers, d) {
					silent = silent || o.Kind == scenario.ListSilent
					if o.Kind == scenario.ListLate {
						factor *= o.Factor
					}
				}
			}
			t.run.fleet.Discovery.Agents[d].Late(factor)
			t.run.fleet.Discovery.Agents[d].Silence(silent)
		}
	case scenario.Silent, scenario.LinkCut:
		var cuts sync.WaitGroup
		for _, w := range e.Workers {
			for _, d := range e.Dispatchers {
				cut := slices.ContainsFunc(t.on, func(o *scenario.Event) bool {
					return (o.Kind == scenario.Silent || o.Kind == scenario.LinkCut) && slices.Contains(o.Workers, w) && slices.Contains(o.Dispatchers, d)
				})
				cuts.Add(1)
				go func() {
					defer cuts.Done()
					t.run.fleet.Workers[w].Cut(d, cut)
				}()
			}
		}
		cuts.Wait()
	default:
		for _, w := range e.Workers {
			slow, hung, fails := 1.0, false, 0.0
			for _, o := range t.on {
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
			k := t.run.fleet.Workers[w]
			k.Slow(slow)
			k.Hang(hung)
			k.Err(fails)
		}
	}
}

func (t *troubles) reload(d int) {
	k := t.run.dispatchers[d]
	if k.configure() == nil {
		k.signal(sighup, invariant.Reloaded, invariant.Reloaded)
	}
}

// restart ends dispatchers and starts them again.
func (t *troubles) restart(ctx context.Context, e *scenario.Event) {
	var all sync.WaitGroup
	for _, d := range e.Dispatchers {
		all.Add(1)
		go func() {
			defer all.Done()
			t.run.restartOne(ctx, d, e.Kind == scenario.DispKill, e.Until-e.At, nil)
		}()
	}
	all.Wait()
}

// visit sends clients that are none.
func (t *troubles) visit(ctx context.Context, e *scenario.Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for _, d := range e.Dispatchers {
		all.Add(1)
		go func() {
			defer all.Done()
			addr := t.run.dispatchers[d].listen
			if e.Kind == scenario.Rude {
				seed := scenario.Rand(t.run.day.Seed+uint64(d), scenario.StreamRude).Uint64()
				t.rude.Play(ctx, addr, t.run.day.Scenario.Classes[0].Name, e.Count, seed)
			} else {
				loadgen.Idle(ctx, addr, e.Count)
			}
		}()
	}
	t.until(ctx, e.Until)
	cancel()
	all.Wait()
}
