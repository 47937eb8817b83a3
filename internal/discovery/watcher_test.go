package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
)

const entryUp = `{"name":"s-1","address":"127.0.0.1:5000","zone":"a","type":"big","group":3,"status":"up","weight":1.5,"since_ms":12}`

func TestDecodeList_ReadsAllFields(t *testing.T) {
	l, bad, err := DecodeList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entryUp +
		`,{"name":"s-2","address":"127.0.0.1:5001","status":"draining"}` +
		`,{"name":"s-3","address":"","status":"removed","since_ms":1.8e12}]}`))
	if err != nil || bad != 0 || l.Version != 41 || !l.Snapshot || l.Stale || len(l.Endpoints) != 3 {
		t.Fatalf("%+v, %d, %v", l, bad, err)
	}
	e := l.Endpoints[0]
	if e.Name != "s-1" || e.Address != "127.0.0.1:5000" || e.Zone != "a" || e.Kind != "big" || e.Cell != 3 ||
		e.State != dispatch.Ready || e.Weight != 1.5 || e.StartedAtMillis != 12 {
		t.Fatalf("%+v", e)
	}
	if l.Endpoints[1].State != dispatch.Draining || l.Endpoints[1].Cell != -1 || l.Endpoints[2].State != dispatch.Gone ||
		l.Endpoints[2].StartedAtMillis != 1800000000000 {
		t.Fatalf("%+v", l.Endpoints[1:])
	}
}

// Nothing may be sent where the list does not plainly say that jobs are wanted.
func TestDecodeList_OddEntriesAreNotReady(t *testing.T) {
	for raw, kept := range map[string]int{
		`{"name":"s","address":"127.0.0.1:1","status":"resting"}`: 1,
		`{"name":"s","address":"127.0.0.1:1"}`:                    1,
		`{"name":"s","address":"nowhere","status":"up"}`:          1,
		`{"address":"127.0.0.1:1","status":"up"}`:                 0,
		`{"name":7,"address":"127.0.0.1:1","status":"up"}`:        0,
		`17`: 0,
		`{"name":"s","address":"127.0.0.1:1","status":"up","group":"left"}`: 0,
	} {
		l, bad, err := DecodeList([]byte(`{"index":1,"endpoints":[` + raw + `]}`))
		if err != nil || bad != 1 || len(l.Endpoints) != kept {
			t.Errorf("%s: %+v, %d, %v", raw, l, bad, err)
		}
		if kept == 1 && l.Endpoints[0].State == dispatch.Ready {
			t.Errorf("%s counts as ready", raw)
		}
	}
	for _, raw := range []string{"", "[]", `{"index":-1}`, `{"index":1`, `{"index":1,"endpoints":{}}`} {
		if _, _, err := DecodeList([]byte(raw)); err == nil {
			t.Errorf("%q passed", raw)
		}
	}
}

func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entryUp + `]}`))
	f.Add([]byte(`{"endpoints":[{"name":"a","weight":-3,"since_ms":-9}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, _, err := DecodeList(raw)
		if err != nil {
			return
		}
		for _, e := range l.Endpoints {
			if e.Name == "" || e.StartedAtMillis < 0 || !(e.Weight >= 0) || e.State == dispatch.Ready && e.Address == "" {
				t.Fatalf("%+v", e)
			}
		}
	})
}

// startDiscovery is a discovery whose answers a test writes by hand, a function for each watch in turn.
func startDiscovery(t *testing.T, answers ...func(c net.Conn)) (addr string, requests chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = make(chan string, 100)
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // a watch and a check may be open together
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					requests <- r.Method + " " + r.RequestURI
					if i < len(answers) {
						answers[i](c)
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func updateChunk(index int, whole bool, entries ...string) string {
	return chunk(fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ",")) + "\n")
}

func drainingEntry(entry string) string { return strings.Replace(entry, `"up"`, `"draining"`, 1) }

// startWatcher starts a Discovery that ends with the test.
func startWatcher(t *testing.T, e *engine.Engine, addr string) *Watcher {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return NewWatcher(ctx, e, enginetest.DiscardLogger(), Source{Address: addr, FleetSize: 1})
}

// Each time a watch begins it takes the whole list first: the version that it had may mean nothing to a new agent.
func TestWatch_FetchesSnapshotThenFollows(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	whole := func(index int) func(c net.Conn) {
		return func(c net.Conn) { io.WriteString(c, okHead+updateChunk(index, true, entryUp)+"0\r\n\r\n") }
	}
	addr, requests := startDiscovery(t,
		whole(5),
		func(c net.Conn) { // breaks in the middle of a line
			io.WriteString(c, okHead+updateChunk(6, false)+chunk("\n")+"ff\r\n{\"index\":6,")
		},
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") },
		whole(3),
		func(c net.Conn) { // a line that makes no sense: what it held is missed
			io.WriteString(c, okHead+updateChunk(4, false)+chunk("{]\n")+updateChunk(9, false))
		},
		func(c net.Conn) { // a list may stand on several lines
			io.WriteString(c, okHead+chunk("{\n  \"index\": 8,\n  \"snapshot\": true,\n  \"endpoints\": [\n"+entryUp+"\n]\n}\n")+"0\r\n\r\n")
		},
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(9, false, drainingEntry(entryUp))); <-stay },
	)
	startWatcher(t, e, addr)
	for _, want := range []string{"", "?follow=1&since=5", "", "", "?follow=1&since=3", "", "?follow=1&since=8"} {
		if got := <-requests; got != "GET /discovery/hosts"+want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	waitFor(t, "the drain is told", func() bool { available, _ := e.Ready(); return !available })
	if e.Counters.WatchFailures.Load() != 3 || e.Counters.MalformedUpdates.Load() != 1 || e.Counters.EndpointUpdates.Load() != 6 {
		t.Error(e.Counters.Fields())
	}
}

// The old address counts until the new one has told its whole list, and not any more afterwards.
func TestWatcher_MoveToLeavesNoGap(t *testing.T) {
	e := enginetest.New(t, 0)
	oldEvents, newEvents, stay := make(chan string), make(chan string), make(chan bool)
	defer close(stay)
	serve := func(events chan string) func(c net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, okHead)
			for {
				select {
				case line := <-events:
					io.WriteString(c, line)
				case <-stay:
					return
				}
			}
		}
	}
	old, _ := startDiscovery(t, func(c net.Conn) { io.WriteString(c, okHead+updateChunk(50, true, entryUp)+"0\r\n\r\n") }, serve(oldEvents))
	watcher := startWatcher(t, e, old)
	ready := func() bool { available, _ := e.Ready(); return available }
	waitFor(t, "the first list is there", ready)

	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	watcher.MoveTo(dead.Addr().String())
	waitFor(t, "the dead address was tried", func() bool { return e.Counters.WatchFailures.Load() >= 2 })
	oldEvents <- updateChunk(51, false, drainingEntry(entryUp))
	waitFor(t, "the old address is heard meanwhile", func() bool { return !ready() })
	oldEvents <- updateChunk(52, false, entryUp)
	waitFor(t, "the old address is heard meanwhile", ready)

	fresh, _ := startDiscovery(t,
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(1, true)+"0\r\n\r\n") }, // it has been told nothing yet
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(2, true, entryUp)+"0\r\n\r\n") },
		serve(newEvents))
	watcher.MoveTo(fresh)
	waitFor(t, "the new address has taken over", func() bool { return watcher.Address() == fresh })
	if !ready() || e.Counters.DiscoveryMoves.Load() != 1 {
		t.Fatal(e.Counters.Fields())
	}
	n := e.Counters.EndpointUpdates.Load()
	newEvents <- updateChunk(3, false, drainingEntry(entryUp)) // a lower version than the old one's
	waitFor(t, "the new address is heard", func() bool { return !ready() && e.Counters.EndpointUpdates.Load() == n+1 })
	watcher.MoveTo(fresh) // once more the same
	watcher.MoveTo(old)   // and back, where nothing answers any more
	watcher.MoveTo(fresh)
	newEvents <- updateChunk(4, false, entryUp)
	waitFor(t, "the address that counts goes on", ready)
	if e.Counters.DiscoveryMoves.Load() != 1 {
		t.Error("it moved though nothing new told its list")
	}
}

// A watch over a vanished link is open and silent for ever.
func TestWatch_TimesOutWhenSilent(t *testing.T) {
	e := enginetest.New(t, 0)
	release := make(chan bool)
	defer close(release)
	addr, _ := startDiscovery(t, func(c net.Conn) { io.WriteString(c, okHead); <-release })
	w := &watch{address: addr, backoff: backoff{random: rand.Float64}, watcher: &Watcher{Engine: e, Log: enginetest.DiscardLogger()},
		timing: timing{watchIdle: time.Minute, request: 30 * time.Millisecond}}
	received, err := w.follow(context.Background())
	if received || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", received, err)
	}
}

// congestedDiscovery is a discovery in virtual time that carries one call after the other and lets each wait so long at the most: a
// call that has waited in vain costs it as much as one that was answered.
type congestedDiscovery struct {
	requestDuration, queueTimeout time.Duration
	queueLength                   int
	freeAt                        time.Duration // when it has carried all that it has let in
}

func (d *congestedDiscovery) call(now time.Duration) (end time.Duration, err error) {
	if d.freeAt-now >= time.Duration(d.queueLength)*d.requestDuration {
		return now + time.Millisecond, busyError{status: 503}
	}
	d.freeAt = max(d.freeAt, now) + d.requestDuration
	if d.freeAt-now > d.queueTimeout {
		return now + d.queueTimeout, busyError{status: 503}
	}
	return d.freeAt, nil
}

// Dispatchers that are cut off in the same moment keep discovery from answering any of them if they come back together.
func TestBackoff_RecoversFromThunderingHerd(t *testing.T) {
	for _, fleet := range []int{3, 20, 80, 300} {
		discovery := congestedDiscovery{requestDuration: 180 * time.Millisecond, queueTimeout: 2 * time.Second, queueLength: 26}
		r := rand.New(rand.NewPCG(1, uint64(fleet)))
		type caller struct {
			at time.Duration
			backoff
		}
		callers := make([]caller, fleet)
		for i := range callers {
			callers[i].backoff = backoff{window: time.Duration(fleet) * requestCost, timing: polledTiming, random: r.Float64}
			callers[i].at = callers[i].delay(true, io.EOF)
		}
		received, calls, last := 0, 0, time.Duration(0)
		for received < fleet && calls < 100*fleet {
			first := &callers[0]
			for i := range callers {
				if callers[i].at < first.at {
					first = &callers[i]
				}
			}
			end, err := discovery.call(first.at)
			calls++
			if err == nil {
				received++
				last = max(last, end)
				first.at = time.Hour
			} else {
				first.at = end + first.delay(false, err)
			}
		}
		if maxTime := 5 * max(time.Duration(fleet)*requestCost, time.Second); received < fleet || last > maxTime || calls > 5*fleet {
			t.Errorf("%d dispatchers: %d told by %v after %d calls, want all by %v", fleet, received, last, calls, maxTime)
		}
	}
}

func TestBackoff_DelayBounds(t *testing.T) {
	shortest := backoff{window: 80 * requestCost, timing: polledTiming, random: func() float64 { return 0 }}
	longest := backoff{window: 80 * requestCost, timing: polledTiming, random: func() float64 { return 1 }}
	// At a carried call in 186 ms for 80, checks take discovery 15 of these seconds: it has room for others beside them.
	if minDelay, maxDelay := shortest.verifyDelay(), longest.verifyDelay(); minDelay != 32*time.Second || maxDelay != 64*time.Second {
		t.Errorf("a check after %v to %v, want 32 s to 64 s", minDelay, maxDelay)
	}
	for i, want := range []struct {
		received           bool
		err                error
		minDelay, maxDelay time.Duration
	}{
		{true, io.EOF, 25 * time.Millisecond, 50 * time.Millisecond},
		{false, io.EOF, 50 * time.Millisecond, 100 * time.Millisecond},
		{false, busyError{status: 503}, 4 * time.Second, 16 * time.Second},
		{false, fmt.Errorf("asking: %w", busyError{status: 429}), 8 * time.Second, 32 * time.Second},
		{false, busyError{status: 503}, 16 * time.Second, 64 * time.Second},
		{false, busyError{status: 503}, 16 * time.Second, 64 * time.Second},
		{true, busyError{status: 503, retryAfter: time.Second}, 5 * time.Second, 17 * time.Second},
		{true, busyError{status: 503, retryAfter: time.Hour}, 68 * time.Second, 80 * time.Second},
		{true, busyError{status: 503}, 4 * time.Second, 16 * time.Second},
		{false, io.EOF, 25 * time.Millisecond, 50 * time.Millisecond},
	} {
		if minDelay, maxDelay := shortest.delay(want.received, want.err), longest.delay(want.received, want.err); minDelay != want.minDelay || maxDelay != want.maxDelay {
			t.Errorf("wait %d: %v to %v, want %v to %v", i, minDelay, maxDelay, want.minDelay, want.maxDelay)
		}
	}
}

// One call a start in place of two, and one later that shows that the version meant something.
func TestWatch_ResumesFromKnownList(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	busy := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }
	addr, requests := startDiscovery(t,
		busy,
		func(c net.Conn) { // a watch that lives, with its empty lines
			io.WriteString(c, okHead+updateChunk(9, false, entryUp))
			for {
				select {
				case <-stay:
					return
				case <-time.After(500 * time.Millisecond):
					io.WriteString(c, chunk("\n"))
				}
			}
		},
		busy, // the check is not answered, and comes again
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(9, true)+"0\r\n\r\n") },
	)
	NewWatcher(t.Context(), e, enginetest.DiscardLogger(), Source{Address: addr, FleetSize: 1, HasList: true, Version: 7})
	want := []string{"?follow=1&since=7", "?follow=1&since=7", "", ""}
	for _, want := range want {
		if got := <-requests; got != "GET /discovery/hosts"+want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	waitFor(t, "the check is taken", func() bool { available, _ := e.Ready(); return !available && e.Counters.EndpointUpdates.Load() == 2 })
}

// A version of another agent, or of the same one before it was started again, means nothing.
func TestWatch_RefetchesAfterForeignVersion(t *testing.T) {
	whole := func(c net.Conn) { io.WriteString(c, okHead+updateChunk(3, true, entryUp)+"0\r\n\r\n") }
	lasting := func(line string) func(c net.Conn) { // a watch that ends only with its taker
		return func(c net.Conn) {
			_, err := io.WriteString(c, okHead+line)
			for ; err == nil; _, err = io.WriteString(c, chunk("\n")) {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for name, watches := range map[string][]func(c net.Conn){
		"by the watch": {lasting(updateChunk(2, false))},
		"by the check": {lasting(updateChunk(50, false)), whole}, // it tells nothing where it does not know the version
	} {
		t.Run(name, func(t *testing.T) {
			e := enginetest.New(t, 0)
			addr, requests := startDiscovery(t, append(watches, whole, lasting(updateChunk(3, false)))...)
			NewWatcher(t.Context(), e, enginetest.DiscardLogger(), Source{Address: addr, FleetSize: 1, HasList: true, Version: 50})
			waitFor(t, "the whole list is taken", func() bool { available, _ := e.Ready(); return available })
			waitFor(t, "the watch goes on from it", func() bool { return <-requests == "GET /discovery/hosts?follow=1&since=3" })
		})
	}
}

func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-3": 0, "0": 0, "soon": 0, "NaN": 0, "1e300": time.Hour,
		"+Inf": time.Hour, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		if got := parseRetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("Retry-After %q: %v, want %v", text, got, want)
		}
	}
}

// Whatever discovery answers in place of its list, the last good one stays, and a drain told later still counts.
func TestWatch_KeepsLastListOnBadResponse(t *testing.T) {
	for name, bad := range map[string]func(c net.Conn){
		"closes without a word": func(net.Conn) {},
		"turns away":            func(c net.Conn) { io.WriteString(c, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n") },
		"half a list": func(c net.Conn) {
			io.WriteString(c, okHead+chunk(`{"index":6,"snapshot":true,"endpoints":[`)+"0\r\n\r\n")
		},
		"breaks within a line":   func(c net.Conn) { io.WriteString(c, okHead+"ff\r\n{\"index\":6,") },
		"a head that is no HTTP": func(c net.Conn) { io.WriteString(c, "SSH-2.0-agent\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			e := enginetest.New(t, 0)
			l, _, err := DecodeList([]byte(`{"index":5,"snapshot":true,"endpoints":[` + entryUp + `]}`))
			if err != nil {
				t.Fatal(err)
			}
			e.UpdateEndpoints(l)
			stay, retried := make(chan bool), make(chan bool)
			defer close(stay)
			addr, _ := startDiscovery(t, bad, bad, func(c net.Conn) {
				close(retried)
				<-stay
				io.WriteString(c, okHead+updateChunk(6, true, drainingEntry(entryUp))+"0\r\n\r\n")
			})
			NewWatcher(t.Context(), e, enginetest.DiscardLogger(), Source{Address: addr, FleetSize: 1, HasList: true, Version: 5})
			<-retried
			if available, _ := e.Ready(); !available || e.Counters.WatchFailures.Load() != 2 {
				t.Fatalf("after two bad answers: ready %v, %v", available, e.Counters.Fields())
			}
			stay <- true
			waitFor(t, "the drain is told", func() bool { available, _ := e.Ready(); return !available })
		})
	}
}

// Whether our own watch stands is known: others' words on workers hold while it does not.
func TestWatcher_ReportsBrokenWatch(t *testing.T) {
	e := enginetest.New(t, 0)
	w := &watch{}
	watcher := &Watcher{Engine: e, Log: enginetest.DiscardLogger(), current: w}
	before := e.WatchingFor()
	if err := watcher.apply(w, engine.EndpointList{Snapshot: true}); err != nil {
		t.Fatal(err)
	}
	watcher.watchBroken(&watch{})
	during := e.WatchingFor()
	if watcher.watchBroken(w); before >= 0 || during < 0 || e.WatchingFor() >= 0 {
		t.Fatalf("%v before, %v while it stands, %v after", before, during, e.WatchingFor())
	}
}

// An agent of our own that says nothing is asked again and again, as what it has counts as told as soon as it speaks.
func TestWatch_RetriesSilentAgentSoon(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	silent := func(net.Conn) { <-stay }
	addr, requests := startDiscovery(t, silent, silent, silent, silent, func(c net.Conn) { io.WriteString(c, okHead+updateChunk(1, true, entryUp)+"0\r\n\r\n") })
	began := time.Now()
	NewWatcher(t.Context(), e, enginetest.DiscardLogger(), Source{Address: addr, Pushed: true, FleetSize: 300})
	waitFor(t, "its list is taken", func() bool { available, _ := e.Ready(); return available })
	for range 4 {
		<-requests
	}
	if elapsed := time.Since(began); elapsed > 5*time.Second { // one call alone would have waited for so long
		t.Errorf("it was asked five times in %v", elapsed)
	}
}

// The platform's page: whatever became of a call or a watch, a change counts as told 6 s after discovery had it and could be reached.
func TestTiming_MeetsPropagationDeadline(t *testing.T) {
	for name, profile := range map[string]timing{"asked": polledTiming, "pushed": pushedTiming} {
		if sum := profile.afterSilence(); sum > propagationDeadline {
			t.Errorf("%s: a watch that falls silent and a call that comes to nothing take %v, want %v at the most", name, sum, propagationDeadline)
		}
		if sum := profile.afterBusy(); sum > propagationDeadline {
			t.Errorf("%s: calls that are turned away take %v, want %v at the most", name, sum, propagationDeadline)
		}
		if profile.watchIdle < 2*time.Second+500*time.Millisecond {
			t.Errorf("%s: a watch is given up after %v, and its empty lines come every 2 s", name, profile.watchIdle)
		}
	}
	if retry := 2 * (pushedTiming.maxRetryDelay + pushedTiming.request); retry > 500*time.Millisecond {
		t.Errorf("an agent that has come back is asked again within %v, want two calls in the 0.5 s that a drain leaves", retry)
	}
	for _, busy := range []busyError{{status: 503}, {status: 503, retryAfter: time.Hour}} {
		for fleet, fits := range map[int]bool{1: true, 9: true, 30: true, 80: false, 300: false} { // calls of 0.2 s in 6 s
			b := backoff{window: time.Duration(fleet) * requestCost, timing: polledTiming, random: func() float64 { return 1 }}
			for i := range 6 {
				if delay := b.delay(false, busy); (delay <= polledTiming.maxBusyDelay) != fits {
					t.Errorf("%d dispatchers, refusal %d, to come back after %v: %v, where %v is in time", fleet, i, busy.retryAfter, delay, polledTiming.maxBusyDelay)
				}
			}
		}
	}
}

// Discovery that carries so many calls a second and no more is kept from answering any by calls that are given up and made again at
// once: in a fleet that is too large for its time they are spread as refused ones. An agent of our own has no such bound.
func TestBackoff_SpreadsUnansweredRequests(t *testing.T) {
	lost := fmt.Errorf("%w: timeout", errNoResponse)
	for _, c := range []struct {
		name     string
		fleet    int
		profile  timing
		isSpread bool
	}{{"few that ask", 9, polledTiming, false}, {"many that ask", 80, polledTiming, true}, {"many with agents", 300, pushedTiming, false}} {
		b := backoff{window: time.Duration(c.fleet) * requestCost, timing: c.profile, random: func() float64 { return 0 }}
		for i := range 5 {
			delay := b.delay(false, lost)
			if c.isSpread && delay < b.window/4 || !c.isSpread && delay > c.profile.maxRetryDelay {
				t.Errorf("%s: %v after call %d, of a spread of %v: %v", c.name, delay, i, b.window, c.isSpread)
			}
		}
	}
}

// A whole list that stops in the middle is given up in the time of a call, however its lines stand.
func TestWatch_TimesOutOnStalledList(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	addr, _ := startDiscovery(t, func(c net.Conn) {
		io.WriteString(c, okHead)
		for range 100 { // indented, a line now and then, and never whole
			if _, err := io.WriteString(c, chunk("\n")); err != nil {
				return
			}
			select {
			case <-stay:
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	w := &watch{address: addr, backoff: backoff{random: rand.Float64}, watcher: &Watcher{Engine: e, Log: enginetest.DiscardLogger()},
		timing: timing{watchIdle: time.Minute, request: 50 * time.Millisecond, listBody: 50 * time.Millisecond}}
	received, err := w.follow(context.Background())
	if received || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", received, err)
	}
}

// A list without end takes no memory without end.
func TestListReader_LimitsLength(t *testing.T) {
	r := &listReader{source: strings.NewReader("[1,2,3,4]"), bytesLeft: 4, onLine: func() error { return nil }}
	if got, err := io.ReadAll(r); err != errTooLong || len(got) != 4 {
		t.Errorf("%q, %v", got, err)
	}
}

// A list that is left for another process means the same there.
func TestEncodeList_RoundTrip(t *testing.T) {
	in := engine.EndpointList{Version: 9, Snapshot: true, Endpoints: []engine.Endpoint{
		{Name: "s-1", Address: "127.0.0.1:5000", Zone: "a", Kind: "big", Cell: 3, Weight: 1.5, State: dispatch.Ready, StartedAtMillis: 1764600000123},
		{Name: "s-2", Cell: -1, State: dispatch.Draining},
	}}
	raw, err := EncodeList(in)
	if err != nil {
		t.Fatal(err)
	}
	out, bad, err := DecodeList(raw)
	if err != nil || bad != 0 || out.Version != 9 || !out.Snapshot || len(out.Endpoints) != 2 || out.Endpoints[0] != in.Endpoints[0] ||
		out.Endpoints[1] != in.Endpoints[1] {
		t.Fatalf("%s: %+v, %d, %v", raw, out, bad, err)
	}
}
