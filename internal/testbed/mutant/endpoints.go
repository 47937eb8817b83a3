package mutant

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Statuses of endpoints in the discovery protocol.
const (
	statusUp       = "up"
	statusDraining = "draining"
)

const (
	watchRetryDelay = 50 * time.Millisecond // between calls of discovery
	warmUpTime      = 30 * time.Second      // how long a started worker is avoided
)

// endpointList is an endpoint list, or a set of changes to it, in the discovery protocol.
type endpointList struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Status  string `json:"status"`
	SinceMs int64  `json:"since_ms"` // start of warming up in Unix milliseconds; 0: warmed up
}

// endpoints is the dispatcher's view of the endpoint list. It is safe for concurrent use.
type endpoints struct {
	ignoresDrains bool // fault IgnoresDraining
	prefersNewest bool // fault OverloadsWarmingUp

	mu     sync.Mutex
	byName map[string]endpoint
	names  []string // in the order in which they were first listed
}

func newEndpoints(fault string) *endpoints {
	return &endpoints{ignoresDrains: fault == IgnoresDraining, prefersNewest: fault == OverloadsWarmingUp, byName: map[string]endpoint{}}
}

// update applies an endpoint list or changes to it.
func (e *endpoints) update(l endpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, changed := range l.Endpoints {
		if _, ok := e.byName[changed.Name]; !ok {
			e.names = append(e.names, changed.Name)
		}
		if e.ignoresDrains && changed.Status == statusDraining {
			continue
		}
		e.byName[changed.Name] = changed
	}
}

// follow watches discovery at a fixed address forever.
func (e *endpoints) follow(address string) {
	for ; ; time.Sleep(watchRetryDelay) {
		index, err := e.fetch(address)
		if err != nil {
			continue
		}
		e.watch(address, index)
	}
}

// fetch reads the endpoint list once and returns its index.
func (e *endpoints) fetch(address string) (index uint64, err error) {
	res, err := http.Get("http://" + address + "/discovery/hosts")
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var l endpointList
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return 0, err
	}
	e.update(l)
	return l.Index, nil
}

// watch applies the changes after an index until the watch ends.
func (e *endpoints) watch(address string, index uint64) {
	res, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?follow=1&since=%d", address, index))
	if err != nil {
		return
	}
	defer res.Body.Close()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		var l endpointList
		if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &l) == nil {
			e.update(l)
		}
	}
}

// choose returns the address of a random worker that is up, preferably of one that has warmed up. ok is false if none is up.
func (e *endpoints) choose() (address string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var up []endpoint
	for _, name := range e.names {
		if e.byName[name].Status == statusUp {
			up = append(up, e.byName[name])
		}
	}
	if len(up) == 0 {
		return "", false
	}
	if e.prefersNewest {
		return slices.MaxFunc(up, func(a, b endpoint) int { return int(a.SinceMs - b.SinceMs) }).Address, true
	}
	warmedUp := slices.DeleteFunc(slices.Clone(up), func(e endpoint) bool {
		return e.SinceMs > 0 && time.Since(time.UnixMilli(e.SinceMs)) < warmUpTime
	})
	if len(warmedUp) > 0 {
		up = warmedUp
	}
	return up[rand.IntN(len(up))].Address, true
}
