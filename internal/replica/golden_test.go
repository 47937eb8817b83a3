//go:build !lean

package replica

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

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

// goldenJSON compares a value's JSON with a file, and reads the file back into a value that has to be equal.
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

// requireAllSet fails where a field has its zero value: the golden file would not show that it is stored.
func requireAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			requireAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		requireAllSet(t, path+"[0]", v.Index(0))
	}
}

func goldenEntry() Entry {
	return Entry{
		Kind: Word, Name: "r1", Dot: Dot{Life: "life-1", Count: 11}, Saw: Seen{"life-1": 10, "life-2": 12}, Member: "d1",
		At: 1_700_000_000_123, Out: true, Data: json.RawMessage(`{"of":"another build"}`),
	}
}

// TestGolden_Forms covers all that is stored on disk and sent between members.
func TestGolden_Forms(t *testing.T) {
	goldenJSON(t, "entry.json", goldenEntry())
	goldenJSON(t, "entries.json", []Entry{goldenEntry(), {Kind: Word, Name: "r1", Dot: Dot{Life: "life-2", Count: 13}, Member: "d2"}})
	goldenJSON(t, "version-vector.json", Seen{"life-1": 21, "life-2": 22})
	goldenJSON(t, "dots.json", []Dot{{Life: "life-1", Count: 31}, {Life: "life-2", Count: 32}})
	goldenJSON(t, "cursor.json", Mark{Kind: Word, Name: "r2"})
	goldenJSON(t, "chunk.json", Piece{
		Life: "life-3", From: Mark{Kind: Word, Name: "r0"}, Entries: []Entry{goldenEntry()}, Last: Mark{Kind: Word, Name: "r1"}, Done: true,
		Seen: Seen{"life-1": 41, "life-2": 42},
	})
}

// TestGolden_Digests holds what members compare: digests of version vectors and of entries, and the bounds that each keeps to.
func TestGolden_Digests(t *testing.T) {
	var b bytes.Buffer
	seen := Seen{"life-1": 21, "life-2": 22, "life-3": 1}
	fmt.Fprintf(&b, "version vector: %016x of %d\n", seen.Sum(), seen.Count())
	c := New("life-1")
	for i := range 40 {
		if _, err := c.Say(Entry{Kind: Word, Name: fmt.Sprint("r", i), Out: i%3 > 0, Member: "d1", At: int64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Say(Entry{Kind: "later", Name: "r1", Member: "d1", Data: []byte(`{}`)}); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "entries: %016x of %d\nbuckets:\n", c.Sum(), c.Len())
	for _, s := range c.Sums() {
		fmt.Fprintf(&b, "%016x\n", s)
	}
	fmt.Fprintln(&b, "bounds:", NameMost, kindMost, dataMost, lifeMost, WordsMost, livesMost, buckets)
	fmt.Fprintln(&b, "kind:", Word)
	golden(t, "digests.txt", b.Bytes())
}

// TestGolden_Errors holds the texts of errors that are answered to operators.
func TestGolden_Errors(t *testing.T) {
	var b bytes.Buffer
	long := strings.Repeat("x", 2000)
	for _, change := range []func(*Entry){
		func(e *Entry) { e.Kind = "" }, func(e *Entry) { e.Kind = Kind(long) }, func(e *Entry) { e.Data = []byte(long) },
		func(e *Entry) { e.Name = "" }, func(e *Entry) { e.Name = long }, func(e *Entry) { e.Name = "a\x00b" },
		func(e *Entry) { e.Life = "" }, func(e *Entry) { e.Life = long }, func(e *Entry) { e.Count = 0 }, func(e *Entry) { e.Member = long },
	} {
		e := goldenEntry()
		change(&e)
		fmt.Fprintln(&b, New("l").Restore(Seen{}, []Entry{e}))
	}
	_, err := New("l").Say(Entry{Kind: Word, Name: long})
	fmt.Fprintln(&b, err)
	fmt.Fprintln(&b, ErrFull)
	golden(t, "errors.txt", b.Bytes())
}

// TestGolden_HistoryDigests plays random histories of some copies and compares a digest of all that each came to.
func TestGolden_HistoryDigests(t *testing.T) {
	var b bytes.Buffer
	play := func(fault string, seed uint64) {
		plant.Set(fault)
		defer plant.Set("")
		h := newHistory(seed)
		for range 150 {
			h.step()
		}
		fmt.Fprintf(&b, "%s %d %016x\n", fault, seed, h.digest.Sum64())
	}
	for seed := range uint64(150) {
		play("", seed)
	}
	for _, fault := range []string{plant.InWins, plant.Reappears, plant.ClockWins} {
		for seed := range uint64(10) {
			play(fault, seed)
		}
	}
	golden(t, "history-digests.txt", b.Bytes())
}

// history draws what some copies do.
type history struct {
	r      *rand.Rand
	all    []*Copy
	pulls  map[[2]int]*Pull
	disks  []Piece
	lives  int
	digest interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

func newHistory(seed uint64) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 77)), pulls: map[[2]int]*Pull{}, digest: fnv.New64a()}
	h.all, h.disks = make([]*Copy, 4), make([]Piece, 4)
	for i := range h.all {
		h.begin(i)
	}
	return h
}

// begin starts a copy by what its disk has.
func (h *history) begin(i int) {
	h.lives++
	h.all[i] = New(fmt.Sprint("life-", h.lives))
	if err := h.all[i].Restore(h.disks[i].Seen, h.disks[i].Entries); err != nil {
		panic(err)
	}
	for j := range h.all {
		delete(h.pulls, [2]int{i, j})
	}
}

// note adds a value to the digest.
func (h *history) note(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	h.digest.Write(append(raw, '\n'))
}

// step draws one thing that happens, and adds what it came to.
func (h *history) step() {
	i := h.r.IntN(len(h.all))
	j := (i + 1 + h.r.IntN(len(h.all)-1)) % len(h.all)
	c, other := h.all[i], h.all[j]
	switch h.r.IntN(12) {
	case 0, 1, 2:
		e := Entry{Kind: Word, Name: fmt.Sprint("r", h.r.IntN(9)), Out: h.r.IntN(2) == 0, Member: fmt.Sprint("d", i), At: h.r.Int64N(1000)}
		if h.r.IntN(10) == 0 {
			e.Kind, e.Data = "later", []byte(`[1]`)
		}
		e, err := c.Say(e)
		if err != nil {
			panic(err)
		}
		h.note(e)
	case 3, 4, 5, 6:
		key := [2]int{i, j}
		if h.pulls[key] == nil {
			h.pulls[key] = &Pull{}
		}
		p := other.News(c.Seen(), h.pulls[key].Mark, h.r.IntN(4))
		h.note(p)
		changed, err := c.Take(h.pulls[key], p)
		h.note(changed)
		h.note(fmt.Sprint(err))
		if err != nil {
			delete(h.pulls, key)
		}
	case 7:
		dots := c.Dots(c.Differ(other.Sums()))
		sortDots(dots)
		gone := other.Gone(dots)
		h.note(dots)
		h.note(gone)
		if c.Seen().Sum() == other.Seen().Sum() {
			h.note(c.Drop(gone))
		}
	case 8:
		var members []Seen
		for k, o := range h.all {
			if k != i {
				members = append(members, o.Seen())
			}
		}
		h.note(c.Forget(members))
	case 9:
		h.disks[i] = c.News(nil, Mark{}, 1000)
	case 10:
		h.begin(i)
	case 11:
		changed, err := c.Take(&Pull{}, other.News(c.Seen(), Mark{}, 1000))
		h.note(changed)
		h.note(fmt.Sprint(err))
	}
	h.state(h.all[i])
}

// state adds all that a copy tells of itself.
func (h *history) state(c *Copy) {
	h.note(c.Seen())
	h.note(c.Seen().Count())
	h.note([]uint64{c.Sum(), c.Seen().Sum(), uint64(c.Len())})
	for _, kind := range []Kind{Word, "later"} {
		h.note(c.Names(kind))
		for _, name := range c.Names(kind) {
			all := c.Get(kind, name)
			h.note(all)
			h.note([]bool{Out(all), Conflict(all)})
		}
	}
	h.note([]bool{c.Seen().Covers(h.all[0].Seen()), h.all[0].Seen().Covers(c.Seen())})
}

func sortDots(dots []Dot) {
	slices.SortFunc(dots, func(a, b Dot) int { return cmp.Or(cmp.Compare(a.Life, b.Life), cmp.Compare(a.Count, b.Count)) })
}
