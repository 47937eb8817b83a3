package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// statusReport is a member's report to the leader, which renews the member's lease. Durations are in nanoseconds.
type statusReport struct {
	Name string `json:"name"`
	maintenance.MemberReport
	FenceTimeout time.Duration `json:"bound"`
	WarmUp       time.Duration `json:"warm"`
	Plans        bool          `json:"plans"` // maintenance plans are enabled in the member's configuration
	Level        int           `json:"level"` // the highest entry level that the member's build supports
	Unavailable  []string      `json:"down,omitempty"`
	WarmingUp    []string      `json:"cold,omitempty"`
	Disabled     []string      `json:"hand,omitempty"`
}

// leaseGrant is the leader's answer to a statusReport. The lease takes effect once the member has applied all entries up to Index.
type leaseGrant struct {
	Index uint64 `json:"index"`
}

// receivedReport is the last report that the leader received from a member.
type receivedReport struct {
	statusReport
	receivedAt time.Time
}

// renewLoop renews the lease until ctx ends.
func (c *Coordinator) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.renewLease(ctx)
		if err != nil && ctx.Err() == nil {
			c.options.Log.WithError(err).Debug("lease not renewed")
		}
		c.mu.Lock()
		interval := c.renewInterval(err != nil)
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-changed: // the leader needs a report that the change was applied
			sleep(ctx, min(interval, leaderInterval))
		case <-ctx.Done():
		}
	}
}

// renewInterval returns the time until the next renewal: a fraction of the lease duration after a failure or while a plan is open,
// otherwise idleReportInterval. c.mu must be held.
func (c *Coordinator) renewInterval(hasFailed bool) time.Duration {
	isOpen := func(plan *maintenance.PlanState) bool { return plan.Phase != maintenance.PlanEnded }
	if hasFailed || slices.ContainsFunc(c.state.Plans, isOpen) {
		return c.options.Group.LeaseDuration / renewalsPerLease
	}
	return idleReportInterval
}

// renewLease sends a report to the leader and accepts the lease granted by the answer.
func (c *Coordinator) renewLease(ctx context.Context) error {
	current := c.currentMembership()
	if current == nil || c.node() == nil {
		return errOutsideGroup
	}
	ctx, cancel := context.WithTimeout(ctx, max(requestTimeout, c.options.Group.LeaseDuration/2))
	defer cancel()
	startedAt := time.Now() // the lease starts before the report was made
	sent := c.statusReport()
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	raw, err := c.requestLeader(ctx, pathReport, body)
	if isRejectedAs(err, errUnknownIncarnation) {
		current.signalUnknownIncarnation()
	}
	if err != nil {
		return err
	}
	var grant leaseGrant
	if err := json.Unmarshal(raw, &grant); err != nil {
		return err
	}
	return c.acceptLease(ctx, sent, startedAt, grant)
}

// acceptLease puts the lease granted for the report sent into effect, once this member has applied the entries that the grant requires. The
// lease starts at startedAt.
func (c *Coordinator) acceptLease(ctx context.Context, sent statusReport, startedAt time.Time, grant leaseGrant) error {
	if err := c.waitApplied(ctx, grant.Index); err != nil {
		return err
	}
	if failpoint.Enabled(failpoint.OverlongLease) {
		startedAt = startedAt.Add(time.Minute)
	}
	if err := c.markConfirmed(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenceTimeout() != sent.FenceTimeout { // ExtendTimes was called in the meantime, and its fence timeout has to be reported first
		return errFenceTimeout
	}
	c.options.Dispatcher.SetLeaseExpiry(startedAt.Add(c.options.Group.LeaseDuration))
	c.options.Dispatcher.SetPlansUnknown(false)
	return nil
}

// markConfirmed records in the storage that the group has confirmed this incarnation. Further calls do nothing.
func (c *Coordinator) markConfirmed(ctx context.Context) error {
	current, node := c.currentMembership(), c.node()
	if current == nil || node == nil || current.confirmed {
		return nil
	}
	if err := node.MarkConfirmed(ctx); err != nil {
		return err
	}
	current.confirmed = true
	return nil
}

// statusReport returns this member's report. It reads the applied index before the busy workers, so that at least the reported entries were
// in effect when the workers were observed.
func (c *Coordinator) statusReport() statusReport {
	node := c.node()
	c.mu.Lock()
	current := c.membership
	maxAttemptLifetime := c.maxAttemptLifetime
	report := statusReport{
		Name:         c.options.Self,
		FenceTimeout: c.fenceTimeout(),
		WarmUp:       c.warmUp,
		Plans:        c.options.Group.MaintenancePlans,
		Level:        maintenance.SupportedLevel(),
	}
	c.mu.Unlock()
	if node == nil || current == nil {
		return report
	}
	alive, _ := c.options.Siblings()
	report.Incarnation = current.identity.Incarnation
	report.Applied = node.Status().Applied
	// Attempts of an earlier process may still run at workers, and another live process may send based on an older state.
	report.SoleProcess = alive == 0 && time.Since(current.startedAt) > maxAttemptLifetime
	report.BusyWorkers, report.BusyHosts = c.options.Dispatcher.BusyWorkers()
	for _, worker := range c.options.Dispatcher.WorkerStatuses(goneWorkerRetention, report.WarmUp) {
		if worker.Unavailable {
			report.Unavailable = append(report.Unavailable, worker.Name)
		}
		if worker.WarmingUp {
			report.WarmingUp = append(report.WarmingUp, worker.Name)
		}
		if worker.Disabled {
			report.Disabled = append(report.Disabled, worker.Name)
		}
	}
	return report
}

// handleReport handles a member's statusReport at the leader and grants the member a lease.
func (c *Coordinator) handleReport(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return peer.ServeJSON(body, peer.RejectMalformed[*leaseGrant]("malformed report: "), func(report *statusReport) (*leaseGrant, error) {
		return c.serveReport(ctx, report)
	})
}

// serveReport records a member's report and grants a lease that requires the index of a read barrier.
func (c *Coordinator) serveReport(ctx context.Context, report *statusReport) (*leaseGrant, error) {
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	index, err := c.readBarrier(ctx, node)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[report.Name]
	if member == nil || member.Incarnation != report.Incarnation {
		return nil, errUnknownIncarnation
	}
	c.lastReports[report.Name] = receivedReport{*report, time.Now()}
	// The group would not wait long enough for this member's lease and attempts to end if the member became silent.
	if c.state.FenceTimeout < report.FenceTimeout {
		return nil, errFenceTimeout
	}
	return &leaseGrant{Index: index}, nil
}
