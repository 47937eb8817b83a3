package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// fixture drives a state by hand: three members, six runners of one machine each in two zones and two kinds.
type fixture struct {
	t        *testing.T
	state    *State
	index    uint64
	proposal Advance
}

const second = time.Second

func newFixture(t *testing.T, p Plan) *fixture {
	d := &fixture{t: t, state: New(), proposal: Advance{FenceTimeout: 5 * second, WarmUp: 2 * second, Reports: map[string]MemberReport{}, Fleet: map[string]Worker{}}}
	for _, m := range []string{"a", "b", "c"} {
		d.apply(Command{Kind: CommandJoinMember, Member: &Member{Name: m, Incarnation: "1"}})
		d.proposal.Reports[m] = MemberReport{Incarnation: "1", SoleProcess: true}
	}
	for i := range 6 {
		d.proposal.Fleet[fmt.Sprint("r", i)] = Worker{Zone: fmt.Sprint("z", i%2), Kind: fmt.Sprint("k", i/3), Weight: float64(1 + i)}
	}
	if p.Name == "" {
		p.Name = "p"
	}
	if p.Machines == nil {
		for i := range 6 {
			p.Machines = append(p.Machines, machineOf(fmt.Sprint("m", i), fmt.Sprint("r", i)))
		}
	}
	if p.OnOverdue == "" {
		p.OnOverdue = OverdueWait
	}
	p.MaxUnavailable = max(p.MaxUnavailable, 1)
	d.expect(CodeOK, Command{Kind: CommandSubmitPlan, Plan: &p})
	return d
}

func machineOf(name string, workers ...string) Machine { return Machine{Name: name, Workers: workers} }

func (f *fixture) apply(c Command) []Event {
	raw, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.index++
	return f.state.Apply(f.index, raw)
}

func (f *fixture) expect(code int, c Command) {
	f.t.Helper()
	c.ID = fmt.Sprint("id", f.index)
	f.apply(c)
	if a, _ := f.state.Result(c.ID); a.Code != code {
		f.t.Errorf("%s %s: %+v, want code %d", c.Kind, c.Machine, a, code)
	}
}

// advance lets time pass; all members have all in force, but for those that are named.
func (f *fixture) advance(waited time.Duration, but ...string) {
	adv := f.proposal
	adv.StateSeq, adv.Elapsed = f.state.Seq, waited
	adv.Reports = map[string]MemberReport{}
	for name, w := range f.proposal.Reports {
		w.Applied = f.index
		for _, b := range but {
			if b == name {
				w.Applied = 0
			}
		}
		adv.Reports[name] = w
	}
	compactState := f.state.Clone()
	other := &fixture{t: f.t, state: compactState, index: f.index}
	other.apply(Command{Kind: CommandAdvance, Advance: f.state.Compact(&adv)})
	f.apply(Command{Kind: CommandAdvance, Advance: &adv})
	full, _ := f.state.Encode()
	if short, _ := compactState.Encode(); !bytes.Equal(full, short) {
		f.t.Errorf("entry %d: a brief one comes to\n%s\nnot to\n%s", f.index, short, full)
	}
}

func (f *fixture) changeWorker(name string, change func(*Worker)) {
	worker := f.proposal.Fleet[name]
	change(&worker)
	f.proposal.Fleet[name] = worker
}

func (f *fixture) expectPhases(want string) {
	f.t.Helper()
	var got []string
	for _, p := range f.state.Plans[0].MachineStates {
		if p.Phase != MachineWaiting {
			got = append(got, p.Name+" "+string(p.Phase))
		}
	}
	if s := strings.Join(got, ", "); s != want {
		f.t.Errorf("at entry %d: %q, want %q", f.index, s, want)
	}
}

func (f *fixture) startPlan() {
	f.expect(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
	f.advance(second)
}

// One machine's way, and that a lost member is waited for no longer than the bound.
func TestMachine_PassesThroughAllPhases(t *testing.T) {
	d := newFixture(t, Plan{})
	d.expect(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
	d.advance(second, "c")
	d.expectPhases("") // it has not begun: c does not have it in force
	d.advance(second)
	d.expectPhases("m0 leaving") // the least weight
	if away := d.state.InMaintenance().Workers; !away["r0"] || away["r1"] || !d.state.Leased().Workers["r5"] {
		t.Errorf("away %v, leased %v", d.state.InMaintenance(), d.state.Leased())
	}
	d.expect(CodeRetryLater, Command{Kind: CommandClaimMachine, Machine: "m0"})
	d.advance(4*second, "c")
	d.expectPhases("m0 leaving")
	d.advance(second, "c")
	d.expectPhases("m0 clear")
	d.expect(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"})
	d.expect(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"}) // staff may ask again
	d.expect(CodeInvalid, Command{Kind: CommandSkipMachine, Machine: "m0"})
	d.expect(CodeInvalid, Command{Kind: CommandReturnMachine, Machine: "m1"})
	d.expect(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})
	d.advance(second) // listed and not cold by anybody's word, and still not warm for certain
	d.expectPhases("m0 returning")
	d.changeWorker("r0", func(r *Worker) { r.WarmingUp = true })
	d.advance(9 * second)
	d.expectPhases("m0 returning")
	d.changeWorker("r0", func(r *Worker) { r.WarmingUp = false })
	d.advance(second)
	d.expectPhases("m0 warm, m1 leaving") // the other zone's turn
	d.advance(second)
	d.expectPhases("m0 done, m1 clear")
	d.expect(CodeOK, Command{Kind: CommandAbortPlan, Name: "p"})
	d.expectPhases("m0 done, m1 returning, m2 skipped, m3 skipped, m4 skipped, m5 skipped")
	d.advance(3 * second)
	d.advance(second)
	d.expectPhases("m0 done, m1 skipped, m2 skipped, m3 skipped, m4 skipped, m5 skipped") // nobody had m1
	d.expect(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})                  // staff may ask again after the end
	d.expect(CodeInvalid, Command{Kind: CommandClaimMachine, Machine: "m1"})
	if d.state.Plans[0].Phase != PlanEnded {
		t.Errorf("it is %s", d.state.Plans[0].Phase)
	}
}

// What keeps a machine from being clear.
func TestDrain_BlockedByMember(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"something of a member's runs there": func(d *fixture) {
			d.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true, BusyWorkers: []string{"r0"}}
		},
		"another life of it speaks":   func(d *fixture) { d.proposal.Reports["b"] = MemberReport{Incarnation: "2", SoleProcess: true} },
		"another process of it lives": func(d *fixture) { d.proposal.Reports["b"] = MemberReport{Incarnation: "1"} },
		"a member has come that said naught": func(d *fixture) {
			d.apply(Command{Kind: CommandJoinMember, Member: &Member{Name: "e", Incarnation: "1"}})
		},
	} {
		d := newFixture(t, Plan{})
		d.startPlan()
		change(d)
		d.advance(second)
		d.expectPhases("m0 leaving")
		if why := d.state.WaitReasons(d.state.Plans[0], &d.proposal)["m0"]; !strings.Contains(why, "b") && !strings.Contains(why, "e") {
			t.Errorf("%s: why: %q", name, why)
		}
		d.advance(5 * second)
		d.expectPhases("m0 clear")
	}
}

// What keeps a machine from being taken, and who goes first.
func TestBudget_LimitsMachinesTaken(t *testing.T) {
	for name, c := range map[string]struct {
		plan   Plan
		change func(*fixture)
		want   string
	}{
		"one at a time":             {Plan{}, func(*fixture) {}, "m0 leaving"},
		"three, one a zone":         {Plan{MaxUnavailable: 3, MaxUnavailablePerZone: 1}, func(*fixture) {}, "m0 leaving, m1 leaving"},
		"three, one a kind":         {Plan{MaxUnavailable: 3, MaxUnavailablePerKind: 1}, func(*fixture) {}, "m0 leaving, m3 leaving"},
		"19 of 21 stay":             {Plan{MaxUnavailable: 6, MinCapacity: 0.9}, func(*fixture) {}, "m0 leaving"},
		"another is down":           {Plan{}, func(d *fixture) { d.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", Unavailable: true} }, ""},
		"another is out by hand":    {Plan{}, func(d *fixture) { d.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", Disabled: true} }, ""},
		"another is cold":           {Plan{}, func(d *fixture) { d.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", WarmingUp: true} }, ""},
		"what is broken goes first": {Plan{}, func(d *fixture) { d.changeWorker("r4", func(r *Worker) { r.Unavailable = true }) }, "m4 leaving"},
		"of two that are broken one": {Plan{}, func(d *fixture) {
			for _, r := range []string{"r2", "r4"} {
				d.changeWorker(r, func(r *Worker) { r.Unavailable = true })
			}
		}, "m2 leaving"},
		"a zone that is gone": {Plan{MinCapacity: 0.9}, func(d *fixture) {
			for _, r := range []string{"r1", "r3", "r5"} {
				d.changeWorker(r, func(r *Worker) { r.Unavailable = true })
			}
		}, "m1 leaving"},
		"the other zone's turn": {Plan{MaxUnavailable: 2, Machines: []Machine{machineOf("m0", "r0"), machineOf("m2", "r2"), machineOf("m1", "r1")}}, func(d *fixture) {
			for i := range 3 {
				d.changeWorker(fmt.Sprint("r", i), func(r *Worker) { r.Weight = 1 })
			}
		}, "m0 leaving, m1 leaving"},
		"never the last of a kind":        {Plan{MaxUnavailable: 9}, func(d *fixture) { d.changeWorker("r0", func(r *Worker) { r.Kind = "rare" }) }, "m1 leaving, m3 leaving, m4 leaving"},
		"never the last of a zone":        {Plan{MaxUnavailable: 9}, func(d *fixture) { d.changeWorker("r0", func(r *Worker) { r.Zone = "far" }) }, "m1 leaving, m2 leaving, m3 leaving"},
		"a runner of the plan is unknown": {Plan{}, func(d *fixture) { delete(d.proposal.Fleet, "r0") }, "m0 leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFixture(t, c.plan)
			c.change(d)
			report := MemberReport{Incarnation: "1", SoleProcess: true}
			for i := range 6 { // nothing gets clear
				report.BusyWorkers = append(report.BusyWorkers, fmt.Sprint("r", i))
			}
			d.proposal.Reports["b"] = report
			d.startPlan()
			for range 8 {
				d.advance(second / 100)
			}
			d.expectPhases(c.want)
			if c.want == "" && len(d.state.WaitReasons(d.state.Plans[0], &d.proposal)) != len(d.state.Plans[0].MachineStates) {
				t.Errorf("why: %v", d.state.WaitReasons(d.state.Plans[0], &d.proposal))
			}
		})
	}
}

// Steps that take too long.
func TestOverdue_FollowsPlanSetting(t *testing.T) {
	for _, c := range []struct {
		overdue string
		steps   string
		phase   PlanPhase
	}{
		{OverdueWait, "m0 leaving", PlanRunning}, {OverduePause, "m0 leaving", PlanPaused}, {OverdueSkip, "m0 returning", PlanRunning},
	} {
		d := newFixture(t, Plan{DrainTimeout: 2 * second, OnOverdue: c.overdue})
		d.startPlan()
		d.advance(3*second, "c")
		d.expectPhases(c.steps)
		if u := d.state.Plans[0]; u.Phase != c.phase || c.overdue != OverdueSkip && !u.MachineStates[0].Overdue {
			t.Errorf("%s: %s, %+v", c.overdue, u.Phase, u.MachineStates[0])
		}
	}
}

// Staff who keep a machine too long, and a machine that does not come back in time: it is told, and it may still come.
func TestReturn_FailsWhenLate(t *testing.T) {
	d := newFixture(t, Plan{WorkTimeout: 2 * second, ReturnTimeout: 5 * second, OnOverdue: OverduePause})
	d.startPlan()
	d.advance(second)
	d.expect(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"})
	d.advance(3 * second)
	if u := d.state.Plans[0]; u.Phase != PlanPaused || !u.MachineStates[0].Overdue {
		t.Errorf("%s, %+v", u.Phase, u.MachineStates[0])
	}
	d.expect(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})
	d.changeWorker("r0", func(r *Worker) { r.Unavailable = true })
	d.advance(6 * second)
	d.expectPhases("m0 failed")
	d.expect(CodeInvalid, Command{Kind: CommandClaimMachine, Machine: "m0"})
	d.changeWorker("r0", func(r *Worker) { r.Unavailable = false })
	d.advance(second)
	d.advance(second)
	d.expectPhases("m0 done")
}

// Two plans share the budget: what one has taken counts against the other.
func TestBudget_SharedByPlans(t *testing.T) {
	d := newFixture(t, Plan{Machines: []Machine{machineOf("m0", "r0")}})
	d.expect(CodeOK, Command{Kind: CommandSubmitPlan, Plan: &Plan{Name: "q", MaxUnavailable: 1, OnOverdue: OverdueWait, Machines: []Machine{machineOf("n1", "r1")}}})
	d.expect(CodeOK, Command{Kind: CommandStartPlan, Name: "q"})
	d.startPlan()
	d.advance(second)
	_, n1 := d.state.FindMachine("q", "n1")
	_, m0 := d.state.FindMachine("p", "m0")
	if away := len(d.state.InMaintenance().Workers); away != 1 {
		t.Errorf("%d runners away: %s, %s", away, m0.Phase, n1.Phase)
	}
	d.expect(CodeOK, Command{Kind: CommandAbortPlan, Name: "p"})
	for range 4 {
		d.advance(3 * second)
	}
	if n1.Phase != MachineDrained {
		t.Errorf("once the other is through: %s", n1.Phase)
	}
}

// Time that was counted once never counts again, whoever counted it.
func TestAdvance_CountsTimeOnce(t *testing.T) {
	d := newFixture(t, Plan{})
	d.startPlan()
	late := d.proposal
	late.StateSeq, late.Elapsed, late.Reports = d.state.Seq, 4*second, nil
	d.apply(Command{Kind: CommandAdvance, Advance: &late})
	at := d.state.Clock
	d.apply(Command{Kind: CommandAdvance, Advance: &late}) // of a leader that is none any more, say
	if d.state.Clock != at {
		t.Errorf("the clock went on from %v to %v", at, d.state.Clock)
	}
}

// A call acts once, and an entry that a snapshot covers never again; what a build does not know changes nothing.
func TestApply_ActsOncePerID(t *testing.T) {
	d := newFixture(t, Plan{})
	d.startPlan()
	halt := Command{ID: "x", Kind: CommandPausePlan, Name: "p"}
	d.apply(halt)
	d.expect(CodeOK, Command{Kind: CommandResumePlan, Name: "p"})
	if events := d.apply(halt); len(events) > 0 || d.state.Plans[0].Phase != PlanAnnounced {
		t.Errorf("%v, it is %s", events, d.state.Plans[0].Phase)
	}
	before, _ := d.state.Encode()
	raw, _ := json.Marshal(Command{Kind: CommandAbortPlan, Name: "p"})
	d.state.Apply(d.index, raw)
	if after, _ := d.state.Encode(); !bytes.Equal(before, after) {
		t.Error("an entry was applied twice")
	}
	d.expect(CodeInvalid, Command{Kind: "of tomorrow"})
}

// A machine that is a host: whoever is listed there belongs to it, under whatever name and from whenever on.
func TestHost_CoversAllItsWorkers(t *testing.T) {
	d := newFixture(t, Plan{Machines: []Machine{{Name: "h", Host: "h0"}}})
	for _, name := range []string{"r0", "r1"} {
		d.changeWorker(name, func(r *Worker) { r.Host = "h0" })
	}
	d.startPlan()
	d.expectPhases("h leaving")
	is := func(what string) {
		t.Helper()
		if got := strings.Join(d.state.Plans[0].MachineStates[0].Workers, " "); got != what {
			t.Errorf("its runners are %q, want %q", got, what)
		}
	}
	is("r0 r1")
	if away := d.state.InMaintenance(); !away.Hosts["h0"] || len(away.Workers) > 0 {
		t.Errorf("away are %+v", away)
	}
	d.changeWorker("r0", func(r *Worker) { r.Gone, r.Unavailable = true, true })
	d.changeWorker("new", func(r *Worker) { *r = Worker{Host: "h0", Zone: "z0", Kind: "k0", Weight: 1, WarmingUp: true} })
	d.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true, BusyHosts: []string{"h0"}} // at a runner that the leader has not heard of
	d.advance(second)
	d.expectPhases("h leaving")
	is("new r0 r1")
	d.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true}
	d.advance(second)
	d.expect(CodeOK, Command{Kind: CommandClaimMachine, Machine: "h"})
	d.expect(CodeOK, Command{Kind: CommandReturnMachine, Machine: "h"})
	if faults := strings.Join(d.state.ValidatePlan(&Plan{Name: "q", MaxUnavailable: 1, OnOverdue: OverdueWait, Machines: []Machine{{Name: "x", Host: "h0"}}}), " "); !strings.Contains(faults, `machine[0].host: "h0" is in plan "p"`) {
		t.Errorf("a second plan for it: %s", faults)
	}
	was := d.proposal.Fleet // nobody is listed there yet: it is not whole for that
	d.proposal.Fleet = map[string]Worker{}
	d.advance(9 * second)
	is("new r0 r1")
	d.proposal.Fleet = was
	d.advance(second)
	is("new r1")
	d.expectPhases("h returning")
	d.changeWorker("new", func(r *Worker) { r.WarmingUp = false })
	d.advance(second)
	d.advance(second)
	d.expectPhases("h done")
	// The name that is gone for good does not count as away by itself; one that goes later does.
	if n := d.state.budgetUnits(&d.proposal); n["runner r0"] != nil || n["runner new"].unavailable {
		t.Errorf("units: %+v", n)
	}
	d.changeWorker("new", func(r *Worker) { r.Gone, r.Unavailable = true, true })
	if n := d.state.budgetUnits(&d.proposal); !n["runner new"].unavailable {
		t.Error("one that has gone since does not count")
	}
}

func TestValidatePlan_NamesEachProblem(t *testing.T) {
	d := newFixture(t, Plan{})
	faults := strings.Join(d.state.ValidatePlan(&Plan{
		Name: "p", MaxUnavailable: -1, MaxUnavailablePerZone: -1, MaxUnavailablePerKind: -1, DrainTimeout: -second, MinCapacity: 2, OnOverdue: "never",
		Machines: []Machine{machineOf("x", "r0", "r9"), machineOf("x", "r9"), {}, {Name: "h", Host: "h"}, {Name: "i", Host: "h"}, {Name: "j", Host: "j", Workers: []string{"r8"}}},
	}), "\n")
	for _, want := range []string{
		`name: a plan "p" is handed in`, "out: -1", "zone_out: -1", "kind_out: -1", "leave: -1s", "capacity: 2", `overdue: "never"`, `machine[0].runners: "r0" is in plan "p"`,
		`machine[1].name: "x"`, `machine[1].runners: "r9" is in machine[0]`, "machine[2].name", "machine[2].runners: there is none",
		`machine[4].host: "h" is that of machine[3]`, "machine[5].host: it names runners too",
	} {
		if !strings.Contains(faults, want) {
			t.Errorf("%q is not in:\n%s", want, faults)
		}
	}
}

// Random entries give the same bytes at each member, over a snapshot too, and never more away than the plan allows.
func TestApply_IsDeterministic(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := newFixture(t, Plan{MaxUnavailable: 1 + r.IntN(3)})
		other := New()
		d.expect(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
		replay := func(from *State) { // another member, a moment later
			raw, err := from.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if other, err = Decode(raw); err != nil {
				t.Fatal(err)
			}
		}
		replay(d.state)
		for range 60 {
			switch r.IntN(7) {
			case 0:
				d.changeWorker(fmt.Sprint("r", r.IntN(6)), func(w *Worker) { w.Unavailable = r.IntN(4) == 0 })
			case 1:
				raw, _ := json.Marshal(Command{Kind: []CommandKind{CommandClaimMachine, CommandReturnMachine, CommandSkipMachine}[r.IntN(3)], Machine: fmt.Sprint("m", r.IntN(6))})
				d.index++
				d.state.Apply(d.index, raw)
				other.Apply(d.index, raw)
			default:
				adv := d.proposal
				adv.StateSeq, adv.Elapsed, adv.Reports = d.state.Seq, time.Duration(r.IntN(3))*second, map[string]MemberReport{}
				for name, w := range d.proposal.Reports {
					if w.Applied = d.index; r.IntN(4) > 0 {
						adv.Reports[name] = w
					}
				}
				before := countUnderMaintenance(d.state)
				raw, _ := json.Marshal(Command{Kind: CommandAdvance, Advance: &adv})
				d.index++
				d.state.Apply(d.index, raw)
				other.Apply(d.index, raw)
				if now := countUnderMaintenance(d.state); now > before && now > d.state.Plans[0].MaxUnavailable {
					t.Fatalf("seed %d: %d machines away, %d may be", seed, now, d.state.Plans[0].MaxUnavailable)
				}
			}
			a, _ := d.state.Encode()
			if b, _ := other.Encode(); !bytes.Equal(a, b) {
				t.Fatalf("seed %d: two members differ:\n%s\n%s", seed, a, b)
			}
		}
	}
}

func countUnderMaintenance(s *State) (n int) {
	for _, p := range s.Plans[0].MachineStates {
		if p.Phase != MachineWaiting && !p.Phase.finished() && p.Phase != MachineWarm {
			n++
		}
	}
	return n
}

// An entry or a state of a newer build is not passed over, and changes nothing.
func TestApply_RejectsNewerLevel(t *testing.T) {
	d := newFixture(t, Plan{})
	was, _ := d.state.Encode()
	for _, raw := range []string{`{"kind":"trust","needs":3}`, `{"kind":7}`} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s was carried out", raw)
				}
			}()
			d.state.Apply(d.index+1, []byte(raw))
		}()
	}
	if now, _ := d.state.Encode(); !bytes.Equal(now, was) {
		t.Errorf("%s\nwas %s", now, was)
	}
	d.apply(Command{Kind: CommandTrustHistory, Level: 2})
	now, err := d.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode(now); err != nil || s.Level != 2 {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := Decode(bytes.Replace(now, []byte(`"level":2`), []byte(`"level":3`), 1)); err == nil {
		t.Error("a state of a newer build was taken")
	}
}

// A brief entry is as short for hundreds of members and runners as for few, and names whoever is in the way.
func TestCompact_SizeIndependentOfFleet(t *testing.T) {
	length := func(members, workers int) int {
		s := New()
		a := &Advance{Reports: map[string]MemberReport{}, Fleet: map[string]Worker{}}
		for i := range members {
			name := fmt.Sprint("edge-", i)
			s.Members[name] = &Member{Name: name, Incarnation: "L"}
			a.Reports[name] = MemberReport{Incarnation: "L", Applied: 10, SoleProcess: true}
		}
		a.Reports["edge-0"], a.Reports["edge-1"] = MemberReport{Incarnation: "L", Applied: 3, SoleProcess: true}, MemberReport{Incarnation: "L", Applied: 10, SoleProcess: true, BusyWorkers: []string{"r1"}}
		for i := range workers {
			a.Fleet[fmt.Sprint("r", i)] = Worker{Zone: fmt.Sprint(i % 3), Kind: "k", Weight: 1, WarmingUp: i == 7}
		}
		s.Plans = []*PlanState{{Phase: PlanRunning, AnnouncedIndex: 5, MachineStates: []*MachineState{{Machine: machineOf("m", "r1"), Phase: MachineDraining, PhaseIndex: 9}}}}
		b := s.Compact(a)
		if len(b.Reports) != 2 || len(b.Fleet) != 2 || b.DefaultApplied != 9 || len(b.UnnamedWorkers) != 3 {
			t.Errorf("%+v", b)
		}
		if blocking := s.blockingMembers(s.Plans[0].MachineStates[0], b); len(blocking) != 2 {
			t.Errorf("held by %v", blocking)
		}
		raw, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	if few, many := length(3, 12), length(300, 1200); many > few+10 {
		t.Errorf("%d bytes for 300 members and 1200 runners, %d for few", many, few)
	}
}
