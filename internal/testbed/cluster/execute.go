package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed"
)

const (
	// bootstrapInterval is the interval between calls while the group or its plan starts.
	bootstrapInterval = 50 * time.Millisecond

	// retryInterval is the interval between retries of a call.
	retryInterval = 100 * time.Millisecond

	// statusInterval is the interval between status calls to a member.
	statusInterval = 100 * time.Millisecond
)

// execute bootstraps the group and runs the operators and faults of the scenario alongside the testbed's load. It returns when they have
// finished or ctx ends.
func (h *harness) execute(ctx context.Context, environment *testbed.Environment) {
	h.environment = environment
	var group sync.WaitGroup
	defer group.Wait()
	if err := h.formGroup(ctx); err != nil {
		h.recordStatus("bootstrapping the group: " + err.Error())
		return
	}
	for member := range h.addresses {
		group.Go(func() { h.pollStatus(ctx, member) })
	}
	if h.options.OlderBuild > 0 {
		group.Go(func() { h.replaceOlderBuild(ctx) })
	}
	if h.options.JoiningMember > 0 {
		group.Go(func() { h.joinMember(ctx) })
	}
	planned := h.options.Machines > 0 && !h.options.WithoutPlan
	if planned && !h.startPlans(ctx) {
		return
	}
	h.result.Origin = h.environment.Ledger().Now()
	atOrigin := h.usage(ctx)
	defer func() { h.recordUsage(atOrigin, h.usage(context.WithoutCancel(ctx))) }()
	if h.options.Reconfigured {
		group.Go(func() { h.reconfigure(ctx) })
	}
	for _, f := range h.result.Faults {
		group.Go(func() { h.injectFault(ctx, f) })
	}
	h.startOverrides(ctx, &group)
	if h.options.WithoutPlan {
		h.maintainWithoutPlan(ctx)
	}
	if planned {
		for machine := range h.options.Machines {
			group.Go(func() { h.maintainMachine(ctx, machine) })
		}
		h.repeatPause(ctx)
	}
	group.Wait()
}

// formGroup bootstraps the group and waits until all members have joined.
func (h *harness) formGroup(ctx context.Context) error {
	last, err := h.bootstrap(ctx)
	if err != nil {
		return err
	}
	return h.awaitMembers(ctx, last)
}

// bootstrap calls the members, beginning with the first, until one has bootstrapped the group. It returns the text of the last reply.
func (h *harness) bootstrap(ctx context.Context) (last string, err error) {
	for ; ctx.Err() == nil; sleep(ctx, bootstrapInterval) {
		r, err := h.clientFrom(0).Do(ctx, coordinator.Call{Bootstrap: true})
		if err != nil {
			return "", err
		}
		last = r.Text
		if r.Code == maintenance.CodeOK {
			break
		}
	}
	return last, nil
}

// awaitMembers waits until all members except the absent one have joined and all voters have reported. Its error is the last observed state
// of the members, or last if none was observed.
func (h *harness) awaitMembers(ctx context.Context, last string) error {
	members := len(h.addresses) - min(h.options.JoiningMember, 1)
	for ; ctx.Err() == nil; sleep(ctx, bootstrapInterval) {
		r, err := h.clientFrom(0).Do(ctx, coordinator.Call{Status: true})
		if err != nil {
			return err
		}
		if r.Status == nil {
			continue
		}
		reported := 0
		for _, m := range r.Status.Members {
			if m.IsVoter && m.LastReportAge >= 0 {
				reported++
			}
		}
		last = fmt.Sprintf("%+v", r.Status.Members)
		if len(r.Status.Members) == members && reported == voters(len(h.addresses)) {
			return nil
		}
	}
	return errors.New(last)
}

// pollStatus polls and records the status of a member until ctx ends. The member answers every second call from its local state.
func (h *harness) pollStatus(ctx context.Context, member int) {
	ledger := h.environment.Ledger()
	client := &coordinator.Client{Addresses: []string{h.addresses[member]}}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, statusInterval)
		requestedAt := ledger.Now()
		r, err := client.Do(ctx, coordinator.Call{Status: true, Local: i%2 == 0})
		if err != nil || r.Status == nil {
			continue
		}
		h.mu.Lock()
		h.statuses = append(h.statuses, observedStatus{requestedAt, ledger.Now(), *r.Status})
		h.recordPlans(r.Status)
		h.mu.Unlock()
	}
}

// recordPlans records the state of the plans from a confirmed status, until they have ended. The caller holds the lock.
func (h *harness) recordPlans(s *coordinator.Status) {
	if !s.Confirmed || len(s.Plans) == 0 || h.result.Ended != 0 {
		return
	}
	h.result.LastStatus = fmt.Sprintf("%+v", s.Plans[0])
	if h.plansAreIn(s, maintenance.PlanEnded) {
		h.result.Ended = h.environment.Ledger().Now()
	}
}

// leader returns the leader according to the newest confirmed reply, or 0 if none is known.
func (h *harness) leader() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.statuses) - 1; i >= 0; i-- {
		var member int
		if _, err := fmt.Sscanf(h.statuses[i].status.Leader, "d%d", &member); err == nil && h.statuses[i].status.Confirmed {
			return member
		}
	}
	return 0
}

// usage is the CPU time and the traffic of all members so far.
type usage struct {
	cpu             time.Duration
	messages, bytes int64 // between members, without headers
}

// usage returns the usage of all members. A member that does not reply contributes only its CPU time.
func (h *harness) usage(ctx context.Context) (u usage) {
	for member := range h.addresses {
		u.cpu += h.environment.CPU(member)
		r, err := h.clientOf(member).Do(ctx, coordinator.Call{Status: true, Local: true})
		if err == nil && r.Status != nil {
			u.messages += r.Status.Links["taken"]
			u.bytes += r.Status.Links["bytes_in"]
		}
	}
	return u
}

// recordUsage records the usage between two readings.
func (h *harness) recordUsage(from, to usage) {
	h.result.CPU = to.cpu - from.cpu
	h.result.Messages = to.messages - from.messages
	h.result.MessageBytes = to.bytes - from.bytes
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
