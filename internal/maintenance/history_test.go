//go:build !lean

package maintenance

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// history generates random commands and applies them.
type history struct {
	t            *testing.T
	random       *rand.Rand
	state        *State
	index        uint64
	events       []Event           // of the last command
	fleet        map[string]Worker // as the members know it
	reports      map[string]MemberReport
	incarnations int
	digest       hash.Hash64 // of all states, events and query results
}

// newHistory returns a history with three members and eight workers.
func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{
		t: t, random: rand.New(rand.NewPCG(seed, 99)), state: New(), fleet: map[string]Worker{}, reports: map[string]MemberReport{},
		digest: fnv.New64a(),
	}
	for i := range 3 {
		h.join(fmt.Sprint("d", i))
	}
	for i := range 8 {
		h.fleet[fmt.Sprint("r", i)] = Worker{
			Zone: fmt.Sprint("z", i%3), Kind: fmt.Sprint("k", i/5), Host: fmt.Sprint("h", i/2), Weight: float64(1 + h.random.IntN(3)),
		}
	}
	return h
}

// step makes one random change to the fleet, the reports or the state, or applies one random command.
func (h *history) step() {
	switch n := h.random.IntN(100); {
	case n < 12:
		h.changeFleet()
	case n < 22:
		h.changeReports()
	case n < 25:
		h.join(fmt.Sprint("d", h.random.IntN(4)))
	case n < 26:
		h.apply(Command{ID: h.id(), Kind: CommandRetireMember, Name: fmt.Sprint("d", h.random.IntN(5))})
	case n < 27:
		h.state.HistoryLost = h.state.HistoryLost || h.random.IntN(2) == 0
		h.apply(Command{ID: h.id(), Kind: CommandTrustHistory, Level: 2})
	case n < 32:
		h.apply(Command{ID: h.id(), Kind: CommandSubmitPlan, Plan: h.plan()})
	case n < 44:
		kinds := []CommandKind{
			CommandStartPlan, CommandStartPlan, CommandStartPlan, CommandResumePlan, CommandResumePlan, CommandPausePlan, CommandAbortPlan,
		}
		kind := kinds[h.random.IntN(len(kinds))]
		h.apply(Command{ID: h.id(), Kind: kind, Name: fmt.Sprint("p", h.random.IntN(5))})
	case n < 60:
		kinds := []CommandKind{CommandClaimMachine, CommandClaimMachine, CommandReturnMachine, CommandReturnMachine, CommandSkipMachine}
		kind := kinds[h.random.IntN(len(kinds))]
		plan := ""
		if h.random.IntN(4) == 0 {
			plan = fmt.Sprint("p", h.random.IntN(4))
		}
		h.apply(Command{ID: h.id(), Kind: kind, Name: plan, Machine: fmt.Sprint("m", h.random.IntN(9))})
	case n < 61:
		h.apply(Command{ID: h.id(), Kind: CommandKind(fmt.Sprint("unknown-", h.random.IntN(3)))})
	case n < 62:
		var err error
		if h.state, err = Decode(encode(h.t, h.state)); err != nil {
			h.t.Fatal(err)
		}
	case n < 63:
		h.state = h.state.Clone()
	default:
		proposal := h.proposal()
		if h.random.IntN(2) == 0 {
			proposal = h.state.Compact(proposal)
		}
		h.apply(Command{Kind: CommandAdvance, Advance: proposal})
	}
}

// id returns a random call ID. Some IDs repeat, and some are empty.
func (h *history) id() string {
	if h.random.IntN(10) == 0 {
		return "" // a command without an operator's call
	}
	return fmt.Sprint("call-", h.random.IntN(400))
}

// join adds a member, or the next incarnation of an existing one.
func (h *history) join(name string) {
	h.incarnations++
	incarnation := fmt.Sprint("life-", h.incarnations)
	h.apply(Command{Kind: CommandJoinMember, Member: &Member{
		Name: name, Incarnation: incarnation, RaftID: uint64(h.incarnations), Voter: h.random.IntN(2) == 0,
	}})
	h.reports[name] = MemberReport{Incarnation: incarnation, SoleProcess: true, Applied: h.index}
}

// apply applies a command as the next log entry, and adds its events and the new state to the digest.
func (h *history) apply(command Command) {
	raw, err := json.Marshal(command)
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	h.events = h.state.Apply(h.index, raw)
	fmt.Fprintf(h.digest, "%s\n%q\n%s\n", raw, h.events, encode(h.t, h.state))
}

// changeFleet changes what members know about one random worker.
func (h *history) changeFleet() {
	name := fmt.Sprint("r", h.random.IntN(10))
	worker, listed := h.fleet[name]
	if !listed {
		worker = Worker{Zone: fmt.Sprint("z", h.random.IntN(3)), Kind: "k0", Host: fmt.Sprint("h", h.random.IntN(5)), Weight: 1, WarmingUp: true}
	}
	switch h.random.IntN(9) {
	case 0:
		worker.Unavailable = true
	case 1:
		worker.WarmingUp = true
	case 2:
		worker.Disabled = h.random.IntN(3) == 0
	case 3:
		worker.Unavailable, worker.Gone = true, true
	case 4:
		delete(h.fleet, name)
		return
	default:
		worker.Unavailable, worker.Gone = false, false
		worker.WarmingUp, worker.Disabled = false, false
	}
	h.fleet[name] = worker
}

// changeReports changes the report of one random member.
func (h *history) changeReports() {
	name := fmt.Sprint("d", h.random.IntN(4))
	report := h.reports[name]
	report.SoleProcess, report.BusyWorkers, report.BusyHosts = h.random.IntN(4) > 0, nil, nil
	for range h.random.IntN(3) {
		report.BusyWorkers = append(report.BusyWorkers, fmt.Sprint("r", h.random.IntN(8)))
		report.BusyHosts = append(report.BusyHosts, fmt.Sprint("h", h.random.IntN(4)))
	}
	if h.random.IntN(8) == 0 {
		report.Incarnation = "another"
	} else if member := h.state.Members[name]; member != nil {
		report.Incarnation = member.Incarnation
	}
	h.reports[name] = report
}

// proposal returns a random proposal of a leader, usually for the present state and with the reports of most members.
func (h *history) proposal() *Advance {
	proposal := &Advance{
		StateSeq:     h.state.Seq,
		Elapsed:      time.Duration(h.random.IntN(4)) * 700 * time.Millisecond,
		FenceTimeout: time.Duration(4+h.random.IntN(2)) * time.Second,
		WarmUp:       2 * time.Second, Reports: map[string]MemberReport{}, Fleet: maps.Clone(h.fleet),
	}
	if h.random.IntN(15) == 0 {
		proposal.StateSeq--
	}
	for _, name := range slices.Sorted(maps.Keys(h.reports)) {
		report := h.reports[name]
		if h.random.IntN(6) > 0 {
			report.Applied = h.index
			h.reports[name] = report
		}
		if h.random.IntN(8) > 0 {
			proposal.Reports[name] = report
		}
	}
	return proposal
}

// plan returns a random plan, or nil. Some plans are invalid.
func (h *history) plan() *Plan {
	plan := &Plan{
		Name:                  fmt.Sprint("p", h.random.IntN(4)),
		MaxUnavailable:        1 + h.random.IntN(3),
		MaxUnavailablePerZone: h.random.IntN(3),
		MaxUnavailablePerKind: h.random.IntN(3),
		MinCapacity:           []float64{0, 0.3, 0.6, 0.9}[h.random.IntN(4)],
		OnOverdue:             []OverdueAction{OverdueWait, OverduePause, OverdueSkip}[h.random.IntN(3)],
		DrainTimeout:          time.Duration(h.random.IntN(4)) * time.Second,
		WorkTimeout:           time.Duration(h.random.IntN(3)) * 3 * time.Second,
		ReturnTimeout:         time.Duration(h.random.IntN(3)) * 3 * time.Second,
	}
	for _, i := range h.random.Perm(4)[:1+h.random.IntN(4)] {
		machine := Machine{Name: fmt.Sprint("m", i)}
		switch h.random.IntN(3) {
		case 0:
			machine.Host = fmt.Sprint("h", i)
		case 1:
			machine.Workers = []string{fmt.Sprint("r", 2*i)}
		default:
			machine.Workers = []string{fmt.Sprint("r", 2*i), fmt.Sprint("r", 2*i+1)}
		}
		plan.Machines = append(plan.Machines, machine)
	}
	switch h.random.IntN(24) {
	case 0:
		plan.Name, plan.MaxUnavailable = "", 0
		plan.MaxUnavailablePerZone, plan.MaxUnavailablePerKind = -1, -2
	case 1:
		plan.DrainTimeout, plan.WorkTimeout, plan.ReturnTimeout = -1, -2, -3
		plan.MinCapacity, plan.OnOverdue = 1.5, "never"
	case 2:
		plan.Machines = append(plan.Machines, plan.Machines...)
	case 3:
		plan.Machines = append(plan.Machines, Machine{Host: "h1", Workers: []string{"r1"}}, Machine{Name: "m8"})
	case 4:
		plan.Machines = nil
	case 5:
		return nil
	}
	return plan
}

// texts returns the texts of the last events, the last result and queries.
func (h *history) texts() (texts []string) {
	for _, event := range h.events {
		texts = append(texts, "event: "+event.Text)
	}
	h.events = nil
	if n := len(h.state.Results); n > 0 {
		result := h.state.Results[n-1]
		if !strings.Contains(result.Text, "\n") { // several lines are the problems of a plan
			texts = append(texts, fmt.Sprintf("answer %d: %q", result.Code, result.Text))
		}
	}
	proposal := h.proposal()
	for _, plan := range h.state.Plans {
		for _, reason := range h.state.WaitReasons(plan, proposal) {
			texts = append(texts, "why: "+reason)
		}
	}
	if plan := h.plan(); plan != nil {
		for _, problem := range h.state.ValidatePlan(plan) {
			texts = append(texts, "fault: "+problem)
		}
	}
	return texts
}

// digestQueries adds the result of each query to the digest.
func (h *history) digestQueries() {
	addToDigest := func(value any) {
		raw, err := json.Marshal(value)
		if err != nil {
			h.t.Fatal(err)
		}
		fmt.Fprintf(h.digest, "%s\n", raw)
	}
	excluded, leased := h.state.Excluded(), h.state.Leased()
	addToDigest([]map[string]bool{excluded.Workers, excluded.Hosts, leased.Workers, leased.Hosts})
	proposal := h.proposal()
	addToDigest(h.state.WouldChange(proposal))
	compact := h.state.Compact(proposal)
	addToDigest(compact)
	addToDigest(h.state.Compact(compact))
	addToDigest(h.state.MemberNames())
	for _, plan := range h.state.Plans {
		next, reasons := h.state.NextMachine(plan, proposal)
		addToDigest(next)
		addToDigest(reasons)
		addToDigest(h.state.WaitReasons(plan, proposal))
	}
	if plan := h.plan(); plan != nil {
		addToDigest(h.state.ValidatePlan(plan))
		addToDigest((&Command{Kind: CommandSubmitPlan, Plan: plan}).RequiredLevel())
	}
	plan, machine := h.state.FindMachine("", fmt.Sprint("m", h.random.IntN(4)))
	addToDigest(plan)
	addToDigest(machine)
	result, known := h.state.Result(fmt.Sprint("call-", h.random.IntN(400)))
	addToDigest(result)
	addToDigest(known)
	for _, name := range h.state.MemberNames() {
		addToDigest(h.state.Members[name].HadIncarnation(fmt.Sprint("life-", h.random.IntN(10))))
	}
}
