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

// desk drives a state by hand: three members, six runners of one machine each in two zones and two kinds.
type desk struct {
	t     *testing.T
	s     *State
	index uint64
	adv   Advance
}

const sec = time.Second

func newDesk(t *testing.T, p Plan) *desk {
	d := &desk{t: t, s: New(), adv: Advance{Bound: 5 * sec, Warm: 2 * sec, Words: map[string]Word{}, Fleet: map[string]Runner{}}}
	for _, m := range []string{"a", "b", "c"} {
		d.do(Command{Kind: Join, Member: &Member{Name: m, Life: "1"}})
		d.adv.Words[m] = Word{Life: "1", Alone: true}
	}
	for i := range 6 {
		d.adv.Fleet[fmt.Sprint("r", i)] = Runner{Zone: fmt.Sprint("z", i%2), Kind: fmt.Sprint("k", i/3), Weight: float64(1 + i)}
	}
	if p.Name == "" {
		p.Name = "p"
	}
	if p.Machines == nil {
		for i := range 6 {
			p.Machines = append(p.Machines, named(fmt.Sprint("m", i), fmt.Sprint("r", i)))
		}
	}
	if p.Overdue == "" {
		p.Overdue = Wait
	}
	p.Out = max(p.Out, 1)
	d.call(Yes, Command{Kind: HandIn, Plan: &p})
	return d
}

func named(name string, runners ...string) Machine { return Machine{Name: name, Runners: runners} }

func (d *desk) do(c Command) []Event {
	raw, err := json.Marshal(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.index++
	return d.s.Apply(d.index, raw)
}

func (d *desk) call(code int, c Command) {
	d.t.Helper()
	c.ID = fmt.Sprint("id", d.index)
	d.do(c)
	if a, _ := d.s.Answer(c.ID); a.Code != code {
		d.t.Errorf("%s %s: %+v, want code %d", c.Kind, c.Machine, a, code)
	}
}

// tick lets time pass; all members have all in force, but for those that are named.
func (d *desk) tick(waited time.Duration, but ...string) {
	adv := d.adv
	adv.Seq, adv.Waited = d.s.Seq, waited
	adv.Words = map[string]Word{}
	for name, w := range d.adv.Words {
		w.Applied = d.index
		for _, b := range but {
			if b == name {
				w.Applied = 0
			}
		}
		adv.Words[name] = w
	}
	brief := d.s.Clone()
	other := &desk{t: d.t, s: brief, index: d.index}
	other.do(Command{Kind: Proceed, Advance: d.s.Brief(&adv)})
	d.do(Command{Kind: Proceed, Advance: &adv})
	full, _ := d.s.Encode()
	if short, _ := brief.Encode(); !bytes.Equal(full, short) {
		d.t.Errorf("entry %d: a brief one comes to\n%s\nnot to\n%s", d.index, short, full)
	}
}

func (d *desk) runner(name string, f func(*Runner)) {
	r := d.adv.Fleet[name]
	f(&r)
	d.adv.Fleet[name] = r
}

func (d *desk) steps(want string) {
	d.t.Helper()
	var got []string
	for _, p := range d.s.Plans[0].Places {
		if p.Step != Waiting {
			got = append(got, p.Name+" "+string(p.Step))
		}
	}
	if s := strings.Join(got, ", "); s != want {
		d.t.Errorf("at entry %d: %q, want %q", d.index, s, want)
	}
}

func (d *desk) start() {
	d.call(Yes, Command{Kind: Start, Name: "p"})
	d.tick(sec)
}

// One machine's way, and that a lost member is waited for no longer than the bound.
func TestAMachinesWay(t *testing.T) {
	d := newDesk(t, Plan{})
	d.call(Yes, Command{Kind: Start, Name: "p"})
	d.tick(sec, "c")
	d.steps("") // it has not begun: c does not have it in force
	d.tick(sec)
	d.steps("m0 leaving") // the least weight
	if away := d.s.Away().Runners; !away["r0"] || away["r1"] || !d.s.Leased().Runners["r5"] {
		t.Errorf("away %v, leased %v", d.s.Away(), d.s.Leased())
	}
	d.call(NotNow, Command{Kind: Take, Machine: "m0"})
	d.tick(4*sec, "c")
	d.steps("m0 leaving")
	d.tick(sec, "c")
	d.steps("m0 clear")
	d.call(Yes, Command{Kind: Take, Machine: "m0"})
	d.call(Yes, Command{Kind: Take, Machine: "m0"}) // staff may ask again
	d.call(Wrong, Command{Kind: GiveUp, Machine: "m0"})
	d.call(Wrong, Command{Kind: Return, Machine: "m1"})
	d.call(Yes, Command{Kind: Return, Machine: "m0"})
	d.tick(sec) // listed and not cold by anybody's word, and still not warm for certain
	d.steps("m0 returning")
	d.runner("r0", func(r *Runner) { r.Cold = true })
	d.tick(9 * sec)
	d.steps("m0 returning")
	d.runner("r0", func(r *Runner) { r.Cold = false })
	d.tick(sec)
	d.steps("m0 warm, m1 leaving") // the other zone's turn
	d.tick(sec)
	d.steps("m0 done, m1 clear")
	d.call(Yes, Command{Kind: Abort, Name: "p"})
	d.steps("m0 done, m1 returning, m2 skipped, m3 skipped, m4 skipped, m5 skipped")
	d.tick(3 * sec)
	d.tick(sec)
	d.steps("m0 done, m1 skipped, m2 skipped, m3 skipped, m4 skipped, m5 skipped") // nobody had m1
	d.call(Yes, Command{Kind: Return, Machine: "m0"})                              // staff may ask again after the end
	d.call(Wrong, Command{Kind: Take, Machine: "m1"})
	if d.s.Plans[0].Phase != Ended {
		t.Errorf("it is %s", d.s.Plans[0].Phase)
	}
}

// What keeps a machine from being clear.
func TestNotClear(t *testing.T) {
	for name, change := range map[string]func(*desk){
		"something of a member's runs there": func(d *desk) { d.adv.Words["b"] = Word{Life: "1", Alone: true, Busy: []string{"r0"}} },
		"another life of it speaks":          func(d *desk) { d.adv.Words["b"] = Word{Life: "2", Alone: true} },
		"another process of it lives":        func(d *desk) { d.adv.Words["b"] = Word{Life: "1"} },
		"a member has come that said naught": func(d *desk) { d.do(Command{Kind: Join, Member: &Member{Name: "e", Life: "1"}}) },
	} {
		d := newDesk(t, Plan{})
		d.start()
		change(d)
		d.tick(sec)
		d.steps("m0 leaving")
		if why := d.s.Why(d.s.Plans[0], &d.adv)["m0"]; !strings.Contains(why, "b") && !strings.Contains(why, "e") {
			t.Errorf("%s: why: %q", name, why)
		}
		d.tick(5 * sec)
		d.steps("m0 clear")
	}
}

// What keeps a machine from being taken, and who goes first.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		plan   Plan
		change func(*desk)
		want   string
	}{
		"one at a time":             {Plan{}, func(*desk) {}, "m0 leaving"},
		"three, one a zone":         {Plan{Out: 3, ZoneOut: 1}, func(*desk) {}, "m0 leaving, m1 leaving"},
		"three, one a kind":         {Plan{Out: 3, KindOut: 1}, func(*desk) {}, "m0 leaving, m3 leaving"},
		"19 of 21 stay":             {Plan{Out: 6, Capacity: 0.9}, func(*desk) {}, "m0 leaving"},
		"another is down":           {Plan{}, func(d *desk) { d.adv.Fleet["x"] = Runner{Zone: "z0", Kind: "k0", Down: true} }, ""},
		"another is out by hand":    {Plan{}, func(d *desk) { d.adv.Fleet["x"] = Runner{Zone: "z0", Kind: "k0", Hand: true} }, ""},
		"another is cold":           {Plan{}, func(d *desk) { d.adv.Fleet["x"] = Runner{Zone: "z0", Kind: "k0", Cold: true} }, ""},
		"what is broken goes first": {Plan{}, func(d *desk) { d.runner("r4", func(r *Runner) { r.Down = true }) }, "m4 leaving"},
		"of two that are broken one": {Plan{}, func(d *desk) {
			for _, r := range []string{"r2", "r4"} {
				d.runner(r, func(r *Runner) { r.Down = true })
			}
		}, "m2 leaving"},
		"a zone that is gone": {Plan{Capacity: 0.9}, func(d *desk) {
			for _, r := range []string{"r1", "r3", "r5"} {
				d.runner(r, func(r *Runner) { r.Down = true })
			}
		}, "m1 leaving"},
		"the other zone's turn": {Plan{Out: 2, Machines: []Machine{named("m0", "r0"), named("m2", "r2"), named("m1", "r1")}}, func(d *desk) {
			for i := range 3 {
				d.runner(fmt.Sprint("r", i), func(r *Runner) { r.Weight = 1 })
			}
		}, "m0 leaving, m1 leaving"},
		"never the last of a kind":        {Plan{Out: 9}, func(d *desk) { d.runner("r0", func(r *Runner) { r.Kind = "rare" }) }, "m1 leaving, m3 leaving, m4 leaving"},
		"never the last of a zone":        {Plan{Out: 9}, func(d *desk) { d.runner("r0", func(r *Runner) { r.Zone = "far" }) }, "m1 leaving, m2 leaving, m3 leaving"},
		"a runner of the plan is unknown": {Plan{}, func(d *desk) { delete(d.adv.Fleet, "r0") }, "m0 leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, c.plan)
			c.change(d)
			busy := Word{Life: "1", Alone: true}
			for i := range 6 { // nothing gets clear
				busy.Busy = append(busy.Busy, fmt.Sprint("r", i))
			}
			d.adv.Words["b"] = busy
			d.start()
			for range 8 {
				d.tick(sec / 100)
			}
			d.steps(c.want)
			if c.want == "" && len(d.s.Why(d.s.Plans[0], &d.adv)) != len(d.s.Plans[0].Places) {
				t.Errorf("why: %v", d.s.Why(d.s.Plans[0], &d.adv))
			}
		})
	}
}

// Steps that take too long.
func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		overdue string
		steps   string
		phase   Phase
	}{
		{Wait, "m0 leaving", Running}, {Pause, "m0 leaving", Paused}, {Skip, "m0 returning", Running},
	} {
		d := newDesk(t, Plan{Leave: 2 * sec, Overdue: c.overdue})
		d.start()
		d.tick(3*sec, "c")
		d.steps(c.steps)
		if u := d.s.Plans[0]; u.Phase != c.phase || c.overdue != Skip && !u.Places[0].Overdue {
			t.Errorf("%s: %s, %+v", c.overdue, u.Phase, u.Places[0])
		}
	}
}

// Staff who keep a machine too long, and a machine that does not come back in time: it is told, and it may still come.
func TestLateReturn(t *testing.T) {
	d := newDesk(t, Plan{Work: 2 * sec, Back: 5 * sec, Overdue: Pause})
	d.start()
	d.tick(sec)
	d.call(Yes, Command{Kind: Take, Machine: "m0"})
	d.tick(3 * sec)
	if u := d.s.Plans[0]; u.Phase != Paused || !u.Places[0].Overdue {
		t.Errorf("%s, %+v", u.Phase, u.Places[0])
	}
	d.call(Yes, Command{Kind: Return, Machine: "m0"})
	d.runner("r0", func(r *Runner) { r.Down = true })
	d.tick(6 * sec)
	d.steps("m0 failed")
	d.call(Wrong, Command{Kind: Take, Machine: "m0"})
	d.runner("r0", func(r *Runner) { r.Down = false })
	d.tick(sec)
	d.tick(sec)
	d.steps("m0 done")
}

// Two plans share the budget: what one has taken counts against the other.
func TestTwoPlans(t *testing.T) {
	d := newDesk(t, Plan{Machines: []Machine{named("m0", "r0")}})
	d.call(Yes, Command{Kind: HandIn, Plan: &Plan{Name: "q", Out: 1, Overdue: Wait, Machines: []Machine{named("n1", "r1")}}})
	d.call(Yes, Command{Kind: Start, Name: "q"})
	d.start()
	d.tick(sec)
	_, n1 := d.s.Find("q", "n1")
	_, m0 := d.s.Find("p", "m0")
	if away := len(d.s.Away().Runners); away != 1 {
		t.Errorf("%d runners away: %s, %s", away, m0.Step, n1.Step)
	}
	d.call(Yes, Command{Kind: Abort, Name: "p"})
	for range 4 {
		d.tick(3 * sec)
	}
	if n1.Step != Clear {
		t.Errorf("once the other is through: %s", n1.Step)
	}
}

// Time that was counted once never counts again, whoever counted it.
func TestTimeCountsOnce(t *testing.T) {
	d := newDesk(t, Plan{})
	d.start()
	late := d.adv
	late.Seq, late.Waited, late.Words = d.s.Seq, 4*sec, nil
	d.do(Command{Kind: Proceed, Advance: &late})
	at := d.s.Clock
	d.do(Command{Kind: Proceed, Advance: &late}) // of a leader that is none any more, say
	if d.s.Clock != at {
		t.Errorf("the clock went on from %v to %v", at, d.s.Clock)
	}
}

// A call acts once, and an entry that a snapshot covers never again; what a build does not know changes nothing.
func TestOnce(t *testing.T) {
	d := newDesk(t, Plan{})
	d.start()
	halt := Command{ID: "x", Kind: Halt, Name: "p"}
	d.do(halt)
	d.call(Yes, Command{Kind: Resume, Name: "p"})
	if events := d.do(halt); len(events) > 0 || d.s.Plans[0].Phase != Announced {
		t.Errorf("%v, it is %s", events, d.s.Plans[0].Phase)
	}
	before, _ := d.s.Encode()
	raw, _ := json.Marshal(Command{Kind: Abort, Name: "p"})
	d.s.Apply(d.index, raw)
	if after, _ := d.s.Encode(); !bytes.Equal(before, after) {
		t.Error("an entry was applied twice")
	}
	d.call(Wrong, Command{Kind: "of tomorrow"})
}

// A machine that is a host: whoever is listed there belongs to it, under whatever name and from whenever on.
func TestAHost(t *testing.T) {
	d := newDesk(t, Plan{Machines: []Machine{{Name: "h", Host: "h0"}}})
	for _, name := range []string{"r0", "r1"} {
		d.runner(name, func(r *Runner) { r.Host = "h0" })
	}
	d.start()
	d.steps("h leaving")
	is := func(what string) {
		t.Helper()
		if got := strings.Join(d.s.Plans[0].Places[0].Runners, " "); got != what {
			t.Errorf("its runners are %q, want %q", got, what)
		}
	}
	is("r0 r1")
	if away := d.s.Away(); !away.Hosts["h0"] || len(away.Runners) > 0 {
		t.Errorf("away are %+v", away)
	}
	d.runner("r0", func(r *Runner) { r.Gone, r.Down = true, true })
	d.runner("new", func(r *Runner) { *r = Runner{Host: "h0", Zone: "z0", Kind: "k0", Weight: 1, Cold: true} })
	d.adv.Words["b"] = Word{Life: "1", Alone: true, BusyAt: []string{"h0"}} // at a runner that the leader has not heard of
	d.tick(sec)
	d.steps("h leaving")
	is("new r0 r1")
	d.adv.Words["b"] = Word{Life: "1", Alone: true}
	d.tick(sec)
	d.call(Yes, Command{Kind: Take, Machine: "h"})
	d.call(Yes, Command{Kind: Return, Machine: "h"})
	if faults := strings.Join(d.s.Faults(&Plan{Name: "q", Out: 1, Overdue: Wait, Machines: []Machine{{Name: "x", Host: "h0"}}}), " "); !strings.Contains(faults, `machine[0].host: "h0" is in plan "p"`) {
		t.Errorf("a second plan for it: %s", faults)
	}
	was := d.adv.Fleet // nobody is listed there yet: it is not whole for that
	d.adv.Fleet = map[string]Runner{}
	d.tick(9 * sec)
	is("new r0 r1")
	d.adv.Fleet = was
	d.tick(sec)
	is("new r1")
	d.steps("h returning")
	d.runner("new", func(r *Runner) { r.Cold = false })
	d.tick(sec)
	d.tick(sec)
	d.steps("h done")
	// The name that is gone for good does not count as away by itself; one that goes later does.
	if n := d.s.units(&d.adv); n["runner r0"] != nil || n["runner new"].away {
		t.Errorf("units: %+v", n)
	}
	d.runner("new", func(r *Runner) { r.Gone, r.Down = true, true })
	if n := d.s.units(&d.adv); !n["runner new"].away {
		t.Error("one that has gone since does not count")
	}
}

func TestFaultsOfAPlan(t *testing.T) {
	d := newDesk(t, Plan{})
	faults := strings.Join(d.s.Faults(&Plan{
		Name: "p", Out: -1, ZoneOut: -1, KindOut: -1, Leave: -sec, Capacity: 2, Overdue: "never",
		Machines: []Machine{named("x", "r0", "r9"), named("x", "r9"), {}, {Name: "h", Host: "h"}, {Name: "i", Host: "h"}, {Name: "j", Host: "j", Runners: []string{"r8"}}},
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
func TestSameBytesEverywhere(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := newDesk(t, Plan{Out: 1 + r.IntN(3)})
		other := New()
		d.call(Yes, Command{Kind: Start, Name: "p"})
		replay := func(from *State) { // another member, a moment later
			raw, err := from.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if other, err = Decode(raw); err != nil {
				t.Fatal(err)
			}
		}
		replay(d.s)
		for range 60 {
			switch r.IntN(7) {
			case 0:
				d.runner(fmt.Sprint("r", r.IntN(6)), func(w *Runner) { w.Down = r.IntN(4) == 0 })
			case 1:
				raw, _ := json.Marshal(Command{Kind: []Kind{Take, Return, GiveUp}[r.IntN(3)], Machine: fmt.Sprint("m", r.IntN(6))})
				d.index++
				d.s.Apply(d.index, raw)
				other.Apply(d.index, raw)
			default:
				adv := d.adv
				adv.Seq, adv.Waited, adv.Words = d.s.Seq, time.Duration(r.IntN(3))*sec, map[string]Word{}
				for name, w := range d.adv.Words {
					if w.Applied = d.index; r.IntN(4) > 0 {
						adv.Words[name] = w
					}
				}
				taken := count(d.s)
				raw, _ := json.Marshal(Command{Kind: Proceed, Advance: &adv})
				d.index++
				d.s.Apply(d.index, raw)
				other.Apply(d.index, raw)
				if now := count(d.s); now > taken && now > d.s.Plans[0].Out {
					t.Fatalf("seed %d: %d machines away, %d may be", seed, now, d.s.Plans[0].Out)
				}
			}
			a, _ := d.s.Encode()
			if b, _ := other.Encode(); !bytes.Equal(a, b) {
				t.Fatalf("seed %d: two members differ:\n%s\n%s", seed, a, b)
			}
		}
	}
}

func count(s *State) (n int) {
	for _, p := range s.Plans[0].Places {
		if p.Step != Waiting && !p.Step.over() && p.Step != Warm {
			n++
		}
	}
	return n
}

// An entry or a state of a newer build is not passed over, and changes nothing.
func TestNewerBuilds(t *testing.T) {
	d := newDesk(t, Plan{})
	was, _ := d.s.Encode()
	for _, raw := range []string{`{"kind":"trust","needs":3}`, `{"kind":7}`} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s was carried out", raw)
				}
			}()
			d.s.Apply(d.index+1, []byte(raw))
		}()
	}
	if now, _ := d.s.Encode(); !bytes.Equal(now, was) {
		t.Errorf("%s\nwas %s", now, was)
	}
	d.do(Command{Kind: Trust, Needs: 2})
	now, err := d.s.Encode()
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
func TestBriefStaysShort(t *testing.T) {
	length := func(members, runners int) int {
		s := New()
		a := &Advance{Words: map[string]Word{}, Fleet: map[string]Runner{}}
		for i := range members {
			name := fmt.Sprint("edge-", i)
			s.Members[name] = &Member{Name: name, Life: "L"}
			a.Words[name] = Word{Life: "L", Applied: 10, Alone: true}
		}
		a.Words["edge-0"], a.Words["edge-1"] = Word{Life: "L", Applied: 3, Alone: true}, Word{Life: "L", Applied: 10, Alone: true, Busy: []string{"r1"}}
		for i := range runners {
			a.Fleet[fmt.Sprint("r", i)] = Runner{Zone: fmt.Sprint(i % 3), Kind: "k", Weight: 1, Cold: i == 7}
		}
		s.Plans = []*Under{{Phase: Running, At: 5, Places: []*Place{{Machine: named("m", "r1"), Step: Leaving, At: 9}}}}
		b := s.Brief(a)
		if len(b.Words) != 2 || len(b.Fleet) != 2 || b.Agreed != 9 || len(b.Rest) != 3 {
			t.Errorf("%+v", b)
		}
		if held := s.held(s.Plans[0].Places[0], b); len(held) != 2 {
			t.Errorf("held by %v", held)
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
