package admission

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Files in testdata/golden hold the reasons' names, which are parts of the counters' names that operators read, and what
// is decided on drawn histories. UPDATE_GOLDEN=1 writes them.

func TestGolden_ReasonNames(t *testing.T) {
	var out bytes.Buffer
	for r := range Reasons + 2 {
		fmt.Fprintf(&out, "%d %s\n", r, r)
	}
	compareGolden(t, "reasons.txt", out.Bytes())
}

// goldenConfig draws a configuration.
func goldenConfig(r *rand.Rand) Config {
	c := Config{Open: r.IntN(60), Adaptive: r.IntN(2) == 0, Least: 1 + r.IntN(8), Keys: 1 + r.IntN(2000)}
	rates := []float64{0, 0.1, 1, 7.5, 100, 1e6, 1e12, 1e-9}
	for i := range 1 + r.IntN(4) {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("r", i), Limited: r.IntN(2) == 0, Rate: rates[r.IntN(len(rates))], Burst: r.IntN(6), By: By(r.IntN(3)),
			Concurrent: r.IntN(25), Queue: r.IntN(9), Budgeted: r.IntN(2) == 0, Budget: r.Float64(), Floor: 5 * r.Float64(),
			Priority: r.IntN(Top + 1), ComeBack: time.Duration(r.IntN(2000)) * time.Millisecond,
		})
	}
	for i := range r.IntN(4) {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("t", i), Weight: 0.1 + 5*r.Float64()})
	}
	return c
}

// playHistory draws a history of requests, ends and reloads, and writes each decision.
func playHistory(w io.Writer, seed uint64, steps int) [Reasons]int64 {
	r := rand.New(rand.NewPCG(seed, 1))
	c := goldenConfig(r)
	g := New(c)
	now := time.Duration(0)
	var open []Slot
	for range steps {
		now += time.Duration(r.IntN(30)-2) * time.Millisecond
		switch kind := r.IntN(120); {
		case kind == 0:
			c = goldenConfig(r)
			g.Swap(now, c)
			fmt.Fprintf(w, "%d swap: open %d, limit %d\n", now, g.Open(), g.Limit())
		case kind < 45 && len(open) > 0:
			i, end := r.IntN(len(open)), End(r.IntN(3))
			g.Done(now, open[i], end)
			open = append(open[:i], open[i+1:]...)
			fmt.Fprintf(w, "%d done %d: open %d, limit %d\n", now, end, g.Open(), g.Limit())
		case kind < 60 && len(open) > 0:
			i := r.IntN(len(open))
			g.Sent(&open[i])
			fmt.Fprintf(w, "%d sent\n", now)
		default:
			a := Ask{Route: r.IntN(len(c.Routes)), Tenant: r.IntN(5) - 1, Key: r.Uint64N(2500), Retry: r.IntN(4) == 0}
			v := g.Ask(now, a)
			if v.Reason == Admitted {
				open = append(open, v.Slot)
			}
			fmt.Fprintf(w, "%d route %d, tenant %d, key %d, retry %v: %d %s, wait %d, held %v, on the route %d, open %d, limit %d\n",
				now, a.Route, a.Tenant, a.Key, a.Retry, v.Reason, v.Reason, v.Wait, v.Slot.Held(), g.RouteOpen(a.Route), g.Open(), g.Limit())
		}
	}
	for i, n := range g.Counts() {
		fmt.Fprintf(w, "%s %d\n", Reason(i), n)
	}
	return g.Counts()
}

func TestGolden_Decisions(t *testing.T) {
	var out bytes.Buffer
	playHistory(&out, 1, 400)
	compareGolden(t, "history.txt", out.Bytes())
	out.Reset()
	var sum [Reasons]int64
	for seed := range uint64(100) {
		h := fnv.New64a()
		for i, n := range playHistory(h, seed, 2000) {
			sum[i] += n
		}
		fmt.Fprintf(&out, "seed %d: %016x\n", seed, h.Sum64())
	}
	for i, n := range sum {
		fmt.Fprintf(&out, "%s %d\n", Reason(i), n)
	}
	compareGolden(t, "histories.txt", out.Bytes())
}

// compareGolden compares got with testdata/golden/name. With UPDATE_GOLDEN=1 in the environment it writes the file instead.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v: UPDATE_GOLDEN=1 writes it", err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: got %d lines, want %d", path, len(gotLines), len(wantLines))
}
