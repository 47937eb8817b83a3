//go:build !lean

package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/goldentest"
)

func goldenPlan() Plan {
	return Plan{
		Name: "plan-1", Machines: []Machine{{Name: "m1", Workers: []string{"r1", "r2"}, Host: "h1"}, {Name: "m2", Workers: []string{"r3"}}},
		MaxUnavailable: 2, MaxUnavailablePerZone: 3, MaxUnavailablePerKind: 4, MinCapacity: 0.75,
		DrainTimeout: 5 * time.Second, WorkTimeout: 6 * time.Minute, ReturnTimeout: 7 * time.Minute, OnOverdue: OverdueSkip,
	}
}

func goldenMember() Member {
	return Member{
		Name: "d1", Incarnation: "life-2", RaftID: 11, Voter: true,
		PastIncarnations: []PastIncarnation{{Incarnation: "life-1", RaftID: 12}},
	}
}

func goldenAdvance() Advance {
	return Advance{
		StateSeq: 21, Elapsed: 22 * time.Millisecond, FenceTimeout: 23 * time.Second, WarmUp: 24 * time.Second,
		Reports: map[string]MemberReport{"d1": {
			Incarnation: "life-2", Applied: 25, SoleProcess: true, BusyWorkers: []string{"r1", "r2"}, BusyHosts: []string{"h1"},
		}},
		Fleet: map[string]Worker{"r1": {
			Zone: "z1", Kind: "k1", Host: "h1", Weight: 1.5, Unavailable: true, Gone: true, WarmingUp: true, Disabled: true,
		}},
		DefaultApplied: 26, UnnamedWorkers: []WorkerGroup{{Zone: "z2", Kind: "k2", Weight: 2.5, Count: 27}},
	}
}

func goldenState() *State {
	plan, member := goldenPlan(), goldenMember()
	return &State{
		Seq: 31, Level: 2, HistoryLost: true, AppliedIndex: 32, Clock: 33 * time.Second, FenceTimeout: 34 * time.Second, WarmUp: 35 * time.Second,
		Members: map[string]*Member{"d1": &member},
		Plans: []*PlanState{{
			Plan: plan, Phase: PlanRunning, AnnouncedIndex: 36, LastZone: "z3",
			MachineStates: []*MachineState{
				{Machine: plan.Machines[0], Phase: MachineReturning, PhaseIndex: 37, PhaseStart: 38 * time.Second, Overdue: true, Withdrawn: true},
				{Machine: plan.Machines[1], Phase: MachineWaiting},
			},
		}},
		Results: []Result{{ID: "call-1", Code: CodeInvalid, Text: "no plan is called \"x\""}},
	}
}

// TestGolden_StoredForms checks the JSON of all types that are stored in the log and in snapshots, and sent between members.
func TestGolden_StoredForms(t *testing.T) {
	plan, member, advance := goldenPlan(), goldenMember(), goldenAdvance()
	goldentest.CheckJSON(t, "plan.json", plan)
	goldentest.CheckJSON(t, "member.json", member)
	goldentest.CheckJSON(t, "advance.json", advance)
	goldentest.CheckJSON(t, "report.json", advance.Reports["d1"])
	goldentest.CheckJSON(t, "command.json", Command{
		ID: "call-1", Kind: CommandSubmitPlan, Name: "plan-1", Machine: "m1", Plan: &plan, Member: &member, Advance: &advance, Level: 2,
	})
	goldentest.CheckJSON(t, "result.json", Result{ID: "call-1", Code: CodeRetryLater, Text: "m1 is leaving"})
	goldentest.CheckJSON(t, "event.json", Event{Plan: "plan-1", Machine: "m1", Text: "leaving"})
	goldentest.CheckJSON(t, "state.json", goldenState())
}

// TestGolden_Snapshot checks Encode and Decode against stored snapshots.
func TestGolden_Snapshot(t *testing.T) {
	want := goldenState()
	raw, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "snapshot.json", raw)
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", "snapshot.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, want %+v", got, want)
	}
	empty, err := New().Encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "snapshot-empty.json", empty)
}

// TestGolden_Constants checks the constants in stored and sent values, and the result codes, which are also exit statuses.
func TestGolden_Constants(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprintln(&b, "machine:", []MachinePhase{
		MachineWaiting, MachineDraining, MachineDrained, MachineInMaintenance, MachineReturning, MachineWarm, MachineDone, MachineSkipped,
		MachineFailed,
	})
	fmt.Fprintln(&b, "plan:", []PlanPhase{PlanSubmitted, PlanAnnounced, PlanRunning, PlanPaused, PlanAborting, PlanEnded})
	fmt.Fprintln(&b, "overdue:", []OverdueAction{OverdueWait, OverduePause, OverdueSkip})
	fmt.Fprintln(&b, "commands:", []CommandKind{
		CommandJoinMember, CommandRetireMember, CommandTrustHistory, CommandSubmitPlan, CommandStartPlan, CommandPausePlan,
		CommandResumePlan, CommandAbortPlan, CommandClaimMachine, CommandSkipMachine, CommandReturnMachine, CommandAdvance,
	})
	fmt.Fprintln(&b, "codes:", CodeOK, CodeInvalid, CodeRetryLater)
	fmt.Fprintln(&b, "level:", MaxLevel, SupportedLevel())
	fmt.Fprintln(&b, "bounds:", maxResults, maxPlans, MaxMachines)
	goldentest.Check(t, "words.txt", b.Bytes())
}

// TestGolden_CompactProposal checks the compact form of proposals.
func TestGolden_CompactProposal(t *testing.T) {
	h := newHistory(t, 7)
	var b bytes.Buffer
	for range 400 {
		h.step()
		if h.random.IntN(40) != 0 {
			continue
		}
		raw, err := json.Marshal(h.state.Compact(h.proposal()))
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(raw, '\n'))
	}
	goldentest.Check(t, "compact.jsonl", b.Bytes())
}

// TestGolden_Texts checks the texts of results, plan problems and wait reasons, which are sent to operators, and of events. Of texts that
// differ only in digits, the golden file has one.
func TestGolden_Texts(t *testing.T) {
	texts := map[string]bool{}
	for seed := range uint64(60) {
		h := newHistory(t, seed)
		for range 150 {
			h.step()
			for _, text := range h.texts() {
				texts[text] = true
			}
		}
	}
	distinct := map[string]string{} // by the text without its digits
	for _, text := range slices.Sorted(maps.Keys(texts)) {
		withoutDigits := strings.Map(func(r rune) rune {
			if r >= '0' && r <= '9' {
				return -1
			}
			return r
		}, text)
		if _, ok := distinct[withoutDigits]; !ok {
			distinct[withoutDigits] = text
		}
	}
	goldentest.Check(t, "texts.txt", []byte(strings.Join(slices.Sorted(maps.Values(distinct)), "\n")+"\n"))
}

// TestGolden_HistoryDigests applies random histories of commands and checks a digest per history. The digest covers the state and the
// events after each entry, and the results of queries.
func TestGolden_HistoryDigests(t *testing.T) {
	var b bytes.Buffer
	run := func(fault string, seed uint64) {
		failpoint.Set(fault)
		defer failpoint.Set("")
		h := newHistory(t, seed)
		for i := range 120 {
			h.step()
			if i%3 == 0 {
				h.digestQueries()
			}
		}
		fmt.Fprintf(&b, "%s %d %016x\n", fault, seed, h.digest.Sum64())
	}
	for seed := range uint64(90) {
		run("", seed)
	}
	for _, fault := range []string{
		failpoint.IgnoreMemberReports, failpoint.IgnoreBudget, failpoint.IgnoreUnavailable, failpoint.WaitForLostMembers,
		failpoint.RepeatCommands,
	} {
		for seed := range uint64(5) {
			run(fault, seed)
		}
	}
	goldentest.Check(t, "digests.txt", b.Bytes())
}

// TestGolden_Bounds checks how many plans and results a state keeps, and the results of incomplete commands.
func TestGolden_Bounds(t *testing.T) {
	h := newHistory(t, 3)
	h.apply(Command{ID: "nobody", Kind: CommandJoinMember})
	h.apply(Command{ID: "no-name", Kind: CommandJoinMember, Member: &Member{Incarnation: "life"}})
	h.apply(Command{Kind: CommandAdvance})
	for i := range 2 * maxPlans {
		name := fmt.Sprint("plan-", i)
		h.apply(Command{ID: "submit-" + name, Kind: CommandSubmitPlan, Plan: &Plan{
			Name: name, MaxUnavailable: 1, OnOverdue: OverdueWait, Machines: []Machine{{Name: "m", Workers: []string{fmt.Sprint("r", i)}}},
		}})
		if i%3 > 0 {
			h.apply(Command{ID: "abort-" + name, Kind: CommandAbortPlan, Name: name})
		}
	}
	for i := range maxResults {
		h.apply(Command{ID: fmt.Sprint("unknown-", i), Kind: CommandRetireMember, Name: "nobody"})
		if i%32 == 0 {
			h.digestQueries()
		}
	}
	h.fleet = map[string]Worker{}
	empty := &PlanState{
		Plan: Plan{Name: "e", MaxUnavailable: 1}, Phase: PlanRunning,
		MachineStates: []*MachineState{{Machine: machineOf("m", "r"), Phase: MachineWaiting}},
	}
	h.state.Plans = append(h.state.Plans, empty)
	_, reasons := h.state.NextMachine(empty, h.proposal())
	var b bytes.Buffer
	fmt.Fprintln(&b, reasons, len(h.state.Plans), len(h.state.Results), h.state.Results[0].ID)
	fmt.Fprintf(&b, "%016x\n", h.digest.Sum64())
	goldentest.Check(t, "bounds.txt", b.Bytes())
}
