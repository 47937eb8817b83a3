package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"birchfork/internal/testbed/invariant"
)

// keepAliveInterval is the time between the empty lines that a watch gets while nothing changes.
const keepAliveInterval = 2 * time.Second

// listMessage is a line of the discovery protocol: the endpoint list, or the changes after an index.
type listMessage struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Known returns the endpoint list as JSON, for the configuration of a dispatcher.
func (a *Agent) Known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	raw, err := json.Marshal(a.snapshot())
	if err != nil {
		panic(err) // listMessage has no field that cannot be marshalled
	}
	return raw
}

// snapshot returns the endpoint list without removed endpoints. The lock is held.
func (a *Agent) snapshot() listMessage {
	m := listMessage{Index: a.index, Snapshot: true, Endpoints: []Endpoint{}}
	for _, name := range a.names {
		if e := a.entries[name]; e.Status != StatusRemoved {
			m.Endpoints = append(m.Endpoints, e.Endpoint)
		}
	}
	return m
}

// allEntries returns the list's entries, including removed endpoints. The lock is held.
func (a *Agent) allEntries() (entries []entry) {
	for _, name := range a.names {
		entries = append(entries, a.entries[name])
	}
	return entries
}

// since returns the changes after an index, or a snapshot if not all of them are kept any more or the index is ahead of the
// agent's. It also returns the entries whose state the message conveys to a dispatcher. The lock is held.
func (a *Agent) since(index uint64) (m listMessage, delivered []entry) {
	isAhead := index > a.index
	isCompacted := index < a.index && (len(a.changes) == 0 || a.changes[0].index > index+1)
	if isAhead || isCompacted {
		return a.snapshot(), a.allEntries()
	}
	m = listMessage{Index: a.index, Endpoints: []Endpoint{}}
	for _, e := range a.changes {
		if e.index > index {
			m.Endpoints = append(m.Endpoints, e.Endpoint)
			delivered = append(delivered, e)
		}
	}
	return m, delivered
}

// recordDelivery records that entries have been written to the dispatcher. The first message of each response is recorded as
// new deliveries: the dispatcher may have restarted since the last response, and its new process knows only what was written
// to it.
func (a *Agent) recordDelivery(entries []entry, isFirst bool) {
	now := a.ledger.Now()
	for _, e := range entries {
		d := e.delivery
		if d == nil {
			continue
		}
		if isFirst {
			a.ledger.Delivery(&invariant.Delivery{
				Dispatcher: d.Dispatcher, Worker: d.Worker, Incarnation: d.Incarnation, State: d.State, AtAgent: now, Written: now,
			})
			continue
		}
		a.ledger.Do(func() {
			if d.Written == 0 {
				d.Written = now
			}
		})
	}
}

// serveHosts handles requests for the list and for a watch of it.
func (a *Agent) serveHosts(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") != "1" {
		a.serveList(w, r)
		return
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no number", http.StatusBadRequest)
		return
	}
	a.serveWatch(w, r, index)
}

// serveList writes the list. While the agent is silent, it waits.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	for a.silent && !a.closed {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	m, entries := a.snapshot(), a.allEntries()
	a.mu.Unlock()
	if json.NewEncoder(w).Encode(m) == nil {
		a.recordDelivery(entries, true)
	}
}

// serveWatch writes the changes after an index as they are applied, and empty lines while there are none.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request, index uint64) {
	watch := &watch{agent: a, w: w, control: http.NewResponseController(w), index: index, isFirst: true}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		changed, ok := watch.writeChanges()
		if !ok {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if !a.isSilent() && !watch.writeLine(nil) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// watch is one dispatcher's watch of the list.
type watch struct {
	agent   *Agent
	w       http.ResponseWriter
	control *http.ResponseController
	index   uint64 // of the newest change written
	isFirst bool   // writeChanges has not been called yet
}

// writeChanges writes the changes since the last call; the first call writes a line even if there are none. It returns the
// channel that is closed at the next change, and false if the watch or the agent has ended.
func (watch *watch) writeChanges() (changed <-chan struct{}, ok bool) {
	a, isFirst := watch.agent, watch.isFirst
	watch.isFirst = false
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return nil, false
	}
	changed = a.changed
	if a.silent || !isFirst && watch.index == a.index {
		a.mu.Unlock()
		return changed, true
	}
	m, delivered := a.since(watch.index)
	watch.index = a.index
	a.mu.Unlock()
	line, err := json.Marshal(m)
	if err != nil {
		panic(err) // listMessage has no field that cannot be marshalled
	}
	if !watch.writeLine(line) {
		return nil, false
	}
	a.recordDelivery(delivered, isFirst)
	return changed, true
}

// writeLine writes a line and flushes it. It returns false if the watch has ended.
func (watch *watch) writeLine(line []byte) bool {
	if _, err := watch.w.Write(append(line, '\n')); err != nil {
		return false
	}
	return watch.control.Flush() == nil
}
