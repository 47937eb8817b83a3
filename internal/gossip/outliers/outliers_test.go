package outliers

import (
	"context"
	"testing"

	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
)

// A report reaches the other members, an immediate second one of the same worker is dropped, and a malformed one is rejected.
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
		t.Errorf("reported: %s, %s", first, second)
	}
	for _, body := range []string{"", "{}", `{"worker":""}`} {
		if _, err := b.handleReport(context.Background(), peer.Sender{Name: "a"}, []byte(body)); err == nil {
			t.Errorf("%q was accepted", body)
		}
	}
	if a.Sent.Load() != 2 || b.Rejected.Load() != 3 {
		t.Errorf("%v, %v", a.Fields(), b.Fields())
	}
}
