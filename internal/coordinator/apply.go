package coordinator

import (
	"context"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/engine"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
)

// restoredStateGrace is the time after the start of a membership during which failpoint.IgnoreRestoredState applies.
const restoredStateGrace = 2 * time.Second

// Apply implements consensus.StateMachine. It applies a committed command to the state, and sets the resulting restrictions at the
// dispatcher.
func (c *Coordinator) Apply(index uint64, data []byte) {
	events, restrictions := c.applyEntry(index, data)
	if len(events) > 0 && !c.ignoresRestoredState() {
		c.options.Dispatcher.SetRestrictions(restrictions)
	}
	for _, event := range events {
		log := c.options.Log.WithField("index", index)
		if event.Plan != "" {
			log = log.WithField("plan", event.Plan)
		}
		if event.Machine != "" {
			log = log.WithField("machine", event.Machine)
		}
		log.WithField("event", event.Text).Info("entry applied")
	}
	c.notifyChanged()
}

// applyEntry applies a command to the state. It panics if the command requires a newer build, which stops the node: see consensus.Node.
func (c *Coordinator) applyEntry(index uint64, data []byte) ([]maintenance.Event, engine.Restrictions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previousSeq := c.state.Seq
	events := c.state.Apply(index, data)
	if c.state.Seq != previousSeq {
		c.seqChangedAt = time.Now()
	}
	return events, restrictionsOf(c.state)
}

// Snapshot implements consensus.StateMachine.
func (c *Coordinator) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Encode()
}

// Restore implements consensus.StateMachine.
func (c *Coordinator) Restore(data []byte) error {
	state, err := maintenance.Decode(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.state = state
	c.seqChangedAt = time.Now()
	restrictions := restrictionsOf(state)
	c.mu.Unlock()
	if !c.ignoresRestoredState() {
		c.options.Dispatcher.SetRestrictions(restrictions)
	}
	c.notifyChanged()
	return nil
}

// restrictionsOf returns the restrictions that a state imposes on the dispatcher.
func restrictionsOf(state *maintenance.State) engine.Restrictions {
	underMaintenance, leased := state.Excluded(), state.Leased()
	return engine.Restrictions{
		MaintenanceWorkers: underMaintenance.Workers,
		MaintenanceHosts:   underMaintenance.Hosts,
		LeasedWorkers:      leased.Workers,
		LeasedHosts:        leased.Hosts,
	}
}

// ignoresRestoredState reports whether failpoint.IgnoreRestoredState currently withholds the state from the dispatcher.
func (c *Coordinator) ignoresRestoredState() bool {
	if !failpoint.Enabled(failpoint.IgnoreRestoredState) {
		return false
	}
	current := c.currentMembership()
	return current == nil || time.Since(current.startedAt) < restoredStateGrace
}

// notifyChanged wakes the goroutines that are waiting for a change of the state.
func (c *Coordinator) notifyChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// readBarrier waits until this member has applied every entry committed before the call, and returns the index up to which it has. By then,
// a quorum has confirmed since the call that this member is the leader.
func (c *Coordinator) readBarrier(ctx context.Context, node *consensus.Node) (index uint64, err error) {
	index, err = node.ReadIndex(ctx)
	if err != nil {
		return 0, err
	}
	return index, c.waitApplied(ctx, index)
}

// waitApplied waits until this member has applied all entries up to index.
func (c *Coordinator) waitApplied(ctx context.Context, index uint64) error {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		node := c.node()
		if node == nil {
			return errOutsideGroup
		}
		if node.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(appliedPollInterval): // raft's internal entries do not change the state
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForState waits until condition returns true. It checks condition now and after each change of the state, with c.mu held.
func (c *Coordinator) waitForState(ctx context.Context, condition func(*maintenance.State) bool) error {
	for {
		c.mu.Lock()
		holds, changed := condition(c.state), c.changed
		c.mu.Unlock()
		if holds {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
