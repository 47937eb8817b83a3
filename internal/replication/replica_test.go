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

// cluster is some copies, and all that was ever said, with full sight.
type cluster struct {
	t                *rapid.T
	replicas         []*Replica
	pulls            []map[int]*PullProgress
	reportedVersions []map[int]VersionVector // what each has told of its sight, to each
	disks            []struct {
		version VersionVector
		entries []Entry
	}
	written      []Entry
	incarnations int
	delayed      []func() // pieces that were asked for and are on their way
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{t: t}
	for i := range n {
		c.replicas = append(c.replicas, nil)
		c.pulls, c.reportedVersions = append(c.pulls, nil), append(c.reportedVersions, map[int]VersionVector{})
		c.disks = append(c.disks, struct {
			version VersionVector
			entries []Entry
		}{})
		c.restart(i)
	}
	return c
}

// restart starts a copy by what its disk has.
func (c *cluster) restart(i int) {
	c.incarnations++
	c.replicas[i], c.pulls[i] = New(fmt.Sprint("life", c.incarnations)), map[int]*PullProgress{}
	if err := c.replicas[i].Restore(c.disks[i].version, c.disks[i].entries); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) overrides(replica *Replica) (all []Entry) {
	for _, name := range replica.Names(KindOverride) {
		all = append(all, replica.Get(KindOverride, name)...)
	}
	return all
}

// requestDelayed has j answer i with a piece from the beginning on, which comes some time later.
func (c *cluster) requestDelayed(i, j int) {
	p := c.replicas[j].NextChunk(c.replicas[i].Version(), Cursor{}, 9)
	to := c.replicas[i]
	c.delayed = append(c.delayed, func() {
		if to == c.replicas[i] { // else it has begun anew, and the answer goes nowhere
			to.Merge(&PullProgress{}, p)
		}
	})
}

// transferChunk carries one piece from j to i, twice if so asked.
func (c *cluster) transferChunk(i, j, maxEntries int, twice bool) (done bool) {
	p := c.pulls[i][j]
	if p == nil {
		p = &PullProgress{}
		c.pulls[i][j] = p
	}
	c.reportedVersions[j][i] = c.replicas[i].Version()
	raw, err := json.Marshal(c.replicas[j].NextChunk(c.replicas[i].Version(), p.Cursor, maxEntries))
	if err != nil {
		c.t.Fatal(err)
	}
	var got Chunk
	if err := json.Unmarshal(raw, &got); err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.replicas[i].Merge(p, got); err != nil { // the other one has begun anew: so do we
		*p = PullProgress{}
		return false
	}
	if twice {
		c.replicas[i].Merge(p, got)
	}
	return got.Done
}

func (c *cluster) repair(i, j int) {
	a, b := c.replicas[i], c.replicas[j]
	if a.Version().Digest() == b.Version().Digest() && a.Digest() != b.Digest() {
		a.Discard(b.Removed(a.DotsInBuckets(a.DifferingBuckets(b.BucketDigests()))))
	}
}

// latest are the entries of a name that nobody who saw them has replaced.
func (c *cluster) latest(name string) (out []Entry) {
	for _, e := range c.written {
		if e.Name == name && !slices.ContainsFunc(c.written, func(other Entry) bool { return other.Name == name && other.CausalContext.Contains(e.Dot) }) {
			out = append(out, e)
		}
	}
	return out
}

// holdsOnlyCopy tells whether one copy has something newest that no other one has.
func (c *cluster) holdsOnlyCopy(i int) bool {
	for _, name := range c.replicas[i].Names(KindOverride) {
		for _, e := range c.latest(name) {
			here := c.replicas[i].find(e.Dot) != nil
			for j, replica := range c.replicas {
				here = here && (j == i || replica.find(e.Dot) == nil)
			}
			if here {
				return true
			}
		}
	}
	return false
}

func dotList(all []Entry) string {
	var out []string
	for _, e := range all {
		out = append(out, fmt.Sprint(e.Dot))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Whatever is said, carried in pieces, twice, in any order, lost with a disk or brought back by an old one, and forgotten: once
// all have met all copies are one, and have what nobody who saw it has replaced.
func TestReplicas_Converge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "copies")
		c := newCluster(t, n)
		forgot, restarted := map[Dot]bool{}, false
		who := rapid.IntRange(0, n-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i, j := who.Draw(t, "i"), who.Draw(t, "j")
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1, 2:
				e, err := c.replicas[i].Write(Entry{Kind: KindOverride, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Disabled: rapid.Bool().Draw(t, "out")})
				if err != nil {
					t.Fatal(err)
				}
				c.written = append(c.written, e)
			case 3, 4, 5:
				if i != j {
					c.transferChunk(i, j, 1, rapid.Bool().Draw(t, "twice"))
				}
			case 6:
				c.disks[i].version, c.disks[i].entries = c.replicas[i].Version(), c.overrides(c.replicas[i])
			case 7:
				if !c.holdsOnlyCopy(i) {
					restarted = true
					c.restart(i) // its disk may be old
				}
			case 8:
				var members []VersionVector
				for j := range n {
					if j != i {
						members = append(members, c.reportedVersions[i][j])
					}
				}
				was := c.overrides(c.replicas[i])
				c.replicas[i].CollectGarbage(members)
				for _, e := range was {
					if c.replicas[i].find(e.Dot) == nil {
						if e.Disabled {
							t.Fatalf("a word that binds was forgotten: %+v", e)
						}
						all := slices.DeleteFunc(c.latest(e.Name), func(o Entry) bool { return forgot[o.Dot] })
						if forgot[e.Dot] = true; !restarted && len(all) > 1 && strings.Contains(dotList(all), fmt.Sprint(e.Dot)) {
							t.Fatalf("one side of a conflict was forgotten: %+v", all)
						}
					}
				}
				c.repair(i, j)
			case 9:
				c.requestDelayed(i, j)
			case 10:
				if n := len(c.delayed); n > 0 {
					k := rapid.IntRange(0, n-1).Draw(t, "late")
					c.delayed[k]()
					c.delayed = slices.Delete(c.delayed, k, k+1)
				}
			}
		}
		for range 3 {
			for i := range n {
				for j := range n {
					for i != j && !c.transferChunk(i, j, 2, false) {
					}
				}
			}
			for i := range n {
				for j := range n {
					c.repair(i, j)
				}
			}
		}
		for i, replica := range c.replicas {
			if replica.Digest() != c.replicas[0].Digest() || replica.Version().Digest() != c.replicas[0].Version().Digest() {
				t.Fatalf("copy %d has %v, copy 0 has %v", i, c.overrides(replica), c.overrides(c.replicas[0]))
			}
		}
		for _, name := range []string{"a", "b", "c"} {
			// A word back that one has forgotten may be with the others still, who give it to one that has lost its disk.
			gone := func(e Entry) bool { return forgot[e.Dot] }
			want, got := slices.DeleteFunc(c.latest(name), gone), slices.DeleteFunc(c.replicas[0].Get(KindOverride, name), gone)
			if dotList(got) != dotList(want) {
				t.Fatalf("%s: %v, want %v", name, got, want)
			}
		}
	})
}

// What was replaced and forgotten is not taken again from a piece that was long on its way.
func TestMerge_IgnoresStaleChunk(t *testing.T) {
	a, b := New("a"), New("b")
	a.Write(Entry{Kind: KindOverride, Name: "r", Disabled: true})
	late := a.NextChunk(nil, Cursor{}, 9)
	a.Write(Entry{Kind: KindOverride, Name: "r"})
	if _, err := b.Merge(&PullProgress{}, a.NextChunk(nil, Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	if gone := b.CollectGarbage([]VersionVector{a.Version()}); len(gone) != 1 {
		t.Fatalf("forgot %v", gone)
	}
	if changed, err := b.Merge(&PullProgress{}, late); err != nil || len(changed) > 0 || b.Len() > 0 {
		t.Errorf("taken: %v, %v", changed, err)
	}
}

// Staff are refused one runner more than there is room for, and can say new words on those that there are; what others said is taken.
func TestWrite_RejectsWhenFull(t *testing.T) {
	c, other := New("l"), New("o")
	for i := range MaxOverrides {
		if _, err := c.Write(Entry{Kind: KindOverride, Name: fmt.Sprint("r", i), Disabled: true}); err != nil {
			t.Fatal(i, err)
		}
	}
	if _, err := c.Write(Entry{Kind: KindOverride, Name: "more", Disabled: true}); !errors.Is(err, ErrFull) {
		t.Errorf("one more: %v", err)
	}
	if _, err := c.Write(Entry{Kind: KindOverride, Name: "r7"}); err != nil || IsDisabled(c.Get(KindOverride, "r7")) {
		t.Errorf("one back: %v", err)
	}
	other.Write(Entry{Kind: KindOverride, Name: "theirs", Disabled: true})
	if _, err := c.Merge(&PullProgress{}, other.NextChunk(nil, Cursor{}, 9)); err != nil || !IsDisabled(c.Get(KindOverride, "theirs")) {
		t.Errorf("another's: %v", err)
	}
}

// Whatever comes as a piece is taken whole or refused, and what is held stays in order.
func FuzzMerge(f *testing.F) {
	seed := New("l")
	seed.Write(Entry{Kind: KindOverride, Name: "r", Disabled: true})
	seed.Write(Entry{Kind: KindOverride, Name: "r"})
	raw, err := json.Marshal(seed.NextChunk(nil, Cursor{}, 9))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw, []byte(`{"life":"x","entries":[{"kind":"word","name":"r","life":"y","count":9,"saw":{"l":1}}],"seen":{"y":1}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := New("me")
		for _, raw := range [][]byte{first, second, first} {
			var p Chunk
			if json.Unmarshal(raw, &p) != nil {
				continue
			}
			was := c.Len()
			if _, err := c.Merge(&PullProgress{}, p); err != nil && c.Len() != was {
				t.Fatalf("half of a piece was taken: %v", err)
			}
			if c.Len() > was+len(p.Entries) {
				t.Fatalf("%d entries of %d", c.Len()-was, len(p.Entries))
			}
		}
		n := 0
		for _, name := range c.Names(KindOverride) {
			all := c.Get(KindOverride, name)
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
		c.Discard(c.DotsInBuckets(c.DifferingBuckets(nil)))
		if c.Len() > 0 || c.Digest() != New("").Digest() {
			t.Fatalf("%d left", c.Len())
		}
	})
}
