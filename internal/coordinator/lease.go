package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// statusReport is a member's word to the leader.
type statusReport struct {
	Name string `json:"name"`
	maintenance.MemberReport
	FenceTimeout time.Duration `json:"bound"`
	WarmUp       time.Duration `json:"warm"`
	Plans        bool          `json:"plans"`
	Level        int           `json:"level"` // what its build knows of entries
	Unavailable  []string      `json:"down,omitempty"`
	WarmingUp    []string      `json:"cold,omitempty"`
	Disabled     []string      `json:"hand,omitempty"`
}

// leaseGrant is the leader's answer: what the member has to have in force for its lease to count.
type leaseGrant struct {
	Index uint64 `json:"index"`
}

// receivedReport is what a member told last.
type receivedReport struct {
	statusReport
	receivedAt time.Time
}

// renewLoop renews the lease again and again.
func (c *Coordinator) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.renewLease(ctx)
		if err != nil && ctx.Err() == nil {
			c.options.Log.WithError(err).Debug("the group's lease was not renewed")
		}
		interval := idleReportInterval
		c.mu.Lock()
		if err != nil || slices.ContainsFunc(c.state.Plans, func(plan *maintenance.PlanState) bool { return plan.Phase != maintenance.PlanEnded }) {
			interval = c.options.Group.LeaseDuration / renewalsPerLease
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-changed: // what has just been put in force is told soon
			sleep(ctx, min(interval, leaderInterval))
		case <-ctx.Done():
		}
	}
}

// renewLease tells the leader how things are here, and takes the lease that its answer grants.
func (c *Coordinator) renewLease(ctx context.Context) error {
	if c.node() == nil {
		return errOutsideGroup
	}
	ctx, cancel := context.WithTimeout(ctx, max(requestTimeout, c.options.Group.LeaseDuration/2))
	defer cancel()
	startedAt := time.Now() // the lease counts from before we ask
	sent := c.statusReport()
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	raw, err := c.requestLeader(ctx, pathReport, body)
	var rejected *peer.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == errUnknownIncarnation.Reason {
		c.mu.Lock()
		if c.membership != nil {
			select {
			case c.membership.unknownIncarnation <- struct{}{}:
			default:
			}
		}
		c.mu.Unlock()
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

// acceptLease takes a lease that was asked for with a word, at a moment, once all that it rests on is in force here.
func (c *Coordinator) acceptLease(ctx context.Context, sent statusReport, startedAt time.Time, grant leaseGrant) error {
	if err := c.waitApplied(ctx, grant.Index); err != nil {
		return err
	}
	if failpoint.Enabled(failpoint.OverlongLease) {
		startedAt = startedAt.Add(time.Minute)
	}
	if node := c.node(); node != nil && !c.confirmed {
		if err := node.MarkConfirmed(ctx); err != nil {
			return err
		}
		c.confirmed = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenceTimeout() != sent.FenceTimeout { // attempts may run for longer since: that is told first
		return errFenceTimeout
	}
	c.options.Dispatcher.SetLeaseExpiry(startedAt.Add(c.options.Group.LeaseDuration))
	c.options.Dispatcher.SetPlansUnknown(false)
	return nil
}

// statusReport is our word. What is in force is read first: what is busy is then seen after it bound.
func (c *Coordinator) statusReport() statusReport {
	node := c.node()
	c.mu.Lock()
	current := c.membership
	report := statusReport{Name: c.options.Self, FenceTimeout: c.fenceTimeout(), WarmUp: c.warmUp, Plans: c.options.Group.MaintenancePlans, Level: maintenance.SupportedLevel()}
	maxAttempt := c.maxAttempt
	c.mu.Unlock()
	if node == nil || current == nil {
		return report
	}
	alive, _ := c.options.Siblings()
	report.Incarnation, report.Applied = current.identity.Incarnation, node.Status().Applied
	// A process of ours that ended may have left attempts behind; one that lives may send by what it knew.
	report.SoleProcess = alive == 0 && time.Since(current.startedAt) > maxAttempt
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

// handleReport takes a member's word and grants it a lease, at the leader.
func (c *Coordinator) handleReport(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var report statusReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, &peer.RejectedError{Reason: "no report: " + err.Error()}
	}
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	index, err := node.ReadIndex(ctx) // a quorum confirms that we lead still, after the member asked
	if err != nil {
		return nil, err
	}
	if err := c.waitApplied(ctx, index); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[report.Name]
	if member == nil || member.Incarnation != report.Incarnation {
		return nil, errUnknownIncarnation
	}
	c.lastReports[report.Name] = receivedReport{report, time.Now()}
	// Guards against a member with a longer lease than the group waits for.
	if c.state.FenceTimeout < report.FenceTimeout {
		return nil, errFenceTimeout
	}
	return json.Marshal(leaseGrant{Index: index})
}
