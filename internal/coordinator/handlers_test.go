package coordinator

import (
	"net/http"
	"strings"
	"testing"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// TestPosition_RejectsStaleDisk verifies that a member is rejected if its disk is behind what its messages have promised, so that it does
// not resume with that disk, and is accepted if the disk is complete.
func TestPosition_RejectsStaleDisk(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	startGroupOfOne(t, g)
	c := g.coordinators[0]
	c.mu.Lock()
	c.promisedPositions[memberHeader["X-Birchfork-Life"]] = consensus.Position{Term: 5, LastIndex: 8}
	c.mu.Unlock()
	for _, test := range []struct {
		name, position string
		stale          bool
	}{
		{"all of it", `{"term":5,"last":8,"last_term":5}`, false},
		{"an earlier term", `{"term":4,"last":8,"last_term":4}`, true},
		{"an entry less", `{"term":5,"last":7,"last_term":5}`, true},
	} {
		status, answer := post(t, g.addresses[0], "/group/recall", test.position, memberHeader)
		if (status != http.StatusOK) != test.stale || strings.Contains(answer, errStaleDisk.Reason) != test.stale {
			t.Errorf("%s: got %d %s, want rejected as stale: %t", test.name, status, answer, test.stale)
		}
	}
}

// TestJoin_RejectsPastIncarnation verifies that a replaced incarnation of a member cannot join again.
func TestJoin_RejectsPastIncarnation(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	startGroupOfOne(t, g)
	c := g.coordinators[0]
	c.mu.Lock()
	c.state.Members["d1"] = &maintenance.Member{
		Name: "d1", Incarnation: "l1", RaftID: 9, PastIncarnations: []maintenance.PastIncarnation{{Incarnation: "l0", RaftID: 8}},
	}
	c.mu.Unlock()
	status, answer := post(t, g.addresses[0], "/group/join", `{"name":"d1","life":"l0","id":8}`, memberHeader)
	if status == http.StatusOK || !strings.Contains(answer, "past incarnation of d1") {
		t.Errorf("join of the past incarnation: got %d %s, want a rejection as a past incarnation", status, answer)
	}
	if status, answer := post(t, g.addresses[0], "/group/join", `{"name":"d1","life":"l1","id":9}`, memberHeader); status != http.StatusOK {
		t.Errorf("join of the current incarnation: got %d %s, want 200", status, answer)
	}
}
