package discovery

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"birchfork/internal/engine/enginetest"
)

// Each new watch fetches the complete list first: its previous version may mean nothing to a new agent.
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
		func(c net.Conn) { // a malformed line: what it contained is missed
			io.WriteString(c, okHead+updateChunk(4, false)+chunk("{]\n")+updateChunk(9, false))
		},
		func(c net.Conn) { // a list may span several lines
			io.WriteString(c, okHead+chunk("{\n  \"index\": 8,\n  \"snapshot\": true,\n  \"endpoints\": [\n"+entryUp+"\n]\n}\n")+"0\r\n\r\n")
		},
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(9, false, entryDraining)); <-stay },
	)
	startWatcher(t, e, addr)
	for _, want := range []string{"", "?follow=1&since=5", "", "", "?follow=1&since=3", "", "?follow=1&since=8"} {
		if got := <-requests; got != "GET /discovery/hosts"+want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
	waitFor(t, "the drain is told", func() bool { available, _ := e.Ready(); return !available })
	if e.Counters.WatchFailures.Load() != 3 || e.Counters.MalformedUpdates.Load() != 1 || e.Counters.EndpointUpdates.Load() != 6 {
		t.Error(e.Counters.Fields())
	}
}

// A watch over a link that has vanished would stay open and silent forever.
func TestWatch_TimesOutWhenSilent(t *testing.T) {
	e := enginetest.New(t, 0)
	release := make(chan bool)
	defer close(release)
	addr, _ := startDiscovery(t, func(c net.Conn) { io.WriteString(c, okHead); <-release })
	w := &watch{address: addr, backoff: backoff{random: rand.Float64}, watcher: &Watcher{Engine: e, Log: enginetest.DiscardLogger()},
		timing: timing{watchIdleTimeout: time.Minute, requestTimeout: 30 * time.Millisecond}}
	received, err := w.follow(context.Background())
	if received || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", received, err)
	}
}

// A start from a known list takes one request instead of two, and a later one that verifies the version.
func TestWatch_ResumesFromKnownList(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	busy := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }
	addr, requests := startDiscovery(t,
		busy,
		func(c net.Conn) { // a watch that stays alive by empty lines
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
		busy, // the verification is not answered, and is repeated
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(9, true)+"0\r\n\r\n") },
	)
	NewWatcher(t.Context(), e, enginetest.DiscardLogger(), Source{Address: addr, FleetSize: 1, HasList: true, Version: 7})
	want := []string{"?follow=1&since=7", "?follow=1&since=7", "", ""}
	for _, want := range want {
		if got := <-requests; got != "GET /discovery/hosts"+want {
			t.Errorf("requested %q, want %q", got, want)
		}
	}
	waitFor(t, "the check is taken", func() bool { available, _ := e.Ready(); return !available && e.Counters.EndpointUpdates.Load() == 2 })
}

// A version of another agent, or of the same one before a restart, is meaningless.
func TestWatch_RefetchesAfterForeignVersion(t *testing.T) {
	whole := func(c net.Conn) { io.WriteString(c, okHead+updateChunk(3, true, entryUp)+"0\r\n\r\n") }
	lasting := func(line string) func(c net.Conn) { // a watch that ends only with its client
		return func(c net.Conn) {
			_, err := io.WriteString(c, okHead+line)
			for ; err == nil; _, err = io.WriteString(c, chunk("\n")) {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for name, watches := range map[string][]func(c net.Conn){
		"by the watch": {lasting(updateChunk(2, false))},
		"by the check": {lasting(updateChunk(50, false)), whole}, // the agent sends nothing if it does not know the version
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

// Whatever discovery answers instead of its list, the last valid one is kept, and a drain that it sends later is applied.
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
				io.WriteString(c, okHead+updateChunk(6, true, entryDraining)+"0\r\n\r\n")
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

// A silent local agent is retried at short intervals, since its list counts as known as soon as it responds.
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
	if elapsed := time.Since(began); elapsed > 5*time.Second { // a single request would have waited for this long
		t.Errorf("it was asked five times in %v", elapsed)
	}
}

// A complete list that stops in the middle is abandoned within the timeouts of a request, however it is split into lines.
func TestWatch_TimesOutOnStalledList(t *testing.T) {
	e := enginetest.New(t, 0)
	stay := make(chan bool)
	defer close(stay)
	addr, _ := startDiscovery(t, func(c net.Conn) {
		io.WriteString(c, okHead)
		for range 100 { // indented, a line now and then, and never complete
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
		timing: timing{watchIdleTimeout: time.Minute, requestTimeout: 50 * time.Millisecond, listTimeout: 50 * time.Millisecond}}
	received, err := w.follow(context.Background())
	if received || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%v, %v", received, err)
	}
}
