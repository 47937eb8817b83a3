package simwire

import (
	"fmt"
	"hash/fnv"

	"birchfork/rules"
)

// Names turns the names that one instance meets into dense ids, and back.
type Names struct {
	classes, tenants, zones, kinds map[string]int

	workers     map[string]rules.WorkerID
	workerNames []string
	workerTags  []uint64 // hashes of the names: the same at every instance

	requests map[string]rules.RequestID
	slots    []slot
	free     []rules.RequestID
}

// slot is the state of one request id. An id is free for the next request once its request has had its final answer
// and none of its attempts is out.
type slot struct {
	name     string
	attempts int
	out      int
	final    bool
}

func newNames() *Names {
	return &Names{
		classes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{}, kinds: map[string]int{},
		workers: map[string]rules.WorkerID{}, requests: map[string]rules.RequestID{},
	}
}

func lookUp(m map[string]int, what string, v []byte) (int, error) {
	if id, ok := m[string(v)]; ok {
		return id, nil
	}
	return 0, fmt.Errorf("%s: %q is not in the settings", what, v)
}

func (n *Names) worker(v string) rules.WorkerID {
	id, ok := n.workers[v]
	if !ok {
		id = rules.WorkerID(len(n.workerNames))
		n.workers[v] = id
		n.workerNames = append(n.workerNames, v)
		h := fnv.New32a()
		h.Write([]byte(v))
		n.workerTags = append(n.workerTags, uint64(h.Sum32()))
	}
	return id
}

// knownWorker also finds workers that the instance was never told of: they get an id, which means nothing to it.
func (n *Names) knownWorker(v []byte) rules.WorkerID {
	if id, ok := n.workers[string(v)]; ok {
		return id
	}
	return n.worker(string(v))
}

func (n *Names) openRequest(v []byte) (rules.RequestID, error) {
	if _, ok := n.requests[string(v)]; ok {
		return 0, fmt.Errorf("request %q is open already", v)
	}
	s := slot{name: string(v)}
	var id rules.RequestID
	if k := len(n.free); k > 0 {
		id = n.free[k-1]
		n.free = n.free[:k-1]
		n.slots[id] = s
	} else {
		id = rules.RequestID(len(n.slots))
		n.slots = append(n.slots, s)
	}
	n.requests[s.name] = id
	return id, nil
}

// noteFinal, noteSend and noteEnd keep a slot's state; noteEnd and noteFinal free it when nothing can name it again.
func (n *Names) noteFinal(id rules.RequestID) {
	n.slots[id].final = true
	n.release(id)
}

func (n *Names) noteSend(id rules.RequestID) {
	n.slots[id].attempts++
	n.slots[id].out++
}

func (n *Names) noteEnd(id rules.RequestID, final bool) {
	s := &n.slots[id]
	if s.out > 0 {
		s.out--
	}
	s.final = s.final || final
	n.release(id)
}

func (n *Names) release(id rules.RequestID) {
	s := &n.slots[id]
	if s.final && s.out == 0 && s.name != "" {
		delete(n.requests, s.name)
		*s = slot{}
		n.free = append(n.free, id)
	}
}
