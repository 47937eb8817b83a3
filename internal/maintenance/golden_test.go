//go:build !lean

package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"birchfork/internal/failpoint"
)

// The files in testdata/golden hold the stored and sent forms as earlier builds wrote them. UPDATE_GOLDEN=1 writes them anew: only
// for a form that is meant to change.

// golden compares bytes with a file.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// goldenJSON compares a value's JSON with a file, and reads the file back into a value that has to be equal. All fields have to be set.
func goldenJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	requireAllSet(t, name, reflect.ValueOf(value))
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, name, append(raw, '\n'))
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	var back T
	if err := json.Unmarshal(stored, &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, value) {
		t.Errorf("%s: reads back as %+v, want %+v", name, back, value)
	}
}

// requireAllSet fails where a field has its zero value: the golden file would not show that it is stored. Of slices and maps one
// element has to be complete.
func requireAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireAllSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		requireAllSet(t, path+"[0]", v.Index(0))
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			requireAllSet(t, path+"["+it.Key().String()+"]", it.Value())
		}
	}
}

func goldenPlan() Plan {
	return Plan{
		Name: "plan-1", Machines: []Machine{{Name: "m1", Workers: []string{"r1", "r2"}, Host: "h1"}, {Name: "m2", Workers: []string{"r3"}}},
		MaxUnavailable: 2, MaxUnavailablePerZone: 3, MaxUnavailablePerKind: 4, MinCapacity: 0.75, DrainTimeout: 5 * time.Second, WorkTimeout: 6 * time.Minute, ReturnTimeout: 7 * time.Minute, OnOverdue: OverdueSkip,
	}
}

func goldenMember() Member {
	return Member{Name: "d1", Incarnation: "life-2", RaftID: 11, Voter: true, PastIncarnations: []PastIncarnation{{Incarnation: "life-1", RaftID: 12}}}
}

func goldenAdvance() Advance {
	return Advance{
		StateSeq: 21, Elapsed: 22 * time.Millisecond, FenceTimeout: 23 * time.Second, WarmUp: 24 * time.Second,
		Reports:        map[string]MemberReport{"d1": {Incarnation: "life-2", Applied: 25, SoleProcess: true, BusyWorkers: []string{"r1", "r2"}, BusyHosts: []string{"h1"}}},
		Fleet:          map[string]Worker{"r1": {Zone: "z1", Kind: "k1", Host: "h1", Weight: 1.5, Unavailable: true, Gone: true, WarmingUp: true, Disabled: true}},
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

// TestGolden_StoredForms covers all that is stored in the log and in snapshots, and sent between members.
func TestGolden_StoredForms(t *testing.T) {
	plan, member, advance := goldenPlan(), goldenMember(), goldenAdvance()
	goldenJSON(t, "plan.json", plan)
	goldenJSON(t, "member.json", member)
	goldenJSON(t, "advance.json", advance)
	goldenJSON(t, "report.json", advance.Reports["d1"])
	goldenJSON(t, "command.json", Command{
		ID: "call-1", Kind: CommandSubmitPlan, Name: "plan-1", Machine: "m1", Plan: &plan, Member: &member, Advance: &advance, Level: 2,
	})
	goldenJSON(t, "result.json", Result{ID: "call-1", Code: CodeRetryLater, Text: "m1 is leaving"})
	goldenJSON(t, "event.json", Event{Plan: "plan-1", Machine: "m1", Text: "leaving"})
	goldenJSON(t, "state.json", goldenState())
}

// TestGolden_Snapshot holds Encode and Decode to the stored state.
func TestGolden_Snapshot(t *testing.T) {
	want := goldenState()
	raw, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "snapshot.json", raw)
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", "snapshot.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("reads back as %+v, want %+v", got, want)
	}
	empty, err := New().Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "snapshot-empty.json", empty)
}

// TestGolden_Constants holds the words that stand in stored and sent values, and the codes that are exit statuses too.
func TestGolden_Constants(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprintln(&b, "machine:", []MachinePhase{MachineWaiting, MachineDraining, MachineDrained, MachineInMaintenance, MachineReturning, MachineWarm, MachineDone, MachineSkipped, MachineFailed})
	fmt.Fprintln(&b, "plan:", []PlanPhase{PlanSubmitted, PlanAnnounced, PlanRunning, PlanPaused, PlanAborting, PlanEnded})
	fmt.Fprintln(&b, "overdue:", []string{OverdueWait, OverduePause, OverdueSkip})
	fmt.Fprintln(&b, "commands:", []CommandKind{CommandJoinMember, CommandRetireMember, CommandTrustHistory, CommandSubmitPlan, CommandStartPlan, CommandPausePlan, CommandResumePlan, CommandAbortPlan, CommandClaimMachine, CommandSkipMachine, CommandReturnMachine, CommandAdvance})
	fmt.Fprintln(&b, "codes:", CodeOK, CodeInvalid, CodeRetryLater)
	fmt.Fprintln(&b, "level:", MaxLevel, SupportedLevel())
	fmt.Fprintln(&b, "bounds:", maxResults, maxPlans, MaxMachines)
	golden(t, "words.txt", b.Bytes())
}

// TestGolden_CompactProposal holds the compact form of a proposal.
func TestGolden_CompactProposal(t *testing.T) {
	h := newHistory(7)
	var b bytes.Buffer
	for range 400 {
		h.step()
		if h.r.IntN(40) != 0 {
			continue
		}
		raw, err := json.Marshal(h.state.Compact(h.advance()))
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(raw, '\n'))
	}
	golden(t, "compact.jsonl", b.Bytes())
}

// TestGolden_Texts holds the texts that calls are answered with, faults of plans, and reasons: they travel in answers and in the log.
func TestGolden_Texts(t *testing.T) {
	texts := map[string]bool{}
	for seed := range uint64(60) {
		h := newHistory(seed)
		for range 150 {
			h.step()
			for _, text := range h.texts() {
				texts[text] = true
			}
		}
	}
	kinds := map[string]string{} // by the text without names and numbers
	for _, text := range slices.Sorted(maps.Keys(texts)) {
		kind := strings.Map(func(r rune) rune {
			if r >= '0' && r <= '9' {
				return -1
			}
			return r
		}, text)
		if _, ok := kinds[kind]; !ok {
			kinds[kind] = text
		}
	}
	golden(t, "texts.txt", []byte(strings.Join(slices.Sorted(maps.Values(kinds)), "\n")+"\n"))
}

// TestGolden_HistoryDigests plays random histories of commands and compares a digest of all that each came to: the state after each
// entry, its events, and each answer of the queries.
func TestGolden_HistoryDigests(t *testing.T) {
	var b bytes.Buffer
	play := func(fault string, seed uint64) {
		failpoint.Set(fault)
		defer failpoint.Set("")
		h := newHistory(seed)
		for i := range 120 {
			h.step()
			if i%3 == 0 {
				h.digestQueries()
			}
		}
		fmt.Fprintf(&b, "%s %d %016x\n", fault, seed, h.digest.Sum64())
	}
	for seed := range uint64(90) {
		play("", seed)
	}
	for _, fault := range []string{failpoint.IgnoreMemberReports, failpoint.IgnoreBudget, failpoint.IgnoreUnavailable, failpoint.WaitForLostMembers, failpoint.RepeatCommands} {
		for seed := range uint64(5) {
			play(fault, seed)
		}
	}
	golden(t, "digests.txt", b.Bytes())
}

// TestGolden_Bounds holds what is kept of many plans and calls, and what is answered to entries that lack something.
func TestGolden_Bounds(t *testing.T) {
	h := newHistory(3)
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
	empty := &PlanState{Plan: Plan{Name: "e", MaxUnavailable: 1}, Phase: PlanRunning, MachineStates: []*MachineState{{Machine: Machine{Name: "m", Workers: []string{"r"}}, Phase: MachineWaiting}}}
	h.state.Plans = append(h.state.Plans, empty)
	_, why := h.state.NextMachine(empty, h.advance())
	var b bytes.Buffer
	fmt.Fprintln(&b, why, len(h.state.Plans), len(h.state.Results), h.state.Results[0].ID)
	fmt.Fprintf(&b, "%016x\n", h.digest.Sum64())
	golden(t, "bounds.txt", b.Bytes())
}

// history draws commands at random and applies them.
type history struct {
	r            *rand.Rand
	state        *State
	index        uint64
	events       []Event
	fleet        map[string]Worker
	reports      map[string]MemberReport
	incarnations int
	digest       interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

func newHistory(seed uint64) *history {
	h := &history{
		r: rand.New(rand.NewPCG(seed, 99)), state: New(), fleet: map[string]Worker{}, reports: map[string]MemberReport{}, digest: fnv.New64a(),
	}
	for i := range 3 {
		h.join(fmt.Sprint("d", i))
	}
	for i := range 8 {
		h.fleet[fmt.Sprint("r", i)] = Worker{
			Zone: fmt.Sprint("z", i%3), Kind: fmt.Sprint("k", i/5), Host: fmt.Sprint("h", i/2), Weight: float64(1 + h.r.IntN(3)),
		}
	}
	return h
}

// step draws one change of what is known, or one command.
func (h *history) step() {
	switch n := h.r.IntN(100); {
	case n < 12:
		h.changeFleet()
	case n < 22:
		h.changeReports()
	case n < 25:
		h.join(fmt.Sprint("d", h.r.IntN(4)))
	case n < 26:
		h.apply(Command{ID: h.id(), Kind: CommandRetireMember, Name: fmt.Sprint("d", h.r.IntN(5))})
	case n < 27:
		h.state.HistoryLost = h.state.HistoryLost || h.r.IntN(2) == 0
		h.apply(Command{ID: h.id(), Kind: CommandTrustHistory, Level: 2})
	case n < 32:
		h.apply(Command{ID: h.id(), Kind: CommandSubmitPlan, Plan: h.plan()})
	case n < 44:
		kind := []CommandKind{CommandStartPlan, CommandStartPlan, CommandStartPlan, CommandResumePlan, CommandResumePlan, CommandPausePlan, CommandAbortPlan}[h.r.IntN(7)]
		h.apply(Command{ID: h.id(), Kind: kind, Name: fmt.Sprint("p", h.r.IntN(5))})
	case n < 60:
		kind := []CommandKind{CommandClaimMachine, CommandClaimMachine, CommandReturnMachine, CommandReturnMachine, CommandSkipMachine}[h.r.IntN(5)]
		plan := ""
		if h.r.IntN(4) == 0 {
			plan = fmt.Sprint("p", h.r.IntN(4))
		}
		h.apply(Command{ID: h.id(), Kind: kind, Name: plan, Machine: fmt.Sprint("m", h.r.IntN(9))})
	case n < 61:
		h.apply(Command{ID: h.id(), Kind: CommandKind(fmt.Sprint("unknown-", h.r.IntN(3)))})
	case n < 62:
		raw, err := h.state.Encode()
		if err != nil {
			panic(err)
		}
		if h.state, err = Decode(raw); err != nil {
			panic(err)
		}
	case n < 63:
		h.state = h.state.Clone()
	default:
		a := h.advance()
		if h.r.IntN(2) == 0 {
			a = h.state.Compact(a)
		}
		h.apply(Command{Kind: CommandAdvance, Advance: a})
	}
}

func (h *history) id() string {
	if h.r.IntN(10) == 0 {
		return "" // of no call
	}
	return fmt.Sprint("call-", h.r.IntN(400))
}

func (h *history) join(name string) {
	h.incarnations++
	incarnation := fmt.Sprint("life-", h.incarnations)
	h.apply(Command{Kind: CommandJoinMember, Member: &Member{Name: name, Incarnation: incarnation, RaftID: uint64(h.incarnations), Voter: h.r.IntN(2) == 0}})
	h.reports[name] = MemberReport{Incarnation: incarnation, SoleProcess: true, Applied: h.index}
}

func (h *history) apply(c Command) {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	h.index++
	h.events = h.state.Apply(h.index, raw)
	state, err := h.state.Encode()
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(h.digest, "%s\n%q\n%s\n", raw, h.events, state)
}

func (h *history) changeFleet() {
	name := fmt.Sprint("r", h.r.IntN(10))
	r, ok := h.fleet[name]
	if !ok {
		r = Worker{Zone: fmt.Sprint("z", h.r.IntN(3)), Kind: "k0", Host: fmt.Sprint("h", h.r.IntN(5)), Weight: 1, WarmingUp: true}
	}
	switch h.r.IntN(9) {
	case 0:
		r.Unavailable = true
	case 1:
		r.WarmingUp = true
	case 2:
		r.Disabled = h.r.IntN(3) == 0
	case 3:
		r.Unavailable, r.Gone = true, true
	case 4:
		delete(h.fleet, name)
		return
	default:
		r.Unavailable, r.Gone, r.WarmingUp, r.Disabled = false, false, false, false
	}
	h.fleet[name] = r
}

func (h *history) changeReports() {
	name := fmt.Sprint("d", h.r.IntN(4))
	w := h.reports[name]
	w.SoleProcess, w.BusyWorkers, w.BusyHosts = h.r.IntN(4) > 0, nil, nil
	for range h.r.IntN(3) {
		w.BusyWorkers = append(w.BusyWorkers, fmt.Sprint("r", h.r.IntN(8)))
		w.BusyHosts = append(w.BusyHosts, fmt.Sprint("h", h.r.IntN(4)))
	}
	if h.r.IntN(8) == 0 {
		w.Incarnation = "another"
	} else if m := h.state.Members[name]; m != nil {
		w.Incarnation = m.Incarnation
	}
	h.reports[name] = w
}

// advance is what a leader would propose: mostly of the state as it is, with most members' words.
func (h *history) advance() *Advance {
	a := &Advance{
		StateSeq: h.state.Seq, Elapsed: time.Duration(h.r.IntN(4)) * 700 * time.Millisecond, FenceTimeout: time.Duration(4+h.r.IntN(2)) * time.Second,
		WarmUp: 2 * time.Second, Reports: map[string]MemberReport{}, Fleet: maps.Clone(h.fleet),
	}
	if h.r.IntN(15) == 0 {
		a.StateSeq--
	}
	for _, name := range slices.Sorted(maps.Keys(h.reports)) {
		w := h.reports[name]
		if h.r.IntN(6) > 0 {
			w.Applied = h.index
			h.reports[name] = w
		}
		if h.r.IntN(8) > 0 {
			a.Reports[name] = w
		}
	}
	return a
}

// plan draws a plan; one in some is wrong.
func (h *history) plan() *Plan {
	p := &Plan{
		Name: fmt.Sprint("p", h.r.IntN(4)), MaxUnavailable: 1 + h.r.IntN(3), MaxUnavailablePerZone: h.r.IntN(3), MaxUnavailablePerKind: h.r.IntN(3),
		MinCapacity: []float64{0, 0.3, 0.6, 0.9}[h.r.IntN(4)], OnOverdue: []string{OverdueWait, OverduePause, OverdueSkip}[h.r.IntN(3)],
		DrainTimeout: time.Duration(h.r.IntN(4)) * time.Second, WorkTimeout: time.Duration(h.r.IntN(3)) * 3 * time.Second,
		ReturnTimeout: time.Duration(h.r.IntN(3)) * 3 * time.Second,
	}
	for _, i := range h.r.Perm(4)[:1+h.r.IntN(4)] {
		m := Machine{Name: fmt.Sprint("m", i)}
		switch h.r.IntN(3) {
		case 0:
			m.Host = fmt.Sprint("h", i)
		case 1:
			m.Workers = []string{fmt.Sprint("r", 2*i)}
		default:
			m.Workers = []string{fmt.Sprint("r", 2*i), fmt.Sprint("r", 2*i+1)}
		}
		p.Machines = append(p.Machines, m)
	}
	switch h.r.IntN(24) {
	case 0:
		p.Name, p.MaxUnavailable, p.MaxUnavailablePerZone, p.MaxUnavailablePerKind = "", 0, -1, -2
	case 1:
		p.DrainTimeout, p.WorkTimeout, p.ReturnTimeout, p.MinCapacity, p.OnOverdue = -1, -2, -3, 1.5, "never"
	case 2:
		p.Machines = append(p.Machines, p.Machines...)
	case 3:
		p.Machines = append(p.Machines, Machine{Host: "h1", Workers: []string{"r1"}}, Machine{Name: "m8"})
	case 4:
		p.Machines = nil
	case 5:
		return nil
	}
	return p
}

// texts are those that the last step came to.
func (h *history) texts() (all []string) {
	for _, e := range h.events {
		all = append(all, "event: "+e.Text)
	}
	h.events = nil
	if n := len(h.state.Results); n > 0 && !strings.Contains(h.state.Results[n-1].Text, "\n") { // several lines are faults of a plan
		all = append(all, fmt.Sprintf("answer %d: %q", h.state.Results[n-1].Code, h.state.Results[n-1].Text))
	}
	a := h.advance()
	for _, u := range h.state.Plans {
		for _, why := range h.state.WaitReasons(u, a) {
			all = append(all, "why: "+why)
		}
	}
	if p := h.plan(); p != nil {
		for _, fault := range h.state.ValidatePlan(p) {
			all = append(all, "fault: "+fault)
		}
	}
	return all
}

// digestQueries adds what each query answers.
func (h *history) digestQueries() {
	note := func(v any) {
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(h.digest, "%s\n", raw)
	}
	inMaintenance, leased := h.state.InMaintenance(), h.state.Leased()
	note([]map[string]bool{inMaintenance.Workers, inMaintenance.Hosts, leased.Workers, leased.Hosts})
	a := h.advance()
	note(h.state.WouldChange(a))
	compact := h.state.Compact(a)
	note(compact)
	note(h.state.Compact(compact))
	note(h.state.MemberNames())
	for _, plan := range h.state.Plans {
		next, reasons := h.state.NextMachine(plan, a)
		note(next)
		note(reasons)
		note(h.state.WaitReasons(plan, a))
	}
	if p := h.plan(); p != nil {
		note(h.state.ValidatePlan(p))
		note((&Command{Kind: CommandSubmitPlan, Plan: p}).RequiredLevel())
	}
	plan, p := h.state.FindMachine("", fmt.Sprint("m", h.r.IntN(4)))
	note(plan)
	note(p)
	answer, ok := h.state.Result(fmt.Sprint("call-", h.r.IntN(400)))
	note(answer)
	note(ok)
	for _, name := range h.state.MemberNames() {
		note(h.state.Members[name].HadIncarnation(fmt.Sprint("life-", h.r.IntN(10))))
	}
}
