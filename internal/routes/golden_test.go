package routes

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/goldentest"
)

// testdata/golden contains the routes and limits that random tables return. UPDATE_GOLDEN=1 updates it.

// writeRandomTable writes the limits of a random table's routes and the routes of random requests, or the conflicts of the table.
func writeRandomTable(w io.Writer, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	choose := func(of ...string) string { return of[random.IntN(len(of))] }
	duration := func() dispatch.Time { return dispatch.Time(random.IntN(3)) * dispatch.Time(1+random.IntN(1000000)) }
	count := random.IntN(6)
	list := make([]Route, 0, count)
	for i := range count {
		list = append(list, Route{
			Name:     fmt.Sprint("r", i),
			Match:    Match{Class: choose("", "", "a", "b"), Path: choose("", "/a", "/a/x", "/a/xy", "/b"), Tenant: choose("", "", "t", "u"), Method: choose("", "", "", "POST")},
			Fallback: random.IntN(7) - 1,
			Limits: dispatch.RouteLimits{Timeout: duration(), AttemptTimeout: duration(), MaxQueueTime: duration(), MaxAttempts: random.IntN(5), NoHedging: random.IntN(2) == 0, HedgeDelay: duration(),
				RetryNotRunOnly: random.IntN(2) == 0, DedupWindow: duration(), RetryBackoff: duration(), MaxRetryBackoff: duration(), BackoffJitter: random.Float64()},
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
		limits := table.RouteLimits(i, 4)
		fmt.Fprintf(w, "route %d %s: chain %v: timeout %d, attempt timeout %d, hold %d, attempts %d, single %v, hedge after %d, strict %v, window %d, backoff %d, backoff at most %d, jitter %v\n",
			i, table.Route(i).Name, table.Chain(i), limits.Timeout, limits.AttemptTimeout, limits.MaxQueueTime, limits.MaxAttempts, limits.NoHedging, limits.HedgeDelay, limits.RetryNotRunOnly, limits.DedupWindow, limits.RetryBackoff, limits.MaxRetryBackoff, limits.BackoffJitter)
	}
	for range 12 {
		request := Request{Class: choose("a", "b", "c"), Path: choose("/a/xyz", "/a/q", "/b", "/"), Tenant: choose("", "t", "u"), Method: choose("POST", "GET")}
		fmt.Fprintf(w, "class %s, path %s, tenant %q, method %s: route %d\n", request.Class, request.Path, request.Tenant, request.Method, table.Find(&request))
	}
}

func TestGolden_RandomTables(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintln(&out, "seed", seed)
		writeRandomTable(&out, seed)
	}
	h := fnv.New64a()
	for seed := range uint64(5000) {
		writeRandomTable(h, seed)
	}
	fmt.Fprintf(&out, "5000 seeds: %016x\n", h.Sum64())
	for _, d := range []time.Duration{0, 1, time.Microsecond, time.Second + 999, -time.Second} {
		fmt.Fprintf(&out, "%v is %d\n", d, ToTime(d))
	}
	goldentest.Check(t, "tables.txt", out.Bytes())
}
