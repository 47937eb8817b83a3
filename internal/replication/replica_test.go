package replication

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// CI plays the same histories each time; -rapid.seed plays others.
func init() {
	if err := flag.Set("rapid.seed", "33"); err != nil {
		panic(err)
	}
}

// world is some copies, and all that was ever said, with full sight.
type world struct {
	t     *rapid.T
	all   []*Copy
	pulls []map[int]*Pull
	heard []map[int]Seen // what each has told of its sight, to each
	disks []struct {
		seen    Seen
		entries []Entry
	}
	said  []Entry
	lives int
	late  []func() // pieces that were asked for and are on their way
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t}
	for i := range n {
		w.all = append(w.all, nil)
		w.pulls, w.heard = append(w.pulls, nil), append(w.heard, map[int]Seen{})
		w.disks = append(w.disks, struct {
			seen    Seen
			entries []Entry
		}{})
		w.begin(i)
	}
	return w
}

// begin starts a copy by what its disk has.
func (w *world) begin(i int) {
	w.lives++
	w.all[i], w.pulls[i] = New(fmt.Sprint("life", w.lives)), map[int]*Pull{}
	if err := w.all[i].Restore(w.disks[i].seen, w.disks[i].entries); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) entries(c *Copy) (all []Entry) {
	for _, name := range c.Names(Word) {
		all = append(all, c.Get(Word, name)...)
	}
	return all
}

// ask has j answer i with a piece from the beginning on, which comes some time later.
func (w *world) ask(i, j int) {
	p := w.all[j].News(w.all[i].Seen(), Mark{}, 9)
	to := w.all[i]
	w.late = append(w.late, func() {
		if to == w.all[i] { // else it has begun anew, and the answer goes nowhere
			to.Take(&Pull{}, p)
		}
	})
}

// piece carries one piece from j to i, twice if so asked.
func (w *world) piece(i, j, most int, twice bool) (done bool) {
	p := w.pulls[i][j]
	if p == nil {
		p = &Pull{}
		w.pulls[i][j] = p
	}
	w.heard[j][i] = w.all[i].Seen()
	raw, err := json.Marshal(w.all[j].News(w.all[i].Seen(), p.Mark, most))
	if err != nil {
		w.t.Fatal(err)
	}
	var got Piece
	if err := json.Unmarshal(raw, &got); err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.all[i].Take(p, got); err != nil { // the other one has begun anew: so do we
		*p = Pull{}
		return false
	}
	if twice {
		w.all[i].Take(p, got)
	}
	return got.Done
}

func (w *world) repair(i, j int) {
	a, b := w.all[i], w.all[j]
	if a.Seen().Sum() == b.Seen().Sum() && a.Sum() != b.Sum() {
		a.Drop(b.Gone(a.Dots(a.Differ(b.Sums()))))
	}
}

// newest are the entries of a name that nobody who saw them has replaced.
func (w *world) newest(name string) (out []Entry) {
	for _, e := range w.said {
		if e.Name == name && !slices.ContainsFunc(w.said, func(o Entry) bool { return o.Name == name && o.Saw.Has(e.Dot) }) {
			out = append(out, e)
		}
	}
	return out
}

// alone tells whether one copy has something newest that no other one has.
func (w *world) alone(i int) bool {
	for _, name := range w.all[i].Names(Word) {
		for _, e := range w.newest(name) {
			here := w.all[i].find(e.Dot) != nil
			for j, c := range w.all {
				here = here && (j == i || c.find(e.Dot) == nil)
			}
			if here {
				return true
			}
		}
	}
	return false
}

func dots(all []Entry) string {
	var out []string
	for _, e := range all {
		out = append(out, fmt.Sprint(e.Dot))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Whatever is said, carried in pieces, twice, in any order, lost with a disk or brought back by an old one, and forgotten: once
// all have met all copies are one, and have what nobody who saw it has replaced.
func TestCopiesBecomeOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "copies")
		w := newWorld(t, n)
		forgot, restarted := map[Dot]bool{}, false
		who := rapid.IntRange(0, n-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i, j := who.Draw(t, "i"), who.Draw(t, "j")
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1, 2:
				e, err := w.all[i].Say(Entry{Kind: Word, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Out: rapid.Bool().Draw(t, "out")})
				if err != nil {
					t.Fatal(err)
				}
				w.said = append(w.said, e)
			case 3, 4, 5:
				if i != j {
					w.piece(i, j, 1, rapid.Bool().Draw(t, "twice"))
				}
			case 6:
				w.disks[i].seen, w.disks[i].entries = w.all[i].Seen(), w.entries(w.all[i])
			case 7:
				if !w.alone(i) {
					restarted = true
					w.begin(i) // its disk may be old
				}
			case 8:
				var members []Seen
				for j := range n {
					if j != i {
						members = append(members, w.heard[i][j])
					}
				}
				was := w.entries(w.all[i])
				w.all[i].Forget(members)
				for _, e := range was {
					if w.all[i].find(e.Dot) == nil {
						if e.Out {
							t.Fatalf("a word that binds was forgotten: %+v", e)
						}
						all := slices.DeleteFunc(w.newest(e.Name), func(o Entry) bool { return forgot[o.Dot] })
						if forgot[e.Dot] = true; !restarted && len(all) > 1 && strings.Contains(dots(all), fmt.Sprint(e.Dot)) {
							t.Fatalf("one side of a conflict was forgotten: %+v", all)
						}
					}
				}
				w.repair(i, j)
			case 9:
				w.ask(i, j)
			case 10:
				if n := len(w.late); n > 0 {
					k := rapid.IntRange(0, n-1).Draw(t, "late")
					w.late[k]()
					w.late = slices.Delete(w.late, k, k+1)
				}
			}
		}
		for range 3 {
			for i := range n {
				for j := range n {
					for i != j && !w.piece(i, j, 2, false) {
					}
				}
			}
			for i := range n {
				for j := range n {
					w.repair(i, j)
				}
			}
		}
		for i, c := range w.all {
			if c.Sum() != w.all[0].Sum() || c.Seen().Sum() != w.all[0].Seen().Sum() {
				t.Fatalf("copy %d has %v, copy 0 has %v", i, w.entries(c), w.entries(w.all[0]))
			}
		}
		for _, name := range []string{"a", "b", "c"} {
			// A word back that one has forgotten may be with the others still, who give it to one that has lost its disk.
			gone := func(e Entry) bool { return forgot[e.Dot] }
			want, got := slices.DeleteFunc(w.newest(name), gone), slices.DeleteFunc(w.all[0].Get(Word, name), gone)
			if dots(got) != dots(want) {
				t.Fatalf("%s: %v, want %v", name, got, want)
			}
		}
	})
}

// What was replaced and forgotten is not taken again from a piece that was long on its way.
func TestALatePiece(t *testing.T) {
	a, b := New("a"), New("b")
	a.Say(Entry{Kind: Word, Name: "r", Out: true})
	late := a.News(nil, Mark{}, 9)
	a.Say(Entry{Kind: Word, Name: "r"})
	if _, err := b.Take(&Pull{}, a.News(nil, Mark{}, 9)); err != nil {
		t.Fatal(err)
	}
	if gone := b.Forget([]Seen{a.Seen()}); len(gone) != 1 {
		t.Fatalf("forgot %v", gone)
	}
	if changed, err := b.Take(&Pull{}, late); err != nil || len(changed) > 0 || b.Len() > 0 {
		t.Errorf("taken: %v, %v", changed, err)
	}
}

// Staff are refused one runner more than there is room for, and can say new words on those that there are; what others said is taken.
func TestFull(t *testing.T) {
	c, other := New("l"), New("o")
	for i := range WordsMost {
		if _, err := c.Say(Entry{Kind: Word, Name: fmt.Sprint("r", i), Out: true}); err != nil {
			t.Fatal(i, err)
		}
	}
	if _, err := c.Say(Entry{Kind: Word, Name: "more", Out: true}); !errors.Is(err, ErrFull) {
		t.Errorf("one more: %v", err)
	}
	if _, err := c.Say(Entry{Kind: Word, Name: "r7"}); err != nil || Out(c.Get(Word, "r7")) {
		t.Errorf("one back: %v", err)
	}
	other.Say(Entry{Kind: Word, Name: "theirs", Out: true})
	if _, err := c.Take(&Pull{}, other.News(nil, Mark{}, 9)); err != nil || !Out(c.Get(Word, "theirs")) {
		t.Errorf("another's: %v", err)
	}
}

// Whatever comes as a piece is taken whole or refused, and what is held stays in order.
func FuzzPieces(f *testing.F) {
	seed := New("l")
	seed.Say(Entry{Kind: Word, Name: "r", Out: true})
	seed.Say(Entry{Kind: Word, Name: "r"})
	raw, err := json.Marshal(seed.News(nil, Mark{}, 9))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw, []byte(`{"life":"x","entries":[{"kind":"word","name":"r","life":"y","count":9,"saw":{"l":1}}],"seen":{"y":1}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := New("me")
		for _, raw := range [][]byte{first, second, first} {
			var p Piece
			if json.Unmarshal(raw, &p) != nil {
				continue
			}
			was := c.Len()
			if _, err := c.Take(&Pull{}, p); err != nil && c.Len() != was {
				t.Fatalf("half of a piece was taken: %v", err)
			}
			if c.Len() > was+len(p.Entries) {
				t.Fatalf("%d entries of %d", c.Len()-was, len(p.Entries))
			}
		}
		n := 0
		for _, name := range c.Names(Word) {
			all := c.Get(Word, name)
			n += len(all)
			for i, e := range all {
				if c.find(e.Dot) == nil || i > 0 && e.Dot == all[i-1].Dot {
					t.Fatalf("%+v", all)
				}
			}
		}
		if n != c.Len() {
			t.Fatalf("%d entries are named, %d counted", n, c.Len())
		}
		c.Drop(c.Dots(c.Differ(nil)))
		if c.Len() > 0 || c.Sum() != New("").Sum() {
			t.Fatalf("%d left", c.Len())
		}
	})
}
