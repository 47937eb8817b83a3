package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Call is what staff ask for. A Command's ID makes it act once however often it comes.
type Call struct {
	Command       *maintenance.Command `json:"command,omitempty"`
	Check         bool                 `json:"check,omitempty"`  // only look whether a plan could be handed in
	Bootstrap     bool                 `json:"found,omitempty"`  // begin the group here
	AfterDataLoss bool                 `json:"again,omitempty"`  // ... which had a history that is lost: no plan begins before Trust
	ConfirmDisk   bool                 `json:"vouch,omitempty"`  // this member's disk is the last one that it had
	Status        bool                 `json:"status,omitempty"` // tell how things stand
	Local         bool                 `json:"local,omitempty"`  // ... by what this member knows
}

// Reply is the answer to a Call.
type Reply struct {
	Code   int     `json:"code"` // as outage.Answer's
	Text   string  `json:"text"`
	Status *Status `json:"status,omitempty"`
}

// Status is how things stand.
type Status struct {
	Member       string         `json:"told"`    // by which member
	Confirmed    bool           `json:"settled"` // a quorum has confirmed it; else it is what this member knew last
	Leader       string         `json:"leader"`
	Term         uint64         `json:"term"`
	AppliedIndex uint64         `json:"index"`
	Failure      string         `json:"failed,omitempty"` // why this member takes no part
	Bounds       Bounds         `json:"bounds"`
	Members      []MemberStatus `json:"members"`
	Plans        []PlanStatus   `json:"plans"`

	Links map[string]int64 `json:"links"` // what has passed on the links of the member that tells
}

// Bounds are the times that a machine's clear rests on.
type Bounds struct {
	Lease        time.Duration `json:"lease"`   // this member's
	MaxAttempt   time.Duration `json:"attempt"` // the longest that one may run
	FenceTimeout time.Duration `json:"settled"` // how long the group waits for a silent member
}

// MemberStatus is one member.
type MemberStatus struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"` // by the file of the member that tells
	Incarnation string        `json:"life"`
	IsVoter     bool          `json:"votes"`
	LastReport  time.Duration `json:"heard"` // ago, by the leader; below 0: never
	Applied     uint64        `json:"applied"`
	SoleProcess bool          `json:"alone"`
}

// PlanStatus is one plan.
type PlanStatus struct {
	Name     string                `json:"name"`
	Phase    maintenance.PlanPhase `json:"phase"`
	Reason   string                `json:"why,omitempty"` // what all of it waits for
	Machines []MachineStatus       `json:"machines"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	Name          string                   `json:"name"`
	Phase         maintenance.MachinePhase `json:"step"`
	PhaseDuration time.Duration            `json:"for"` // on the group's clock, up to the last entry
	Overdue       bool                     `json:"overdue,omitempty"`
	Reason        string                   `json:"why,omitempty"` // what it waits for
}

// NotCommittedText begins an answer where no leader could settle the call in time.
const NotCommittedText = "not settled yet, ask again"

// doubtText says why no plan begins after a group was founded again.
const doubtText = "machines may be with staff by a plan that was forgotten when the group was founded again; once none is: birchfork group trust"

// handleOperatorCall takes a call of staff at any member.
func (c *Coordinator) handleOperatorCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return json.Marshal(Reply{Code: maintenance.CodeInvalid, Text: "no call: " + err.Error()})
	}
	if call.Bootstrap {
		return json.Marshal(c.bootstrap(ctx, call.AfterDataLoss))
	}
	if call.ConfirmDisk {
		return json.Marshal(c.confirmDisk())
	}
	if call.Status && call.Local {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(false)})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := c.requestLeader(ctx, pathCall, body)
	if err == nil {
		return out, nil
	}
	reply := Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf("%s (%v)", NotCommittedText, err)}
	if call.Status {
		c.mu.Lock()
		reply.Status = c.status(false)
		c.mu.Unlock()
	}
	return json.Marshal(reply)
}

// handleCall takes a call at the leader.
func (c *Coordinator) handleCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, &peer.RejectedError{Reason: "no call: " + err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	index, err := node.ReadIndex(ctx)
	if err == nil {
		err = c.waitApplied(ctx, index)
	}
	if err != nil {
		return nil, err
	}
	if call.Status {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(true)})
	}
	if call.Command == nil {
		return nil, &peer.RejectedError{Reason: "a call for nothing"}
	}
	c.mu.Lock()
	reply := c.precheck(&call)
	c.mu.Unlock()
	if reply != nil {
		return json.Marshal(reply)
	}
	return c.commit(ctx, node, call.Command)
}

// precheck answers what needs no entry; nil: it needs one. The lock is held.
func (c *Coordinator) precheck(call *Call) *Reply {
	command := call.Command
	if command.ID == "" {
		return &Reply{Code: maintenance.CodeInvalid, Text: "a call without an id"}
	}
	if previous, ok := c.state.Result(command.ID); ok && !failpoint.Enabled(failpoint.RepeatCommands) {
		return &Reply{Code: previous.Code, Text: previous.Text}
	}
	if silent, older := c.membersBelowLevel(command.RequiredLevel()); len(older) > 0 {
		return &Reply{Code: maintenance.CodeRetryLater, Text: "of a build that does not know this call: " + strings.Join(older, ", ")}
	} else if len(silent) > 0 {
		return &Reply{Code: maintenance.CodeRetryLater, Text: "not heard of yet by this leader, and may be of a build that does not know this call: " + strings.Join(silent, ", ")}
	}
	switch command.Kind {
	case maintenance.CommandJoinMember, maintenance.CommandAdvance:
		return &Reply{Code: maintenance.CodeInvalid, Text: "no call of staff"}
	case maintenance.CommandSubmitPlan:
		if command.Plan == nil {
			return &Reply{Code: maintenance.CodeInvalid, Text: "there is no plan in the call"}
		}
		problems := append(c.state.ValidatePlan(command.Plan), c.fleetMismatches(command.Plan)...)
		if len(problems) > 0 {
			return &Reply{Code: maintenance.CodeInvalid, Text: strings.Join(problems, "\n")}
		}
		if call.Check {
			return &Reply{Text: "good"}
		}
	case maintenance.CommandStartPlan:
		if reason := c.startObstacle(); reason != "" {
			return &Reply{Code: maintenance.CodeRetryLater, Text: reason}
		}
	case maintenance.CommandClaimMachine:
		if plan, machine := c.state.FindMachine(command.Name, command.Machine); machine != nil && (machine.Phase == maintenance.MachineWaiting || machine.Phase == maintenance.MachineDraining) {
			reasons := c.state.WaitReasons(plan, c.collectAdvance())
			return &Reply{Code: maintenance.CodeRetryLater, Text: strings.TrimSuffix(fmt.Sprintf("%s is %s: %s", machine.Name, machine.Phase, reasons[machine.Name]), ": ")}
		}
	}
	return nil
}

// fleetMismatches is what of a plan does not fit the fleet as it is, by key. The lock is held.
func (c *Coordinator) fleetMismatches(plan *maintenance.Plan) (problems []string) {
	fleet := c.collectAdvance().Fleet
	machineAtHost := map[string]int{} // hosts that are machines
	for i, machine := range plan.Machines {
		if machine.Host == "" {
			continue
		}
		machineAtHost[machine.Host] = i
		isListedThere := func(name string) bool { return fleet[name].Host == machine.Host && !fleet[name].Gone }
		if !slices.ContainsFunc(slices.Collect(maps.Keys(fleet)), isListedThere) {
			problems = append(problems, fmt.Sprintf("machine[%d].host: no runner is listed at %q; hosts are as in the list's addresses", i, machine.Host))
		}
	}
	problems = append(problems, c.overlaps(plan, fleet)...)
	for i, machine := range plan.Machines {
		for _, name := range machine.Workers {
			worker, ok := fleet[name]
			if !ok {
				problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is not on the list", i, name))
			} else if j, both := machineAtHost[worker.Host]; both {
				problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at the host of machine[%d]", i, name, j))
			}
		}
	}
	return problems
}

// overlaps are machines of a plan that another one has under the other of a runner's names, its own and its host's: they would
// count twice against the budget. The lock is held.
func (c *Coordinator) overlaps(plan *maintenance.Plan, fleet map[string]maintenance.Worker) (problems []string) {
	for _, otherPlan := range c.state.Plans {
		if otherPlan.Phase == maintenance.PlanEnded {
			continue
		}
		for _, other := range otherPlan.MachineStates {
			if other.Phase == maintenance.MachineDone || other.Phase == maintenance.MachineSkipped {
				continue
			}
			for i, machine := range plan.Machines {
				for _, worker := range machine.Workers {
					if other.Host != "" && fleet[worker].Host == other.Host {
						problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at host %s, which is in plan %q", i, worker, other.Host, otherPlan.Name))
					}
				}
				for _, worker := range other.Workers {
					if machine.Host != "" && other.Host == "" && fleet[worker].Host == machine.Host {
						problems = append(problems, fmt.Sprintf("machine[%d].host: %q, which is there, is in plan %q", i, worker, otherPlan.Name))
					}
				}
			}
		}
	}
	return problems
}

// membersBelowLevel are the members that may not know a level of entries, where nothing that is settled needs it yet: those that this leader
// has not heard of, and those whose build is older. The lock is held.
func (c *Coordinator) membersBelowLevel(level int) (silent, older []string) {
	if level <= max(c.state.Level, 1) {
		return nil, nil
	}
	for _, name := range c.state.MemberNames() {
		if report, ok := c.lastReports[name]; !ok {
			silent = append(silent, name)
		} else if report.Level < level {
			older = append(older, name)
		}
	}
	return silent, older
}

// startObstacle says why no plan may start: each member by our file has to be in, and in use of plans, as one that knows of no group
// sends where it likes. The lock is held.
func (c *Coordinator) startObstacle() string {
	var missing, silent, withoutPlans []string
	for _, member := range c.options.Group.Members {
		if c.state.Members[member.Name] == nil {
			missing = append(missing, member.Name)
		} else if report, ok := c.lastReports[member.Name]; !ok {
			silent = append(silent, member.Name)
		} else if !report.Plans {
			withoutPlans = append(withoutPlans, member.Name)
		}
	}
	switch {
	case len(missing) > 0:
		return "not in the group yet: " + strings.Join(missing, ", ")
	case len(silent) > 0:
		return "not heard of yet by this leader: " + strings.Join(silent, ", ")
	case c.state.HistoryLost:
		return doubtText
	case len(withoutPlans) > 0 || !c.options.Group.MaintenancePlans:
		return "without plans = true in [group]: " + strings.Join(withoutPlans, ", ")
	}
	return ""
}

// commit proposes a command and waits for its answer.
func (c *Coordinator) commit(ctx context.Context, node *consensus.Node, command *maintenance.Command) ([]byte, error) {
	raw, err := encodeEntry(command)
	if err != nil {
		return nil, err
	}
	if failpoint.Enabled(failpoint.AnswerBeforeCommit) && command.Kind == maintenance.CommandClaimMachine {
		time.AfterFunc(time.Second, func() { node.Propose(context.Background(), raw) })
		return json.Marshal(Reply{Text: "yes"})
	}
	if err := node.Propose(ctx, raw); err != nil {
		return nil, err
	}
	var answer maintenance.Result
	err = c.waitForState(ctx, func(s *maintenance.State) (ok bool) {
		answer, ok = s.Result(command.ID)
		return ok
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(Reply{Code: answer.Code, Text: answer.Text})
}

// status is how things stand. The lock is held.
func (c *Coordinator) status(confirmed bool) *Status {
	status := &Status{Member: c.options.Self, Confirmed: confirmed, AppliedIndex: c.state.AppliedIndex, Bounds: Bounds{c.options.Group.LeaseDuration, c.maxAttempt, c.state.FenceTimeout}}
	var voters []uint64
	if c.membership != nil {
		status.Links = c.membership.transport.Counters.Values()
	}
	if c.membership != nil && c.membership.node != nil {
		nodeStatus := c.membership.node.Status()
		status.Term, status.Failure, voters = nodeStatus.Term, nodeStatus.Failure, nodeStatus.Voters
		for _, m := range c.state.Members {
			if m.RaftID == nodeStatus.LeaderID {
				status.Leader = m.Name
			}
		}
	}
	for _, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		memberStatus := MemberStatus{Name: name, Incarnation: m.Incarnation, IsVoter: slices.Contains(voters, m.RaftID), LastReport: -1}
		for _, planStatus := range c.options.Group.Members {
			if planStatus.Name == name {
				memberStatus.Zone = planStatus.Zone
			}
		}
		if report, ok := c.lastReports[name]; ok {
			memberStatus.LastReport, memberStatus.Applied, memberStatus.SoleProcess = time.Since(report.receivedAt), report.Applied, report.SoleProcess
		}
		status.Members = append(status.Members, memberStatus)
	}
	advance := c.collectAdvance()
	for _, plan := range c.state.Plans {
		reasons := map[string]string{}
		if confirmed {
			reasons = c.state.WaitReasons(plan, advance)
		}
		planStatus := PlanStatus{Name: plan.Name, Phase: plan.Phase, Reason: reasons[""]}
		for _, m := range plan.MachineStates {
			planStatus.Machines = append(planStatus.Machines, MachineStatus{m.Name, m.Phase, c.state.Clock - m.PhaseStart, m.Overdue, reasons[m.Name]})
		}
		status.Plans = append(status.Plans, planStatus)
	}
	return status
}

// confirmDisk takes staff's word that our disk is the last one that we had.
func (c *Coordinator) confirmDisk() Reply {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: "this process does not speak for its dispatcher in the group"}
	}
	select {
	case current.diskConfirmed <- struct{}{}:
		return Reply{Text: "taken"}
	case <-time.After(joinInterval + requestTimeout):
		return Reply{Code: maintenance.CodeRetryLater, Text: "this member does not wait for a word on its disk"}
	}
}

// bootstrap begins the group at this member. The others join it.
func (c *Coordinator) bootstrap(ctx context.Context, afterDataLoss bool) Reply {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: "this process does not speak for its dispatcher in the group"}
	}
	if clusterID := c.sender().ClusterID; clusterID != "" {
		return Reply{Text: "this member is in the group already, founded as " + clusterID}
	}
	request, err := json.Marshal(joinRequest{Name: c.options.Self})
	if err != nil {
		return Reply{Code: maintenance.CodeInvalid, Text: err.Error()}
	}
	silent := map[string]error{}
	for _, member := range c.options.Group.Members {
		if member.Name == c.options.Self {
			continue
		}
		if _, err := c.request(ctx, current, member.Name, pathJoin, request); !isOutsideGroup(err) {
			silent[member.Name] = err
		}
	}
	if len(silent) > 0 { // one of them may be in the group
		name := slices.Min(slices.Collect(maps.Keys(silent)))
		return Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf("each member has to say that it is in no group yet; %s: %v", name, silent[name])}
	}
	select {
	case current.bootstrap <- afterDataLoss:
	case <-ctx.Done():
		return Reply{Code: maintenance.CodeRetryLater, Text: NotCommittedText}
	}
	for ctx.Err() == nil && c.node() == nil {
		sleep(ctx, 5*time.Millisecond)
	}
	if c.node() == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: NotCommittedText}
	}
	return Reply{Text: "founded"}
}

// bootstrapStorage begins the group on our disk.
func (c *Coordinator) bootstrapStorage(current *membership, storage *consensus.Storage, afterDataLoss bool) error {
	if !storage.IsEmpty() {
		return errors.New("the group's folder is not empty")
	}
	self, _ := c.self()
	state := maintenance.New()
	state.AppliedIndex, state.HistoryLost = 1, afterDataLoss
	state.Members[c.options.Self] = &maintenance.Member{Name: c.options.Self, Incarnation: current.identity.Incarnation, RaftID: current.identity.RaftID, Voter: self.Voter}
	raw, err := state.Encode()
	if err != nil {
		return err
	}
	if err := consensus.Bootstrap(storage, rand.Text()[:10], raw); err != nil {
		return err
	}
	c.startNode(current, storage, c.openBootMarker(), nil, true)
	return nil
}
