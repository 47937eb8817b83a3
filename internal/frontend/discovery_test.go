package frontend

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
)

const entryUp = `{"name":"s-1","address":"127.0.0.1:5000","zone":"a","type":"big","group":3,"status":"up","weight":1.5,"since_ms":12}`

func TestListIsDecoded(t *testing.T) {
	l, bad, err := DecodeList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entryUp +
		`,{"name":"s-2","address":"127.0.0.1:5001","status":"draining"}` +
		`,{"name":"s-3","address":"","status":"removed","since_ms":1.8e12}]}`))
	if err != nil || bad != 0 || l.Index != 41 || !l.Whole || l.Stale || len(l.Entries) != 3 {
		t.Fatalf("%+v, %d, %v", l, bad, err)
	}
	e := l.Entries[0]
	if e.Name != "s-1" || e.Address != "127.0.0.1:5000" || e.Zone != "a" || e.Kind != "big" || e.Cell != 3 ||
		e.State != dispatch.Ready || e.Weight != 1.5 || e.Since != 12 {
		t.Fatalf("%+v", e)
	}
	if l.Entries[1].State != dispatch.Draining || l.Entries[1].Cell != -1 || l.Entries[2].State != dispatch.Gone ||
		l.Entries[2].Since != 1800000000000 {
		t.Fatalf("%+v", l.Entries[1:])
	}
}

// Nothing may be sent where the list does not plainly say that jobs are wanted.
func TestOddEntriesGetNoJobs(t *testing.T) {
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
		if err != nil || bad != 1 || len(l.Entries) != kept {
			t.Errorf("%s: %+v, %d, %v", raw, l, bad, err)
		}
		if kept == 1 && l.Entries[0].State == dispatch.Ready {
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
		for _, e := range l.Entries {
			if e.Name == "" || e.Since < 0 || !(e.Weight >= 0) || e.State == dispatch.Ready && e.Address == "" {
				t.Fatalf("%+v", e)
			}
		}
	})
}

// agent is a discovery whose answers a test writes by hand, a function for each watch in turn.
func agent(t *testing.T, watches ...func(c net.Conn)) (addr string, asked chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	asked = make(chan string, 100)
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
					asked <- r.Method + " " + r.RequestURI
					if i < len(watches) {
						watches[i](c)
					}
				}
			}()
		}
	}()
	return l.Addr().String(), asked
}

func news(index int, whole bool, entries ...string) string {
	return chunk(fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ",")) + "\n")
}

func draining(entry string) string { return strings.Replace(entry, `"up"`, `"draining"`, 1) }

// follow starts a Discovery that ends with the test.
func follow(t *testing.T, s *engine.Store, addr string) *Discovery {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	return NewDiscovery(ctx, s, quiet(), Source{Address: addr, Fleet: 1})
}

// Each time a watch begins it takes the whole list first: the version that it had may mean nothing to a new agent.
func TestWatchTakesTheWholeListAndFollows(t *testing.T) {
	s := newStore(t, 0)
	stay := make(chan bool)
	defer close(stay)
	whole := func(index int) func(c net.Conn) {
		return func(c net.Conn) { io.WriteString(c, okHead+news(index, true, entryUp)+"0\r\n\r\n") }
	}
	addr, asked := agent(t,
		whole(5),
		func(c net.Conn) { // breaks in the middle of a line
			io.WriteString(c, okHead+news(6, false)+chunk("\n")+"ff\r\n{\"index\":6,")
		},
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") },
		whole(3),
		func(c net.Conn) { // a line that makes no sense: what it held is missed
			io.WriteString(c, okHead+news(4, false)+chunk("{]\n")+news(9, false))
		},
		func(c net.Conn) { // a list may stand on several lines
			io.WriteString(c, okHead+chunk("{\n  \"index\": 8,\n  \"snapshot\": true,\n  \"endpoints\": [\n"+entryUp+"\n]\n}\n")+"0\r\n\r\n")
		},
		func(c net.Conn) { io.WriteString(c, okHead+news(9, false, draining(entryUp))); <-stay },
	)
	follow(t, s, addr)
	for _, want := range []string{"", "?follow=1&since=5", "", "", "?follow=1&since=3", "", "?follow=1&since=8"} {
		if got := <-asked; got != "GET /discovery/hosts"+want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	until(t, "the drain is told", func() bool { some, _ := s.Ready(); return !some })
	if s.Counters.WatchBroke.Load() != 3 || s.Counters.BadNews.Load() != 1 || s.Counters.News.Load() != 6 {
		t.Error(s.Counters.Fields())
	}
}

// The old address counts until the new one has told its whole list, and not any more afterwards.
func TestMoveToAnotherAddressLeavesNoGap(t *testing.T) {
	s := newStore(t, 0)
	tellOld, tellNew, stay := make(chan string), make(chan string), make(chan bool)
	defer close(stay)
	serve := func(tell chan string) func(c net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, okHead)
			for {
				select {
				case line := <-tell:
					io.WriteString(c, line)
				case <-stay:
					return
				}
			}
		}
	}
	old, _ := agent(t, func(c net.Conn) { io.WriteString(c, okHead+news(50, true, entryUp)+"0\r\n\r\n") }, serve(tellOld))
	d := follow(t, s, old)
	ready := func() bool { some, _ := s.Ready(); return some }
	until(t, "the first list is there", ready)

	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	d.Move(dead.Addr().String())
	until(t, "the dead address was tried", func() bool { return s.Counters.WatchBroke.Load() >= 2 })
	tellOld <- news(51, false, draining(entryUp))
	until(t, "the old address is heard meanwhile", func() bool { return !ready() })
	tellOld <- news(52, false, entryUp)
	until(t, "the old address is heard meanwhile", ready)

	fresh, _ := agent(t,
		func(c net.Conn) { io.WriteString(c, okHead+news(1, true)+"0\r\n\r\n") }, // it has been told nothing yet
		func(c net.Conn) { io.WriteString(c, okHead+news(2, true, entryUp)+"0\r\n\r\n") },
		serve(tellNew))
	d.Move(fresh)
	until(t, "the new address has taken over", func() bool { return d.Address() == fresh })
	if !ready() || s.Counters.ListMoves.Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
	n := s.Counters.News.Load()
	tellNew <- news(3, false, draining(entryUp)) // a lower version than the old one's
	until(t, "the new address is heard", func() bool { return !ready() && s.Counters.News.Load() == n+1 })
	d.Move(fresh) // once more the same
	d.Move(old)   // and back, where nothing answers any more
	d.Move(fresh)
	tellNew <- news(4, false, entryUp)
	until(t, "the address that counts goes on", ready)
	if s.Counters.ListMoves.Load() != 1 {
		t.Error("it moved though nothing new told its list")
	}
}

// A watch over a vanished link is open and silent for ever.
func TestSilentWatchIsGivenUp(t *testing.T) {
	s := newStore(t, 0)
	release := make(chan bool)
	defer close(release)
	addr, _ := agent(t, func(c net.Conn) { io.WriteString(c, okHead); <-release })
	w := &watch{address: addr, spread: spread{random: rand.Float64}, of: &Discovery{Store: s, Log: quiet()},
		patience: patience{quiet: time.Minute, call: 30 * time.Millisecond}}
	told, err := w.follow(context.Background())
	if told || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", told, err)
	}
}

// busyAgent is a discovery in virtual time that carries one call after the other and lets each wait so long at the most: a
// call that has waited in vain costs it as much as one that was answered.
type busyAgent struct {
	each, patience time.Duration
	waiting        int
	free           time.Duration // when it has carried all that it has let in
}

func (a *busyAgent) call(now time.Duration) (end time.Duration, err error) {
	if a.free-now >= time.Duration(a.waiting)*a.each {
		return now + time.Millisecond, errBusy{status: 503}
	}
	a.free = max(a.free, now) + a.each
	if a.free-now > a.patience {
		return now + a.patience, errBusy{status: 503}
	}
	return a.free, nil
}

// Dispatchers that are cut off in the same moment keep discovery from answering any of them if they come back together.
func TestWatchesThatBreakTogetherAreAllTold(t *testing.T) {
	for _, fleet := range []int{3, 20, 80, 300} {
		a := busyAgent{each: 180 * time.Millisecond, patience: 2 * time.Second, waiting: 26}
		r := rand.New(rand.NewPCG(1, uint64(fleet)))
		type caller struct {
			at time.Duration
			spread
		}
		callers := make([]caller, fleet)
		for i := range callers {
			callers[i].spread = spread{span: time.Duration(fleet) * callTime, patience: asked, random: r.Float64}
			callers[i].at = callers[i].after(true, io.EOF)
		}
		told, calls, last := 0, 0, time.Duration(0)
		for told < fleet && calls < 100*fleet {
			first := &callers[0]
			for i := range callers {
				if callers[i].at < first.at {
					first = &callers[i]
				}
			}
			end, err := a.call(first.at)
			calls++
			if err == nil {
				told++
				last = max(last, end)
				first.at = time.Hour
			} else {
				first.at = end + first.after(false, err)
			}
		}
		if bound := 5 * max(time.Duration(fleet)*callTime, time.Second); told < fleet || last > bound || calls > 5*fleet {
			t.Errorf("%d dispatchers: %d told by %v after %d calls, want all by %v", fleet, told, last, calls, bound)
		}
	}
}

func TestWaitsAreDrawnApart(t *testing.T) {
	s := spread{span: 80 * callTime, patience: asked, random: func() float64 { return 0 }}
	high := spread{span: 80 * callTime, patience: asked, random: func() float64 { return 1 }}
	// At a carried call in 186 ms for 80, checks take discovery 15 of these seconds: it has room for others beside them.
	if low, most := s.check(), high.check(); low != 32*time.Second || most != 64*time.Second {
		t.Errorf("a check after %v to %v, want 32 s to 64 s", low, most)
	}
	for i, want := range []struct {
		told      bool
		err       error
		low, most time.Duration
	}{
		{true, io.EOF, 25 * time.Millisecond, 50 * time.Millisecond},
		{false, io.EOF, 50 * time.Millisecond, 100 * time.Millisecond},
		{false, errBusy{status: 503}, 4 * time.Second, 16 * time.Second},
		{false, fmt.Errorf("asking: %w", errBusy{status: 429}), 8 * time.Second, 32 * time.Second},
		{false, errBusy{status: 503}, 16 * time.Second, 64 * time.Second},
		{false, errBusy{status: 503}, 16 * time.Second, 64 * time.Second},
		{true, errBusy{status: 503, after: time.Second}, 5 * time.Second, 17 * time.Second},
		{true, errBusy{status: 503, after: time.Hour}, 68 * time.Second, 80 * time.Second},
		{true, errBusy{status: 503}, 4 * time.Second, 16 * time.Second},
		{false, io.EOF, 25 * time.Millisecond, 50 * time.Millisecond},
	} {
		if low, most := s.after(want.told, want.err), high.after(want.told, want.err); low != want.low || most != want.most {
			t.Errorf("wait %d: %v to %v, want %v to %v", i, low, most, want.low, want.most)
		}
	}
}

// One call a start in place of two, and one later that shows that the version meant something.
func TestStartGoesOnFromTheKnownList(t *testing.T) {
	s := newStore(t, 0)
	stay := make(chan bool)
	defer close(stay)
	busy := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }
	addr, asked := agent(t,
		busy,
		func(c net.Conn) { // a watch that lives, with its empty lines
			io.WriteString(c, okHead+news(9, false, entryUp))
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
		func(c net.Conn) { io.WriteString(c, okHead+news(9, true)+"0\r\n\r\n") },
	)
	NewDiscovery(t.Context(), s, quiet(), Source{Address: addr, Fleet: 1, Known: true, Index: 7})
	want := []string{"?follow=1&since=7", "?follow=1&since=7", "", ""}
	for _, want := range want {
		if got := <-asked; got != "GET /discovery/hosts"+want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	until(t, "the check is taken", func() bool { some, _ := s.Ready(); return !some && s.Counters.News.Load() == 2 })
}

// A version of another agent, or of the same one before it was started again, means nothing.
func TestVersionThatMeansNothingBringsTheWholeList(t *testing.T) {
	whole := func(c net.Conn) { io.WriteString(c, okHead+news(3, true, entryUp)+"0\r\n\r\n") }
	lasting := func(line string) func(c net.Conn) { // a watch that ends only with its taker
		return func(c net.Conn) {
			_, err := io.WriteString(c, okHead+line)
			for ; err == nil; _, err = io.WriteString(c, chunk("\n")) {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for name, watches := range map[string][]func(c net.Conn){
		"by the watch": {lasting(news(2, false))},
		"by the check": {lasting(news(50, false)), whole}, // it tells nothing where it does not know the version
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(t, 0)
			addr, asked := agent(t, append(watches, whole, lasting(news(3, false)))...)
			NewDiscovery(t.Context(), s, quiet(), Source{Address: addr, Fleet: 1, Known: true, Index: 50})
			until(t, "the whole list is taken", func() bool { some, _ := s.Ready(); return some })
			until(t, "the watch goes on from it", func() bool { return <-asked == "GET /discovery/hosts?follow=1&since=3" })
		})
	}
}

func TestRetryAfterIsReadWhereItMakesSense(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-3": 0, "0": 0, "soon": 0, "NaN": 0, "1e300": time.Hour,
		"+Inf": time.Hour, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		if got := comeBackAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("Retry-After %q: %v, want %v", text, got, want)
		}
	}
}

// Whatever discovery answers in place of its list, the last good one stays, and a drain told later still counts.
func TestBadAnswersLeaveTheLastGoodList(t *testing.T) {
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
			s := newStore(t, 0)
			l, _, err := DecodeList([]byte(`{"index":5,"snapshot":true,"endpoints":[` + entryUp + `]}`))
			if err != nil {
				t.Fatal(err)
			}
			s.News(l)
			stay, went := make(chan bool), make(chan bool)
			defer close(stay)
			addr, _ := agent(t, bad, bad, func(c net.Conn) {
				close(went)
				<-stay
				io.WriteString(c, okHead+news(6, true, draining(entryUp))+"0\r\n\r\n")
			})
			NewDiscovery(t.Context(), s, quiet(), Source{Address: addr, Fleet: 1, Known: true, Index: 5})
			<-went
			if some, _ := s.Ready(); !some || s.Counters.WatchBroke.Load() != 2 {
				t.Fatalf("after two bad answers: ready %v, %v", some, s.Counters.Fields())
			}
			stay <- true
			until(t, "the drain is told", func() bool { some, _ := s.Ready(); return !some })
		})
	}
}

// Whether our own watch stands is known: others' words on workers hold while it does not.
func TestAWatchThatBreaksStandsNoMore(t *testing.T) {
	s := newStore(t, 0)
	w := &watch{}
	d := &Discovery{Store: s, Log: quiet(), now: w}
	before := s.Watched()
	if err := d.take(w, engine.List{Whole: true}); err != nil {
		t.Fatal(err)
	}
	d.broke(&watch{})
	stands := s.Watched()
	if d.broke(w); before >= 0 || stands < 0 || s.Watched() >= 0 {
		t.Fatalf("%v before, %v while it stands, %v after", before, stands, s.Watched())
	}
}

// An agent of our own that says nothing is asked again and again, as what it has counts as told as soon as it speaks.
func TestASilentAgentIsAskedAgainSoon(t *testing.T) {
	s := newStore(t, 0)
	stay := make(chan bool)
	defer close(stay)
	silent := func(net.Conn) { <-stay }
	addr, asked := agent(t, silent, silent, silent, silent, func(c net.Conn) { io.WriteString(c, okHead+news(1, true, entryUp)+"0\r\n\r\n") })
	began := time.Now()
	NewDiscovery(t.Context(), s, quiet(), Source{Address: addr, Pushed: true, Fleet: 300})
	until(t, "its list is taken", func() bool { some, _ := s.Ready(); return some })
	for range 4 {
		<-asked
	}
	if took := time.Since(began); took > 5*time.Second { // one call alone would have waited for so long
		t.Errorf("it was asked five times in %v", took)
	}
}

// The platform's page: whatever became of a call or a watch, a change counts as told 6 s after discovery had it and could be reached.
func TestWaitsOnDiscoveryKeepWithinTheTerm(t *testing.T) {
	for name, p := range map[string]patience{"asked": asked, "pushed": pushed} {
		if sum := p.silent(); sum > toldWithin {
			t.Errorf("%s: a watch that falls silent and a call that comes to nothing take %v, want %v at the most", name, sum, toldWithin)
		}
		if sum := p.refused(); sum > toldWithin {
			t.Errorf("%s: calls that are turned away take %v, want %v at the most", name, sum, toldWithin)
		}
		if p.quiet < 2*time.Second+500*time.Millisecond {
			t.Errorf("%s: a watch is given up after %v, and its empty lines come every 2 s", name, p.quiet)
		}
	}
	if back := 2 * (pushed.retry + pushed.call); back > 500*time.Millisecond {
		t.Errorf("an agent that has come back is asked again within %v, want two calls in the 0.5 s that a drain leaves", back)
	}
	for _, busy := range []errBusy{{status: 503}, {status: 503, after: time.Hour}} {
		for fleet, fits := range map[int]bool{1: true, 9: true, 30: true, 80: false, 300: false} { // calls of 0.2 s in 6 s
			s := spread{span: time.Duration(fleet) * callTime, patience: asked, random: func() float64 { return 1 }}
			for i := range 6 {
				if wait := s.after(false, busy); (wait <= asked.turn) != fits {
					t.Errorf("%d dispatchers, refusal %d, to come back after %v: %v, where %v is in time", fleet, i, busy.after, wait, asked.turn)
				}
			}
		}
	}
}

// Discovery that carries so many calls a second and no more is kept from answering any by calls that are given up and made again at
// once: in a fleet that is too large for its time they are spread as refused ones. An agent of our own has no such bound.
func TestUnansweredCallsOfALargeFleetAreSpread(t *testing.T) {
	lost := fmt.Errorf("%w: timeout", errUnanswered)
	for _, c := range []struct {
		name   string
		fleet  int
		from   patience
		spread bool
	}{{"few that ask", 9, asked, false}, {"many that ask", 80, asked, true}, {"many with agents", 300, pushed, false}} {
		s := spread{span: time.Duration(c.fleet) * callTime, patience: c.from, random: func() float64 { return 0 }}
		for i := range 5 {
			wait := s.after(false, lost)
			if c.spread && wait < s.span/4 || !c.spread && wait > c.from.retry {
				t.Errorf("%s: %v after call %d, of a spread of %v: %v", c.name, wait, i, s.span, c.spread)
			}
		}
	}
}

// A whole list that stops in the middle is given up in the time of a call, however its lines stand.
func TestAListThatStopsInTheMiddleIsGivenUp(t *testing.T) {
	s := newStore(t, 0)
	stay := make(chan bool)
	defer close(stay)
	addr, _ := agent(t, func(c net.Conn) {
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
	w := &watch{address: addr, spread: spread{random: rand.Float64}, of: &Discovery{Store: s, Log: quiet()},
		patience: patience{quiet: time.Minute, call: 50 * time.Millisecond, list: 50 * time.Millisecond}}
	told, err := w.follow(context.Background())
	if told || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", told, err)
	}
}

// A list without end takes no memory without end.
func TestAListIsOnlySoLong(t *testing.T) {
	r := &listReader{from: strings.NewReader("[1,2,3,4]"), left: 4, line: func() error { return nil }}
	if got, err := io.ReadAll(r); err != errLong || len(got) != 4 {
		t.Errorf("%q, %v", got, err)
	}
}
