package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/gossip"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed/scenario"
)

// workerRestartTime is how long a worker takes to restart.
const workerRestartTime = 200 * time.Millisecond

// firstPlanName is the name of the first plan. The names of the others are this name with a number.
const firstPlanName = "work"

// planName returns the name of a plan by its number.
func planName(plan int) string {
	if plan == 0 {
		return firstPlanName
	}
	return fmt.Sprintf("%s-%d", firstPlanName, plan+1)
}

// machineName returns the name of a machine of the plans by its number.
func machineName(machine int) string { return fmt.Sprintf("m%d", machine) }

// workerOf returns the worker on a machine of the plans. The machines have the last workers, which are the slowest, in reverse order.
func workerOf(schedule *scenario.Schedule, machine int) int {
	return len(schedule.Workers) - 1 - machine
}

// clientFrom returns a client that tries the members in turn, beginning with first.
func (h *harness) clientFrom(first int) *coordinator.Client {
	return &coordinator.Client{Addresses: append(slices.Clone(h.addresses[first:]), h.addresses[:first]...)}
}

// clientOf returns a client of a single member.
func (h *harness) clientOf(member int) *coordinator.Client {
	return &coordinator.Client{Addresses: h.addresses[member : member+1]}
}

// call makes an operator's call, which tries a random member first, and counts it.
func (h *harness) call(ctx context.Context, c coordinator.Call) (*coordinator.Reply, error) {
	r, err := h.clientFrom(rand.IntN(len(h.addresses))).Do(ctx, c)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.Calls++
	if err == nil && strings.HasPrefix(r.Text, coordinator.OutcomeUnknownText) {
		h.result.UncommittedCalls++
	}
	return r, err
}

// callUntilOK repeats a command until the reply is OK. It returns false if the command is invalid or ctx ended. A command that may have
// been committed keeps its ID, so that it takes effect once.
func (h *harness) callUntilOK(ctx context.Context, c *maintenance.Command) bool {
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		r, err := h.call(ctx, coordinator.Call{Command: c})
		if err != nil {
			continue
		}
		if r.Code == maintenance.CodeOK {
			return true
		}
		if strings.HasPrefix(r.Text, coordinator.OutcomeUnknownText) {
			continue
		}
		c.ID = ""
		if r.Code == maintenance.CodeInvalid {
			h.recordStatus(fmt.Sprintf("%s: %s", c.Kind, r.Text))
			return false
		}
	}
	return false
}

// startPlans submits and starts the plans and waits until they run. It returns false if they do not run.
func (h *harness) startPlans(ctx context.Context) bool {
	for _, p := range h.plans() {
		if !h.callUntilOK(ctx, &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: p}) {
			return false
		}
		if !h.callUntilOK(ctx, &maintenance.Command{Kind: maintenance.CommandStartPlan, Name: p.Name}) {
			return false
		}
	}
	for ; ctx.Err() == nil; sleep(ctx, bootstrapInterval) {
		r, err := h.clientFrom(0).Do(ctx, coordinator.Call{Status: true})
		if err == nil && h.plansAreIn(r.Status, maintenance.PlanRunning) {
			return true
		}
	}
	return false
}

// planCount returns the number of plans to which the machines are assigned.
func (h *harness) planCount() int { return max(h.options.Plans, 1) }

// plans returns the plans, to which the machines are assigned in turn.
func (h *harness) plans() []*maintenance.Plan {
	plans := make([]*maintenance.Plan, h.planCount())
	for i := range plans {
		plans[i] = &maintenance.Plan{Name: planName(i), MaxUnavailable: h.options.MaxUnavailable, OnOverdue: maintenance.OverdueWait}
	}
	schedule := h.environment.Schedule()
	for i := range h.options.Machines {
		worker := workerOf(schedule, i)
		m := maintenance.Machine{Name: machineName(i)}
		if h.options.PlanByHost {
			m.Host = h.environment.Fleet().Workers[worker].Host()
		} else {
			m.Workers = []string{schedule.Workers[worker].Name}
		}
		p := plans[i%len(plans)]
		p.Machines = append(p.Machines, m)
	}
	return plans
}

// plansAreIn reports whether a status lists all plans as being in the given phase.
func (h *harness) plansAreIn(s *coordinator.Status, phase maintenance.PlanPhase) bool {
	if s == nil || len(s.Plans) < h.planCount() {
		return false
	}
	return !slices.ContainsFunc(s.Plans, func(p coordinator.PlanStatus) bool { return p.Phase != phase })
}

// maintainMachine claims a machine once it is drained, works on it, restarts its worker and returns it.
func (h *harness) maintainMachine(ctx context.Context, machine int) {
	if !h.callUntilOK(ctx, &maintenance.Command{Kind: maintenance.CommandClaimMachine, Machine: machineName(machine)}) {
		return
	}
	ledger := h.environment.Ledger()
	worker := workerOf(h.environment.Schedule(), machine)
	h.mu.Lock()
	window := len(h.maintenanceWindows)
	h.maintenanceWindows = append(h.maintenanceWindows, MaintenanceWindow{Machine: machineName(machine), Workers: []int{worker}, ReleasedAt: ledger.Now()})
	h.mu.Unlock()
	h.workOn(ctx, machine, worker)
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	h.maintenanceWindows[window].ReturnedAt = ledger.Now()
	h.mu.Unlock()
	h.restartWorker(ctx, worker)
	h.callUntilOK(ctx, &maintenance.Command{Kind: maintenance.CommandReturnMachine, Machine: machineName(machine)})
}

// workOn waits for the duration of the work on a machine. The worker stays up meanwhile, so that the ledger records requests that are sent
// to it. In scenarios with renamed workers it restarts under another name halfway through.
func (h *harness) workOn(ctx context.Context, machine, worker int) {
	if !h.options.RenameWorkers {
		sleep(ctx, h.options.Work)
		return
	}
	sleep(ctx, h.options.Work/2)
	h.environment.Fleet().Down(worker)
	h.environment.Fleet().Rename(worker, "new-"+machineName(machine))
	h.environment.Fleet().Up(worker)
	sleep(ctx, h.options.Work/2)
}

// restartWorker takes a worker down and starts it again.
func (h *harness) restartWorker(ctx context.Context, worker int) {
	h.environment.Fleet().Down(worker)
	sleep(ctx, workerRestartTime)
	h.environment.Fleet().Up(worker)
}

// repeatPause pauses and resumes the first plan and then sends the pause command again with the same ID, as after a lost reply. It must not
// take effect twice.
func (h *harness) repeatPause(ctx context.Context) {
	id := fmt.Sprintf("halt-%d", h.options.Seed)
	pause := &maintenance.Command{ID: id, Kind: maintenance.CommandPausePlan, Name: firstPlanName}
	if !h.callUntilOK(ctx, pause) {
		return
	}
	if !h.callUntilOK(ctx, &maintenance.Command{Kind: maintenance.CommandResumePlan, Name: firstPlanName}) {
		return
	}
	pause.ID = id // callUntilOK has cleared it if a call was rejected
	h.callUntilOK(ctx, pause)
}

// maintainWithoutPlan maintains the machines one after the other, with overrides at each member instead of a plan.
func (h *harness) maintainWithoutPlan(ctx context.Context) {
	for machine := range h.options.Machines {
		worker := workerOf(h.environment.Schedule(), machine)
		h.overrideEverywhere(ctx, worker, true)
		sleep(ctx, 2*h.scenario.Classes[0].Deadline) // without a plan nothing reports when the last request at the worker has ended
		sleep(ctx, h.options.Work)
		if ctx.Err() != nil {
			return
		}
		h.restartWorker(ctx, worker)
		h.overrideEverywhere(ctx, worker, false)
		sleep(ctx, h.scenario.Terms.SlowStartWindow)
	}
	h.mu.Lock()
	h.result.Ended = h.environment.Ledger().Now()
	h.mu.Unlock()
}

// overrideEverywhere writes an override at each member in turn and repeats each write until it is accepted.
func (h *harness) overrideEverywhere(ctx context.Context, worker int, disabled bool) {
	name := h.environment.Schedule().Workers[worker].Name
	for _, address := range h.addresses {
		for ctx.Err() == nil {
			r, err := gossip.CallMember(ctx, address, gossip.Call{Worker: name, Disabled: disabled})
			if err == nil && !r.Invalid {
				break
			}
			sleep(ctx, retryInterval)
		}
	}
}
