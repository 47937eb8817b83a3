package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// List is a list in discovery's form.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is discovery's agent on a dispatcher's machine. It answers at once with what it has been sent.
type Agent struct {
	Name   string
	record *Record
	addr   string

	mu       sync.Mutex
	index    int
	changed  map[string]int // index of each entry's last change
	entries  map[string]Endpoint
	order    []string
	watchers map[chan struct{}]bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// NewAgent starts an agent that has been sent a list.
func NewAgent(name string, record *Record, list List) *Agent {
	a := &Agent{
		Name: name, record: record, index: list.Index, changed: map[string]int{}, entries: map[string]Endpoint{},
		watchers: map[chan struct{}]bool{}, conns: map[net.Conn]bool{},
	}
	for _, e := range list.Endpoints {
		a.order = append(a.order, e.Name)
		a.entries[e.Name] = e
		a.changed[e.Name] = list.Index
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("agent: %v", err)
	}
	a.listener = listener
	a.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serve)
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if s == http.StateNew {
			a.conns[c] = true
		} else if s == http.StateClosed {
			delete(a.conns, c)
		}
	}}
	go server.Serve(listener)
	return a
}

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.addr }

// StopAccepting closes the listener; open connections stay.
func (a *Agent) StopAccepting() { a.listener.Close() }

// CloseConns closes the open connections.
func (a *Agent) CloseConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

// Push gives the agent changed entries, as of an index.
func (a *Agent) Push(index int, changes ...Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	for _, e := range changes {
		if _, ok := a.entries[e.Name]; !ok {
			a.order = append(a.order, e.Name)
		}
		a.entries[e.Name] = e
		a.changed[e.Name] = index
		a.record.Printf("agent %s is sent index %d: %s is %s since_ms %d", a.Name, index, e.Name, e.Status, e.SinceMs)
	}
	for w := range a.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// list returns the complete list, or what changed after an index.
func (a *Agent) list(after int, whole bool) List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := List{Index: a.index, Snapshot: whole, Endpoints: []Endpoint{}}
	for _, name := range a.order {
		e := a.entries[name]
		if whole && e.Status == "removed" || !whole && a.changed[name] <= after {
			continue
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

func describe(l List) string {
	var text string
	for _, e := range l.Endpoints {
		if e.Status != "up" || !l.Snapshot {
			text += " " + e.Name + "=" + e.Status
		}
	}
	return fmt.Sprintf("index %d snapshot %v entries %d;%s", l.Index, l.Snapshot, len(l.Endpoints), text)
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	flush := func() { http.NewResponseController(w).Flush() }
	send := func(l List) bool {
		raw, _ := json.Marshal(l)
		_, err := w.Write(append(raw, '\n'))
		flush()
		a.record.Printf("agent %s tells %s: %s", a.Name, r.RemoteAddr, describe(l))
		return err == nil
	}
	if r.URL.Query().Get("follow") != "1" {
		send(a.list(0, true))
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	changed := make(chan struct{}, 1)
	a.mu.Lock()
	a.watchers[changed] = true
	whole := err != nil || since > a.index
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watchers, changed)
		a.mu.Unlock()
	}()
	first := a.list(since, whole)
	if !send(first) {
		return
	}
	since = first.Index
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			l := a.list(since, false)
			if l.Index == since {
				continue
			}
			since = l.Index
			if !send(l) {
				return
			}
		case <-ticker.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flush()
		}
	}
}
