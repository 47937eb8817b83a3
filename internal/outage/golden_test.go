//go:build !lean

package outage

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

	"birchfork/internal/plant"
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
		Name: "plan-1", Machines: []Machine{{Name: "m1", Runners: []string{"r1", "r2"}, Host: "h1"}, {Name: "m2", Runners: []string{"r3"}}},
		Out: 2, ZoneOut: 3, KindOut: 4, Capacity: 0.75, Leave: 5 * time.Second, Work: 6 * time.Minute, Back: 7 * time.Minute, Overdue: Skip,
	}
}

func goldenMember() Member {
	return Member{Name: "d1", Life: "life-2", ID: 11, Voter: true, Old: []Life{{Life: "life-1", ID: 12}}}
}

func goldenAdvance() Advance {
	return Advance{
		Seq: 21, Waited: 22 * time.Millisecond, Bound: 23 * time.Second, Warm: 24 * time.Second,
		Words:  map[string]Word{"d1": {Life: "life-2", Applied: 25, Alone: true, Busy: []string{"r1", "r2"}, BusyAt: []string{"h1"}}},
		Fleet:  map[string]Runner{"r1": {Zone: "z1", Kind: "k1", Host: "h1", Weight: 1.5, Down: true, Gone: true, Cold: true, Hand: true}},
		Agreed: 26, Rest: []Group{{Zone: "z2", Kind: "k2", Weight: 2.5, Count: 27}},
	}
}

func goldenState() *State {
	plan, member := goldenPlan(), goldenMember()
	return &State{
		Seq: 31, Level: 2, Doubt: true, Index: 32, Clock: 33 * time.Second, Bound: 34 * time.Second, Warm: 35 * time.Second,
		Members: map[string]*Member{"d1": &member},
		Plans: []*Under{{
			Plan: plan, Phase: Running, At: 36, Zone: "z3",
			Places: []*Place{
				{Machine: plan.Machines[0], Step: Returning, At: 37, Since: 38 * time.Second, Overdue: true, Left: true},
				{Machine: plan.Machines[1], Step: Waiting},
			},
		}},
		Answers: []Answer{{ID: "call-1", Code: Wrong, Text: "no plan is called \"x\""}},
	}
}

// TestGolden_StoredForms covers all that is stored in the log and in snapshots, and sent between members.
func TestGolden_StoredForms(t *testing.T) {
	plan, member, advance := goldenPlan(), goldenMember(), goldenAdvance()
	goldenJSON(t, "plan.json", plan)
	goldenJSON(t, "member.json", member)
	goldenJSON(t, "advance.json", advance)
	goldenJSON(t, "report.json", advance.Words["d1"])
	goldenJSON(t, "command.json", Command{
		ID: "call-1", Kind: HandIn, Name: "plan-1", Machine: "m1", Plan: &plan, Member: &member, Advance: &advance, Needs: 2,
	})
	goldenJSON(t, "result.json", Answer{ID: "call-1", Code: NotNow, Text: "m1 is leaving"})
	goldenJSON(t, "event.json", Event{Plan: "plan-1", Machine: "m1", What: "leaving"})
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

// TestGolden_Words holds the words that stand in stored and sent values, and the codes that are exit statuses too.
func TestGolden_Words(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprintln(&b, "machine:", []Step{Waiting, Leaving, Clear, Out, Returning, Warm, Done, Skipped, Failed})
	fmt.Fprintln(&b, "plan:", []Phase{HandedIn, Announced, Running, Paused, Aborting, Ended})
	fmt.Fprintln(&b, "overdue:", []string{Wait, Pause, Skip})
	fmt.Fprintln(&b, "commands:", []Kind{Join, Retire, Trust, HandIn, Start, Halt, Resume, Abort, Take, GiveUp, Return, Proceed})
	fmt.Fprintln(&b, "codes:", Yes, Wrong, NotNow)
	fmt.Fprintln(&b, "level:", Level, Knows())
	fmt.Fprintln(&b, "bounds:", answersKept, plansKept, MachineMost)
	golden(t, "words.txt", b.Bytes())
}

// TestGolden_CompactAdvance holds the compact form of a proposal.
func TestGolden_CompactAdvance(t *testing.T) {
	h := newHistory(7)
	var b bytes.Buffer
	for range 400 {
		h.step()
		if h.r.IntN(40) != 0 {
			continue
		}
		raw, err := json.Marshal(h.s.Brief(h.advance()))
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
		plant.Set(fault)
		defer plant.Set("")
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
	for _, fault := range []string{plant.FewWords, plant.NoBudget, plant.DeadUncounted, plant.NeverClear, plant.ActsTwice} {
		for seed := range uint64(5) {
			play(fault, seed)
		}
	}
	golden(t, "digests.txt", b.Bytes())
}

// TestGolden_Bounds holds what is kept of many plans and calls, and what is answered to entries that lack something.
func TestGolden_Bounds(t *testing.T) {
	h := newHistory(3)
	h.apply(Command{ID: "nobody", Kind: Join})
	h.apply(Command{ID: "no-name", Kind: Join, Member: &Member{Life: "life"}})
	h.apply(Command{Kind: Proceed})
	for i := range 2 * plansKept {
		name := fmt.Sprint("plan-", i)
		h.apply(Command{ID: "submit-" + name, Kind: HandIn, Plan: &Plan{
			Name: name, Out: 1, Overdue: Wait, Machines: []Machine{{Name: "m", Runners: []string{fmt.Sprint("r", i)}}},
		}})
		if i%3 > 0 {
			h.apply(Command{ID: "abort-" + name, Kind: Abort, Name: name})
		}
	}
	for i := range answersKept {
		h.apply(Command{ID: fmt.Sprint("unknown-", i), Kind: Retire, Name: "nobody"})
		if i%32 == 0 {
			h.digestQueries()
		}
	}
	h.fleet = map[string]Runner{}
	empty := &Under{Plan: Plan{Name: "e", Out: 1}, Phase: Running, Places: []*Place{{Machine: Machine{Name: "m", Runners: []string{"r"}}, Step: Waiting}}}
	h.s.Plans = append(h.s.Plans, empty)
	_, why := h.s.Next(empty, h.advance())
	var b bytes.Buffer
	fmt.Fprintln(&b, why, len(h.s.Plans), len(h.s.Answers), h.s.Answers[0].ID)
	fmt.Fprintf(&b, "%016x\n", h.digest.Sum64())
	golden(t, "bounds.txt", b.Bytes())
}

// history draws commands at random and applies them.
type history struct {
	r      *rand.Rand
	s      *State
	index  uint64
	events []Event
	fleet  map[string]Runner
	words  map[string]Word
	lives  int
	digest interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

func newHistory(seed uint64) *history {
	h := &history{
		r: rand.New(rand.NewPCG(seed, 99)), s: New(), fleet: map[string]Runner{}, words: map[string]Word{}, digest: fnv.New64a(),
	}
	for i := range 3 {
		h.join(fmt.Sprint("d", i))
	}
	for i := range 8 {
		h.fleet[fmt.Sprint("r", i)] = Runner{
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
		h.changeWords()
	case n < 25:
		h.join(fmt.Sprint("d", h.r.IntN(4)))
	case n < 26:
		h.apply(Command{ID: h.id(), Kind: Retire, Name: fmt.Sprint("d", h.r.IntN(5))})
	case n < 27:
		h.s.Doubt = h.s.Doubt || h.r.IntN(2) == 0
		h.apply(Command{ID: h.id(), Kind: Trust, Needs: 2})
	case n < 32:
		h.apply(Command{ID: h.id(), Kind: HandIn, Plan: h.plan()})
	case n < 44:
		kind := []Kind{Start, Start, Start, Resume, Resume, Halt, Abort}[h.r.IntN(7)]
		h.apply(Command{ID: h.id(), Kind: kind, Name: fmt.Sprint("p", h.r.IntN(5))})
	case n < 60:
		kind := []Kind{Take, Take, Return, Return, GiveUp}[h.r.IntN(5)]
		plan := ""
		if h.r.IntN(4) == 0 {
			plan = fmt.Sprint("p", h.r.IntN(4))
		}
		h.apply(Command{ID: h.id(), Kind: kind, Name: plan, Machine: fmt.Sprint("m", h.r.IntN(9))})
	case n < 61:
		h.apply(Command{ID: h.id(), Kind: Kind(fmt.Sprint("unknown-", h.r.IntN(3)))})
	case n < 62:
		raw, err := h.s.Encode()
		if err != nil {
			panic(err)
		}
		if h.s, err = Decode(raw); err != nil {
			panic(err)
		}
	case n < 63:
		h.s = h.s.Clone()
	default:
		a := h.advance()
		if h.r.IntN(2) == 0 {
			a = h.s.Brief(a)
		}
		h.apply(Command{Kind: Proceed, Advance: a})
	}
}

func (h *history) id() string {
	if h.r.IntN(10) == 0 {
		return "" // of no call
	}
	return fmt.Sprint("call-", h.r.IntN(400))
}

func (h *history) join(name string) {
	h.lives++
	life := fmt.Sprint("life-", h.lives)
	h.apply(Command{Kind: Join, Member: &Member{Name: name, Life: life, ID: uint64(h.lives), Voter: h.r.IntN(2) == 0}})
	h.words[name] = Word{Life: life, Alone: true, Applied: h.index}
}

func (h *history) apply(c Command) {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	h.index++
	h.events = h.s.Apply(h.index, raw)
	state, err := h.s.Encode()
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(h.digest, "%s\n%q\n%s\n", raw, h.events, state)
}

func (h *history) changeFleet() {
	name := fmt.Sprint("r", h.r.IntN(10))
	r, ok := h.fleet[name]
	if !ok {
		r = Runner{Zone: fmt.Sprint("z", h.r.IntN(3)), Kind: "k0", Host: fmt.Sprint("h", h.r.IntN(5)), Weight: 1, Cold: true}
	}
	switch h.r.IntN(9) {
	case 0:
		r.Down = true
	case 1:
		r.Cold = true
	case 2:
		r.Hand = h.r.IntN(3) == 0
	case 3:
		r.Down, r.Gone = true, true
	case 4:
		delete(h.fleet, name)
		return
	default:
		r.Down, r.Gone, r.Cold, r.Hand = false, false, false, false
	}
	h.fleet[name] = r
}

func (h *history) changeWords() {
	name := fmt.Sprint("d", h.r.IntN(4))
	w := h.words[name]
	w.Alone, w.Busy, w.BusyAt = h.r.IntN(4) > 0, nil, nil
	for range h.r.IntN(3) {
		w.Busy = append(w.Busy, fmt.Sprint("r", h.r.IntN(8)))
		w.BusyAt = append(w.BusyAt, fmt.Sprint("h", h.r.IntN(4)))
	}
	if h.r.IntN(8) == 0 {
		w.Life = "another"
	} else if m := h.s.Members[name]; m != nil {
		w.Life = m.Life
	}
	h.words[name] = w
}

// advance is what a leader would propose: mostly of the state as it is, with most members' words.
func (h *history) advance() *Advance {
	a := &Advance{
		Seq: h.s.Seq, Waited: time.Duration(h.r.IntN(4)) * 700 * time.Millisecond, Bound: time.Duration(4+h.r.IntN(2)) * time.Second,
		Warm: 2 * time.Second, Words: map[string]Word{}, Fleet: maps.Clone(h.fleet),
	}
	if h.r.IntN(15) == 0 {
		a.Seq--
	}
	for _, name := range slices.Sorted(maps.Keys(h.words)) {
		w := h.words[name]
		if h.r.IntN(6) > 0 {
			w.Applied = h.index
			h.words[name] = w
		}
		if h.r.IntN(8) > 0 {
			a.Words[name] = w
		}
	}
	return a
}

// plan draws a plan; one in some is wrong.
func (h *history) plan() *Plan {
	p := &Plan{
		Name: fmt.Sprint("p", h.r.IntN(4)), Out: 1 + h.r.IntN(3), ZoneOut: h.r.IntN(3), KindOut: h.r.IntN(3),
		Capacity: []float64{0, 0.3, 0.6, 0.9}[h.r.IntN(4)], Overdue: []string{Wait, Pause, Skip}[h.r.IntN(3)],
		Leave: time.Duration(h.r.IntN(4)) * time.Second, Work: time.Duration(h.r.IntN(3)) * 3 * time.Second,
		Back: time.Duration(h.r.IntN(3)) * 3 * time.Second,
	}
	for _, i := range h.r.Perm(4)[:1+h.r.IntN(4)] {
		m := Machine{Name: fmt.Sprint("m", i)}
		switch h.r.IntN(3) {
		case 0:
			m.Host = fmt.Sprint("h", i)
		case 1:
			m.Runners = []string{fmt.Sprint("r", 2*i)}
		default:
			m.Runners = []string{fmt.Sprint("r", 2*i), fmt.Sprint("r", 2*i+1)}
		}
		p.Machines = append(p.Machines, m)
	}
	switch h.r.IntN(24) {
	case 0:
		p.Name, p.Out, p.ZoneOut, p.KindOut = "", 0, -1, -2
	case 1:
		p.Leave, p.Work, p.Back, p.Capacity, p.Overdue = -1, -2, -3, 1.5, "never"
	case 2:
		p.Machines = append(p.Machines, p.Machines...)
	case 3:
		p.Machines = append(p.Machines, Machine{Host: "h1", Runners: []string{"r1"}}, Machine{Name: "m8"})
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
		all = append(all, "event: "+e.What)
	}
	h.events = nil
	if n := len(h.s.Answers); n > 0 && !strings.Contains(h.s.Answers[n-1].Text, "\n") { // several lines are faults of a plan
		all = append(all, fmt.Sprintf("answer %d: %q", h.s.Answers[n-1].Code, h.s.Answers[n-1].Text))
	}
	a := h.advance()
	for _, u := range h.s.Plans {
		for _, why := range h.s.Why(u, a) {
			all = append(all, "why: "+why)
		}
	}
	if p := h.plan(); p != nil {
		for _, fault := range h.s.Faults(p) {
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
	away, leased := h.s.Away(), h.s.Leased()
	note([]map[string]bool{away.Runners, away.Hosts, leased.Runners, leased.Hosts})
	a := h.advance()
	note(h.s.Would(a))
	brief := h.s.Brief(a)
	note(brief)
	note(h.s.Brief(brief))
	note(h.s.Names())
	for _, u := range h.s.Plans {
		next, why := h.s.Next(u, a)
		note(next)
		note(why)
		note(h.s.Why(u, a))
	}
	if p := h.plan(); p != nil {
		note(h.s.Faults(p))
		note((&Command{Kind: HandIn, Plan: p}).Requires())
	}
	u, p := h.s.Find("", fmt.Sprint("m", h.r.IntN(4)))
	note(u)
	note(p)
	answer, ok := h.s.Answer(fmt.Sprint("call-", h.r.IntN(400)))
	note(answer)
	note(ok)
	for _, name := range h.s.Names() {
		note(h.s.Members[name].Was(fmt.Sprint("life-", h.r.IntN(10))))
	}
}
