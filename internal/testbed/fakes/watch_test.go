package fakes

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"birchfork/internal/testbed/invariant"
)

// startAgent starts an agent that keeps two changes and receives updates without delay.
func startAgent(t *testing.T) (*Discovery, *Agent, *invariant.Ledger) {
	t.Helper()
	ledger := invariant.NewLedger()
	d, err := NewDiscovery(ledger, 1, 2, 0, 0, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, d.Agents[0], ledger
}

// listed returns an update that lists a worker.
func listed(worker int, name string) EndpointUpdate {
	return EndpointUpdate{Worker: worker, Incarnation: 1, Endpoint: func(int) Endpoint {
		return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "cpu", Group: 2, Status: StatusUp, Weight: 4, SinceMs: 5}
	}}
}

// removal is the update that removes worker 0, "w1".
var removal = EndpointUpdate{Worker: 0, Incarnation: 1, Endpoint: func(int) Endpoint { return Endpoint{Name: "w1", Status: StatusRemoved} }}

// get sends a request to the agent and returns the status and the body, which is closed when the test ends.
func get(t *testing.T, a *Agent, query string) (status int, body *bufio.Reader) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	res, err := client.Get("http://" + a.Address() + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res.StatusCode, bufio.NewReader(res.Body)
}

const (
	w1JSON        = `{"name":"w1","address":"127.0.0.1:1","zone":"a","type":"cpu","group":2,"status":"up","weight":4,"since_ms":5}`
	w2JSON        = `{"name":"w2","address":"127.0.0.1:1","zone":"a","type":"cpu","group":2,"status":"up","weight":4,"since_ms":5}`
	w1RemovedJSON = `{"name":"w1","address":"","zone":"","type":"","group":0,"status":"removed","weight":0,"since_ms":0}`
)

// The agent's responses are checked byte for byte.
func TestAgent_Responses(t *testing.T) {
	for _, c := range []struct {
		name, query string
		updates     []EndpointUpdate
		status      int
		want        string // the body, or the first line of a watch
	}{
		{"empty list", "", nil, 200, `{"index":0,"snapshot":true,"endpoints":[]}`},
		{"list", "", []EndpointUpdate{listed(0, "w1"), listed(-1, "w2")}, 200, `{"index":2,"snapshot":true,"endpoints":[` + w1JSON + "," + w2JSON + `]}`},
		{"list after a removal", "", []EndpointUpdate{listed(0, "w1"), listed(1, "w2"), removal}, 200,
			`{"index":3,"snapshot":true,"endpoints":[` + w2JSON + `]}`},
		{"watch", "?follow=1&since=1", []EndpointUpdate{listed(0, "w1"), listed(1, "w2"), removal}, 200,
			`{"index":3,"snapshot":false,"endpoints":[` + w2JSON + "," + w1RemovedJSON + `]}`},
		{"watch without changes", "?follow=1&since=1", []EndpointUpdate{listed(0, "w1")}, 200, `{"index":1,"snapshot":false,"endpoints":[]}`},
		{"watch after compacted changes", "?follow=1&since=0", []EndpointUpdate{listed(0, "w1"), listed(1, "w2"), removal}, 200,
			`{"index":3,"snapshot":true,"endpoints":[` + w2JSON + `]}`},
		{"watch from an unknown index", "?follow=1&since=9", []EndpointUpdate{listed(0, "w1")}, 200, `{"index":1,"snapshot":true,"endpoints":[` + w1JSON + `]}`},
		{"watch without an index", "?follow=1", nil, 400, "since is no number"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, a, _ := startAgent(t)
			for _, u := range c.updates {
				d.Publish(u, true)
			}
			status, body := get(t, a, c.query)
			line, err := body.ReadString('\n')
			if err != nil || line != c.want+"\n" || status != c.status {
				t.Errorf("got %d %q (%v), want %d %q", status, line, err, c.status, c.want)
			}
		})
	}
}

// A watch gets changes as they are applied. While the agent is silent, it applies and writes none.
func TestAgent_WatchFollowsChanges(t *testing.T) {
	d, a, _ := startAgent(t)
	_, lines := get(t, a, "?follow=1&since=0")
	expect := func(want string) {
		t.Helper()
		if line, err := lines.ReadString('\n'); err != nil || line != want+"\n" {
			t.Fatalf("got %q (%v), want %q", line, err, want)
		}
	}
	expect(`{"index":0,"snapshot":false,"endpoints":[]}`)
	d.Publish(listed(0, "w1"), false)
	expect(`{"index":1,"snapshot":false,"endpoints":[` + w1JSON + `]}`)
	a.Silence(true)
	d.Publish(removal, false)
	time.Sleep(20 * time.Millisecond)
	if known := string(a.Known()); known != `{"index":1,"snapshot":true,"endpoints":[`+w1JSON+`]}` {
		t.Errorf("got list %s while silent, want only w1 at index 1", known)
	}
	a.Silence(false)
	expect(`{"index":2,"snapshot":false,"endpoints":[` + w1RemovedJSON + `]}`)
}

// Each list that is read adds deliveries to the ledger, and a watch sets the written time of the delivery of its change.
// Endpoints without a worker are not recorded.
func TestAgent_RecordsDeliveries(t *testing.T) {
	d, a, ledger := startAgent(t)
	d.Publish(listed(0, "w1"), true)
	d.Publish(listed(-1, "ghost"), true)
	_, list := get(t, a, "")
	if _, err := io.ReadAll(list); err != nil {
		t.Fatal(err)
	}
	_, lines := get(t, a, "?follow=1&since=2")
	for range 2 {
		if _, err := lines.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		d.Publish(removal, false)
	}
	written := func() (states []invariant.State) {
		deliveries := ledger.Deliveries()
		ledger.Do(func() {
			for _, d := range deliveries {
				if d.Written > 0 {
					states = append(states, d.State)
				}
			}
		})
		return states
	}
	var got []invariant.State
	for end := time.Now().Add(5 * time.Second); len(got) < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got = written()
	}
	if len(got) < 2 || got[0] != invariant.Up || got[1] != invariant.Removed {
		t.Errorf("got written states %v, want up and removed first", got)
	}
}
