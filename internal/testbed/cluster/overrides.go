package cluster

import (
	"context"
	"sync"
	"time"

	"birchfork/internal/gossip"
)

// Override is an override of a worker that the timetable writes at a member.
type Override struct {
	Member   int           `toml:"member"`
	Worker   int           `toml:"worker"` // number of a worker that is in no plan
	Disabled bool          `toml:"out"`
	At       time.Duration `toml:"at"` // relative to the moment at which the plan runs

	isLast bool // written after all others have been acknowledged
}

// writtenOverride is an override that a member acknowledged. Times are on the ledger's clock.
type writtenOverride struct {
	Override
	name                        string // of the worker
	requestedAt, acknowledgedAt time.Duration
	seenBy                      map[int]bool // if it disables: members that have reported it
}

// overrideReply is a member's reply to a call for its overrides. requestedAt is on the ledger's clock.
type overrideReply struct {
	requestedAt time.Duration
	reply       *gossip.Reply
}

const (
	// convergenceInterval is the interval between polls of a member's overrides, and so the resolution of the convergence time.
	convergenceInterval = 20 * time.Millisecond

	// coarseConvergenceInterval is the polling interval in scenarios with random faults, because many of these scenarios run in parallel.
	coarseConvergenceInterval = 200 * time.Millisecond
)

// startOverrides starts goroutines in group that write and poll overrides, if the scenario has any.
func (h *harness) startOverrides(ctx context.Context, group *sync.WaitGroup) {
	if len(h.options.Overrides) == 0 {
		return
	}
	for member := range h.addresses {
		group.Go(func() { h.pollOverrides(ctx, member) })
	}
	var earlier sync.WaitGroup
	for _, o := range h.options.Overrides {
		if !o.isLast {
			earlier.Go(func() { h.writeOverride(ctx, o) })
		}
	}
	for _, o := range h.options.Overrides {
		if o.isLast {
			group.Go(func() {
				from := h.environment.Ledger().Now()
				earlier.Wait() // a member that is down acknowledges overrides late
				o.At -= h.environment.Ledger().Now() - from
				h.writeOverride(ctx, o)
			})
		}
	}
	group.Go(earlier.Wait)
}

// writeOverride waits for the override's time and then repeats the write at its member until it is acknowledged.
func (h *harness) writeOverride(ctx context.Context, o Override) {
	sleep(ctx, o.At)
	if ctx.Err() != nil {
		return
	}
	ledger := h.environment.Ledger()
	written := writtenOverride{Override: o, name: h.environment.Schedule().Workers[o.Worker].Name, requestedAt: ledger.Now()}
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		r, err := gossip.CallMember(ctx, h.addresses[o.Member], gossip.Call{Worker: written.name, Disabled: o.Disabled})
		if err != nil || r.Invalid {
			continue // the member is down or does not know the worker yet
		}
		written.acknowledgedAt = ledger.Now()
		h.mu.Lock()
		h.writtenOverrides = append(h.writtenOverrides, written)
		h.mu.Unlock()
		return
	}
}

// pollOverrides polls and records the overrides of a member until ctx ends.
func (h *harness) pollOverrides(ctx context.Context, member int) {
	interval := convergenceInterval
	if h.options.RandomFaults > 0 {
		interval = coarseConvergenceInterval
	}
	for ; ctx.Err() == nil; sleep(ctx, interval) {
		requestedAt := h.environment.Ledger().Now()
		r, err := gossip.CallMember(ctx, h.addresses[member], gossip.Call{})
		if err != nil {
			continue
		}
		h.mu.Lock()
		h.overrideReplies[member] = overrideReply{requestedAt, r}
		h.recordConvergence(member, r)
		h.mu.Unlock()
	}
}

// recordConvergence records which disabling overrides a member has, and how long each took to reach the last member. The caller holds
// the lock.
func (h *harness) recordConvergence(member int, r *gossip.Reply) {
	for _, status := range r.Overrides {
		for i := range h.writtenOverrides {
			o := &h.writtenOverrides[i]
			if o.name != status.Worker || !o.Disabled || !status.Disabled || o.seenBy[member] {
				continue
			}
			if o.seenBy == nil {
				o.seenBy = map[int]bool{}
			}
			o.seenBy[member] = true
			if len(o.seenBy) == len(h.addresses) {
				h.result.Convergence = append(h.result.Convergence, max(h.environment.Ledger().Now()-o.acknowledgedAt, 0))
			}
		}
	}
}
