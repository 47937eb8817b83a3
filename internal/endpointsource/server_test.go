package endpointsource

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/discovery"
	"birchfork/internal/engine"
)

// A dispatcher's decoder accepts the server's responses, both the complete list and a watch. Of many changes of one worker the watch sends
// only the last.
func TestServer_ServesDiscoveryProtocol(t *testing.T) {
	server := NewServer(Config{SourceCount: 1})
	defer server.Close()
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	get := func(target string) *http.Response {
		t.Helper()
		res, err := http.Get(httpServer.URL + target)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	res := get("/discovery/hosts")
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d without a list, want 503: dispatchers would apply an empty list", res.StatusCode)
	}
	server.Update(0, Update{Snapshot: true, Endpoints: []engine.Endpoint{testEndpoint("a", dispatch.Ready, 1), testEndpoint("b", dispatch.Draining, 2)}})
	res = get("/discovery/hosts")
	var raw json.RawMessage
	if err := json.NewDecoder(res.Body).Decode(&raw); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	l, bad, err := discovery.DecodeList(raw)
	if err != nil || bad != 0 || !l.Snapshot || len(l.Endpoints) != 2 {
		t.Fatalf("%+v, %d bad, %v", l, bad, err)
	}
	states := [...]dispatch.WorkerState{dispatch.Ready, dispatch.Draining}
	for i := range 1000 {
		server.Update(0, Update{Endpoints: []engine.Endpoint{testEndpoint("a", states[i%2], int64(i))}})
	}
	server.Update(0, Update{Endpoints: []engine.Endpoint{testEndpoint("b", dispatch.Gone, 0)}})
	res = get(fmt.Sprintf("/discovery/hosts?follow=1&since=%d", l.Version))
	defer res.Body.Close()
	line, err := bufio.NewReader(res.Body).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	l, bad, err = discovery.DecodeList(line)
	if err != nil || bad != 0 || l.Snapshot || len(l.Endpoints) != 2 {
		t.Fatalf("the watch's first line: %+v, %d bad, %v", l, bad, err)
	}
	first, second := l.Endpoints[0], l.Endpoints[1]
	if first.StartedAtMillis != 999 || first.State != dispatch.Draining || second.State != dispatch.Gone {
		t.Errorf("the watch's first line: %+v", l)
	}
	invalid := get("/discovery/hosts?follow=1&since=x")
	invalid.Body.Close()
	if invalid.StatusCode != http.StatusBadRequest {
		t.Errorf("watch with since=x: status %d, want 400", invalid.StatusCode)
	}
	if s := server.Status(); s.Workers != 1 || s.Source != 0 {
		t.Errorf("status %+v", s)
	}
}

// The server's timer calls Tick when the view's failover is due. The test runs in virtual time.
func TestServer_FailsOverByTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Config{SourceCount: 2, FailoverDelay: 5 * time.Second, FailbackDelay: 3 * time.Second, EmptyListDelay: 10 * time.Second})
		defer server.Close()
		server.Update(0, Update{Snapshot: true, Endpoints: []engine.Endpoint{testEndpoint("a", dispatch.Ready, 1)}})
		server.Update(1, Update{Snapshot: true, Endpoints: []engine.Endpoint{testEndpoint("b", dispatch.Ready, 1)}})
		server.MarkLost(0)
		time.Sleep(4 * time.Second)
		if s := server.Status(); s.Source != 0 {
			t.Fatalf("failed over too early: %+v", s)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if s := server.Status(); s.Source != 1 || s.Workers != 1 {
			t.Errorf("no failover by the timer: %+v", s)
		}
	})
}
