package routes

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

	"birchfork/dispatch"
)

// Files in testdata/golden hold what drawn tables find and allow. UPDATE_GOLDEN=1 writes them.

// writeDrawn draws a table and requests, and writes what the table finds and allows, or why it is none.
func writeDrawn(w io.Writer, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	one := func(of ...string) string { return of[r.IntN(len(of))] }
	length := func() dispatch.Time { return dispatch.Time(r.IntN(3)) * dispatch.Time(1+r.IntN(1000000)) }
	var list []Route
	for i := range r.IntN(6) {
		list = append(list, Route{
			Name:     fmt.Sprint("r", i),
			Match:    Match{Class: one("", "", "a", "b"), Path: one("", "/a", "/a/x", "/a/xy", "/b"), Tenant: one("", "", "t", "u"), Method: one("", "", "", "POST")},
			Fallback: r.IntN(7) - 1,
			Narrow: dispatch.Narrow{Within: length(), Wait: length(), Hold: length(), Attempts: r.IntN(5), Single: r.IntN(2) == 0, Race: length(),
				Strict: r.IntN(2) == 0, Window: length(), Pause: length(), MaxPause: length(), Jitter: r.Float64()},
		})
	}
	for i := range list {
		list[i].Fallback = min(list[i].Fallback, len(list)-1)
	}
	table, err := New(list, Route{Name: "rest", Fallback: 3})
	if err != nil {
		fmt.Fprintln(w, strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	for i := range table.Len() {
		n := table.Narrow(i, 4)
		fmt.Fprintf(w, "route %d %s: chain %v: timeout %d, attempt timeout %d, hold %d, attempts %d, single %v, hedge after %d, strict %v, window %d, backoff %d, backoff at most %d, jitter %v\n",
			i, table.Route(i).Name, table.Chain(i), n.Within, n.Wait, n.Hold, n.Attempts, n.Single, n.Race, n.Strict, n.Window, n.Pause, n.MaxPause, n.Jitter)
	}
	for range 12 {
		q := Request{Class: one("a", "b", "c"), Path: one("/a/xyz", "/a/q", "/b", "/"), Tenant: one("", "t", "u"), Method: one("POST", "GET")}
		fmt.Fprintf(w, "class %s, path %s, tenant %q, method %s: route %d\n", q.Class, q.Path, q.Tenant, q.Method, table.Find(&q))
	}
}

func TestGolden_DrawnTables(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintln(&out, "seed", seed)
		writeDrawn(&out, seed)
	}
	h := fnv.New64a()
	for seed := range uint64(5000) {
		writeDrawn(h, seed)
	}
	fmt.Fprintf(&out, "5000 seeds: %016x\n", h.Sum64())
	for _, d := range []time.Duration{0, 1, time.Microsecond, time.Second + 999, -time.Second} {
		fmt.Fprintf(&out, "%v is %d\n", d, Micro(d))
	}
	compareGolden(t, "tables.txt", out.Bytes())
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
