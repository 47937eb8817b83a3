package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// fixture drives a State with three members and six workers, which are in two zones and of two kinds.
type fixture struct {
	t        *testing.T
	state    *State
	index    uint64
	proposal Advance
}

const second = time.Second

// newFixture returns a fixture that has submitted a plan. By default the plan has one machine per worker, and one machine may be
// unavailable at a time.
func newFixture(t *testing.T, plan Plan) *fixture {
	t.Helper()
	f := &fixture{t: t, state: New(), proposal: Advance{
		FenceTimeout: 5 * second, WarmUp: 2 * second, Reports: map[string]MemberReport{}, Fleet: map[string]Worker{},
	}}
	for _, name := range []string{"a", "b", "c"} {
		f.apply(Command{Kind: CommandJoinMember, Member: &Member{Name: name, Incarnation: "1"}})
		f.proposal.Reports[name] = MemberReport{Incarnation: "1", SoleProcess: true}
	}
	for i := range 6 {
		f.proposal.Fleet[fmt.Sprint("r", i)] = Worker{Zone: fmt.Sprint("z", i%2), Kind: fmt.Sprint("k", i/3), Weight: float64(1 + i)}
	}
	if plan.Name == "" {
		plan.Name = "p"
	}
	if plan.Machines == nil {
		for i := range 6 {
			plan.Machines = append(plan.Machines, machineOf(fmt.Sprint("m", i), fmt.Sprint("r", i)))
		}
	}
	if plan.OnOverdue == "" {
		plan.OnOverdue = OverdueWait
	}
	plan.MaxUnavailable = max(plan.MaxUnavailable, 1)
	f.expectCode(CodeOK, Command{Kind: CommandSubmitPlan, Plan: &plan})
	return f
}

// machineOf returns a machine of named workers.
func machineOf(name string, workers ...string) Machine { return Machine{Name: name, Workers: workers} }

// apply applies a command as the next log entry.
func (f *fixture) apply(command Command) []Event {
	f.t.Helper()
	raw, err := json.Marshal(command)
	if err != nil {
		f.t.Fatal(err)
	}
	f.index++
	return f.state.Apply(f.index, raw)
}

// expectCode applies a command as an operator's call and checks the code of its result.
func (f *fixture) expectCode(code Code, command Command) {
	f.t.Helper()
	command.ID = fmt.Sprint("id", f.index)
	f.apply(command)
	if result, _ := f.state.Result(command.ID); result.Code != code {
		f.t.Errorf("%s %s: %+v, want code %d", command.Kind, command.Machine, result, code)
	}
}

// advance applies a proposal with an elapsed time in which all members except the named ones have applied all entries. It also checks that
// the compact proposal has the same effect as the full one.
func (f *fixture) advance(elapsed time.Duration, except ...string) {
	f.t.Helper()
	proposal := f.proposal
	proposal.StateSeq, proposal.Elapsed = f.state.Seq, elapsed
	proposal.Reports = map[string]MemberReport{}
	for name, report := range f.proposal.Reports {
		report.Applied = f.index
		if slices.Contains(except, name) {
			report.Applied = 0
		}
		proposal.Reports[name] = report
	}
	other := &fixture{t: f.t, state: f.state.Clone(), index: f.index}
	other.apply(Command{Kind: CommandAdvance, Advance: f.state.Compact(&proposal)})
	f.apply(Command{Kind: CommandAdvance, Advance: &proposal})
	full, compact := encode(f.t, f.state), encode(f.t, other.state)
	if !bytes.Equal(full, compact) {
		f.t.Errorf("entry %d: the compact proposal gives the state\n%s\nwant\n%s", f.index, compact, full)
	}
}

func encode(t *testing.T, state *State) []byte {
	t.Helper()
	raw, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// changeWorker changes what members know about a worker.
func (f *fixture) changeWorker(name string, change func(*Worker)) {
	worker := f.proposal.Fleet[name]
	change(&worker)
	f.proposal.Fleet[name] = worker
}

// expectPhases checks the phases of the first plan's machines, except the waiting ones.
func (f *fixture) expectPhases(want string) {
	f.t.Helper()
	var got []string
	for _, machine := range f.state.Plans[0].MachineStates {
		if machine.Phase != MachineWaiting {
			got = append(got, machine.Name+" "+string(machine.Phase))
		}
	}
	if phases := strings.Join(got, ", "); phases != want {
		f.t.Errorf("at entry %d: %q, want %q", f.index, phases, want)
	}
}

// startPlan starts plan p and advances the state by a second, in which the plan may begin to drain a machine.
func (f *fixture) startPlan() {
	f.expectCode(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
	f.advance(second)
}
