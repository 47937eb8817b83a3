package outliers

import (
	"context"
	"testing"

	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
)

// TestBroadcaster_ReportsReachOtherMembers verifies that a report reaches the other members, that an immediate second report of the same
// worker is dropped, and that a malformed report is rejected.
func TestBroadcaster_ReportsReachOtherMembers(t *testing.T) {
	reported := make(chan string, 9)
	a, b := New([]string{"b"}, nil), New([]string{"a"}, func(worker string) { reported <- worker })
	transports, listeners := peertest.NewGroup(t, "a", "b")
	for i, broadcaster := range []*Broadcaster{a, b} {
		broadcaster.Attach(transports[i])
		defer broadcaster.Detach()
		transports[i].Serve(listeners[i])
	}
	for _, worker := range []string{"r", "r", "q"} {
		a.Report(worker)
	}
	if first, second := <-reported, <-reported; first != "r" || second != "q" || len(reported) > 0 {
		t.Errorf("reported workers %s, %s; want r, q once each", first, second)
	}
	for _, body := range []string{"", "{}", `{"worker":""}`} {
		if _, err := b.handleReport(context.Background(), peer.Sender{Name: "a"}, []byte(body)); err == nil {
			t.Errorf("malformed report %q was accepted", body)
		}
	}
	if a.Sent.Load() != 2 || b.Rejected.Load() != 3 {
		t.Errorf("counters of the sender %v, of the receiver %v; want 2 sent, 3 rejected", a.Fields(), b.Fields())
	}
}
