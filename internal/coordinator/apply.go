package coordinator

import (
	"context"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
)

// restrictionsOf is what a state binds a dispatcher to.
func restrictionsOf(state *maintenance.State) engine.Restrictions {
	underMaintenance, leased := state.InMaintenance(), state.Leased()
	return engine.Restrictions{MaintenanceWorkers: underMaintenance.Workers, MaintenanceHosts: underMaintenance.Hosts, LeasedWorkers: leased.Workers, LeasedHosts: leased.Hosts}
}

// Apply puts a settled entry in force; agree calls it.
func (c *Coordinator) Apply(index uint64, data []byte) {
	events, restrictions := c.applyEntry(index, data)
	if len(events) > 0 && !c.ignoresRestored() {
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
		log.WithField("what", event.Text).Info("settled")
	}
	c.notifyChanged()
}

// applyEntry changes the state by an entry. It panics at one of a newer build, and the agreement's loop ends our part then.
func (c *Coordinator) applyEntry(index uint64, data []byte) ([]maintenance.Event, engine.Restrictions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previousSeq := c.state.Seq
	events := c.state.Apply(index, data)
	if c.state.Seq != previousSeq {
		c.seqSince = time.Now()
	}
	return events, restrictionsOf(c.state)
}

func (c *Coordinator) notifyChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot is the settled state; agree calls it.
func (c *Coordinator) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Encode()
}

// Restore takes a settled state over; agree calls it.
func (c *Coordinator) Restore(data []byte) error {
	state, err := maintenance.Decode(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.state, c.seqSince = state, time.Now()
	restrictions := restrictionsOf(state)
	c.mu.Unlock()
	if !c.ignoresRestored() {
		c.options.Dispatcher.SetRestrictions(restrictions)
	}
	c.notifyChanged()
	return nil
}

// ignoresRestored tells whether a planted fault passes over what is settled already at the start.
func (c *Coordinator) ignoresRestored() bool {
	if !failpoint.Enabled(failpoint.IgnoreRestoredState) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership == nil || time.Since(c.membership.startedAt) < 2*time.Second
}

// waitApplied waits until all up to an index is in force here.
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
		case <-time.After(10 * time.Millisecond): // entries of raft's own change no state
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForState waits for a state.
func (c *Coordinator) waitForState(ctx context.Context, condition func(*maintenance.State) bool) error {
	for {
		c.mu.Lock()
		met, changed := condition(c.state), c.changed
		c.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
