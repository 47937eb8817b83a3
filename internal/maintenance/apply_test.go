package maintenance

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestApply_ExecutesOncePerID verifies that a repeated call has no further effect, that an entry that the state includes is not applied
// again, and that a command of an unknown kind is invalid.
func TestApply_ExecutesOncePerID(t *testing.T) {
	f := newFixture(t, Plan{})
	f.startPlan()
	pause := Command{ID: "x", Kind: CommandPausePlan, Name: "p"}
	f.apply(pause)
	f.expectCode(CodeOK, Command{Kind: CommandResumePlan, Name: "p"})
	if events := f.apply(pause); len(events) > 0 || f.state.Plans[0].Phase != PlanAnnounced {
		t.Errorf("the repeated call gave events %v, want none; the plan is %s, want announced", events, f.state.Plans[0].Phase)
	}
	before := encode(t, f.state)
	f.index-- // the state already includes the next index
	f.apply(Command{Kind: CommandAbortPlan, Name: "p"})
	if after := encode(t, f.state); !bytes.Equal(before, after) {
		t.Error("an entry was applied twice")
	}
	f.expectCode(CodeInvalid, Command{Kind: "of tomorrow"})
}

// TestApply_IsDeterministic verifies that random entries give the same state, byte by byte, at a member that started from a snapshot, and
// never drain more machines than the plan's budget allows.
func TestApply_IsDeterministic(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, Plan{MaxUnavailable: 1 + random.IntN(3)})
		f.expectCode(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
		other, err := Decode(encode(t, f.state)) // the state of another member
		if err != nil {
			t.Fatal(err)
		}
		applyAtBoth := func(command Command) {
			f.apply(command)
			(&fixture{t: t, state: other, index: f.index - 1}).apply(command)
		}
		for range 60 {
			switch random.IntN(7) {
			case 0:
				f.changeWorker(fmt.Sprint("r", random.IntN(6)), func(w *Worker) { w.Unavailable = random.IntN(4) == 0 })
			case 1:
				kinds := []CommandKind{CommandClaimMachine, CommandReturnMachine, CommandSkipMachine}
				applyAtBoth(Command{Kind: kinds[random.IntN(3)], Machine: fmt.Sprint("m", random.IntN(6))})
			default:
				proposal := f.proposal
				proposal.StateSeq, proposal.Elapsed = f.state.Seq, time.Duration(random.IntN(3))*second
				proposal.Reports = map[string]MemberReport{}
				for name, report := range f.proposal.Reports {
					report.Applied = f.index
					if random.IntN(4) > 0 {
						proposal.Reports[name] = report
					}
				}
				before := countUnderMaintenance(f.state)
				applyAtBoth(Command{Kind: CommandAdvance, Advance: &proposal})
				after, limit := countUnderMaintenance(f.state), f.state.Plans[0].MaxUnavailable
				if after > before && after > limit {
					t.Fatalf("seed %d: %d machines are out of service for the plan, limit %d", seed, after, limit)
				}
			}
			if a, b := encode(t, f.state), encode(t, other); !bytes.Equal(a, b) {
				t.Fatalf("seed %d: two members differ:\n%s\n%s", seed, a, b)
			}
		}
	}
}

// countUnderMaintenance counts the machines that the first plan has taken out of service and that are not back in service.
func countUnderMaintenance(state *State) int {
	count := 0
	for _, machine := range state.Plans[0].MachineStates {
		if machine.Phase != MachineWaiting && !machine.Phase.finished() && machine.Phase != MachineWarm {
			count++
		}
	}
	return count
}

// TestApply_RejectsNewerLevel verifies that Apply panics on an entry of a newer build and leaves the state unchanged, and that Decode
// rejects a state of a newer build.
func TestApply_RejectsNewerLevel(t *testing.T) {
	f := newFixture(t, Plan{})
	before := encode(t, f.state)
	for _, raw := range []string{`{"kind":"trust","needs":3}`, `{"kind":7}`} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s was applied, want a panic", raw)
				}
			}()
			f.state.Apply(f.index+1, []byte(raw))
		}()
	}
	if after := encode(t, f.state); !bytes.Equal(after, before) {
		t.Errorf("state is\n%s\nwant\n%s", after, before)
	}
	f.apply(Command{Kind: CommandTrustHistory, Level: 2})
	stored := encode(t, f.state)
	if state, err := Decode(stored); err != nil || state.Level != 2 {
		t.Errorf("decoded %+v, error %v; want level 2", state, err)
	}
	if _, err := Decode(bytes.Replace(stored, []byte(`"level":2`), []byte(`"level":3`), 1)); err == nil {
		t.Error("a state of a newer build was decoded")
	}
}
