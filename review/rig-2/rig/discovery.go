package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a runner on discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

type message struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery is a stand-in for discovery, or for the agent that lists are pushed to.
type Discovery struct {
	record   *Record
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	index   uint64
	entries map[string]Entry
	changed map[string]uint64 // the index at which an entry changed
	wake    chan struct{}
	refuse  bool
	silence chan struct{} // closed at its end; nil: there is none
	drop    chan struct{} // closed to end the open watches
}

// NewDiscovery starts a discovery whose list begins at an index.
func NewDiscovery(record *Record, index uint64, entries []Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		record: record, listener: listener, index: index, entries: map[string]Entry{}, changed: map[string]uint64{},
		wake: make(chan struct{}), drop: make(chan struct{}),
	}
	for _, entry := range entries {
		d.entries[entry.Name] = entry
		d.changed[entry.Name] = index
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

// Address is where discovery listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close ends discovery.
func (d *Discovery) Close() { d.server.Close() }

// Set changes entries in one step.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, entry := range entries {
		d.entries[entry.Name] = entry
		d.changed[entry.Name] = d.index
		d.record.Log("discovery: index %d: %s %s since_ms=%d", d.index, entry.Name, entry.Status, entry.SinceMs)
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// Refuse sets whether new calls are turned away.
func (d *Discovery) Refuse(refuse bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = refuse
	d.record.Say("discovery: turns calls away: %t", refuse)
}

// Silence makes calls wait without an answer until its next call with false, and the open watches say nothing.
func (d *Discovery) Silence(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Say("discovery: is down, and its agent silent: %t", silent)
	if silent {
		d.silence = make(chan struct{})
		return
	}
	close(d.silence)
	d.silence = nil
}

// awaitSound returns when discovery is not silent. It reports false if the caller has gone.
func (d *Discovery) awaitSound(caller <-chan struct{}) bool {
	for {
		d.mu.Lock()
		silence := d.silence
		d.mu.Unlock()
		if silence == nil {
			return true
		}
		select {
		case <-silence:
		case <-caller:
			return false
		}
	}
}

// DropWatches ends the open watches.
func (d *Discovery) DropWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.drop)
	d.drop = make(chan struct{})
	d.record.Say("discovery: all open watches end")
}

// List returns the list as a configuration's known list.
func (d *Discovery) List() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) whole() message {
	m := message{Index: d.index, Snapshot: true, Endpoints: []Entry{}}
	for _, entry := range d.entries {
		if entry.Status != "removed" {
			m.Endpoints = append(m.Endpoints, entry)
		}
	}
	return m
}

func (d *Discovery) since(index uint64) message {
	if index > d.index {
		return d.whole()
	}
	m := message{Index: d.index, Endpoints: []Entry{}}
	for name, entry := range d.entries {
		if d.changed[name] > index {
			m.Endpoints = append(m.Endpoints, entry)
		}
	}
	return m
}

// ServeHTTP answers one call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.awaitSound(r.Context().Done()) {
		d.record.Log("discovery: call %s got no answer", r.URL)
		return
	}
	d.mu.Lock()
	refuse, drop := d.refuse, d.drop
	d.mu.Unlock()
	if refuse {
		d.record.Say("discovery: call %s turned away with 503", r.URL)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	d.record.Say("discovery: call %s answered", r.URL)
	if r.URL.Query().Get("follow") != "1" {
		d.mu.Lock()
		m := d.whole()
		d.mu.Unlock()
		json.NewEncoder(w).Encode(m)
		return
	}
	index, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	send := func(v any) bool {
		if !d.awaitSound(r.Context().Done()) {
			return false
		}
		line := []byte("\n")
		if v != nil {
			line, _ = json.Marshal(v)
			line = append(line, '\n')
		}
		if _, err := w.Write(line); err != nil {
			return false
		}
		return http.NewResponseController(w).Flush() == nil
	}
	for first := true; ; first = false {
		d.mu.Lock()
		m, wake := d.since(index), d.wake
		d.mu.Unlock()
		if first || len(m.Endpoints) > 0 {
			if !send(m) {
				return
			}
			index = m.Index
			d.record.Log("discovery: watch told index %d, %d entries", m.Index, len(m.Endpoints))
		}
		for waiting := true; waiting; {
			select {
			case <-wake:
				waiting = false
			case <-beat.C:
				if !send(nil) {
					return
				}
			case <-drop:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
	}
}
