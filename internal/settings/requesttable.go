package settings

import (
	"fmt"

	"birchfork/dispatch"
)

// requestTable assigns ids to open requests. An id is released once its request has had its final answer and none of
// its attempts is in flight. Until then the decision module may still refer to it.
type requestTable struct {
	requestIDs     map[string]dispatch.RequestID
	requestEntries []requestEntry // by id
	freeRequestIDs []dispatch.RequestID
}

// requestEntry is the state of one id; the zero requestEntry is a free id.
type requestEntry struct {
	name     string
	inFlight int // number of attempts in flight
	answered bool
}

// OpenRequest assigns an id to a request. It returns an error if a request with this name is already open.
func (t *requestTable) OpenRequest(name []byte) (dispatch.RequestID, error) {
	if _, ok := t.requestIDs[string(name)]; ok {
		return 0, fmt.Errorf("request %q is already open", name)
	}
	id := t.takeID()
	entry := requestEntry{name: string(name)}
	t.requestEntries[id] = entry
	t.requestIDs[entry.name] = id
	return id, nil
}

// takeID returns the most recently released id, or a new one.
func (t *requestTable) takeID() dispatch.RequestID {
	last := len(t.freeRequestIDs) - 1
	if last < 0 {
		t.requestEntries = append(t.requestEntries, requestEntry{})
		return dispatch.RequestID(len(t.requestEntries) - 1)
	}
	id := t.freeRequestIDs[last]
	t.freeRequestIDs = t.freeRequestIDs[:last]
	return id
}

// FindRequest returns the id of a request, and whether it is open.
func (t *requestTable) FindRequest(name []byte) (dispatch.RequestID, bool) {
	id, ok := t.requestIDs[string(name)]
	return id, ok
}

// RequestName returns the name of the request with the given id. It is empty for a free id.
func (t *requestTable) RequestName(id dispatch.RequestID) string { return t.requestEntries[id].name }

// RequestAnswered records that a request has had its final answer.
func (t *requestTable) RequestAnswered(id dispatch.RequestID) {
	t.requestEntries[id].answered = true
	t.releaseIfDone(id)
}

// AttemptSent records that an attempt was sent.
func (t *requestTable) AttemptSent(id dispatch.RequestID) { t.requestEntries[id].inFlight++ }

// AttemptEnded records that an attempt has ended, and whether its request has had its final answer.
func (t *requestTable) AttemptEnded(id dispatch.RequestID, answered bool) {
	entry := &t.requestEntries[id]
	if entry.inFlight > 0 {
		entry.inFlight--
	}
	entry.answered = entry.answered || answered
	t.releaseIfDone(id)
}

func (t *requestTable) releaseIfDone(id dispatch.RequestID) {
	entry := &t.requestEntries[id]
	isOpen := entry.name != ""
	if isOpen && entry.answered && entry.inFlight == 0 {
		delete(t.requestIDs, entry.name)
		*entry = requestEntry{}
		t.freeRequestIDs = append(t.freeRequestIDs, id)
	}
}
