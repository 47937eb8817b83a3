package fakes

import (
	"math/rand/v2"
	"testing"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Updates that are published in quick succession arrive in order, even if their timers fire out of order: a worker that is
// removed and listed again at once ends up listed.
func TestAgent_KeepsUpdateOrder(t *testing.T) {
	d, err := NewDiscovery(invariant.NewLedger(), 1, 10, time.Millisecond, 0, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	const rounds = 2000
	a := d.Agents[0]
	for range rounds {
		for _, status := range []Status{StatusRemoved, StatusUp} {
			d.Publish(EndpointUpdate{Worker: noWorker, Endpoint: func(int) Endpoint { return Endpoint{Name: "w", Status: status} }}, false)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		index, changes := a.index, a.changes
		a.mu.Unlock()
		if index == 2*rounds {
			for i, c := range changes {
				if want := []Status{StatusRemoved, StatusUp}[i%2]; c.Status != want {
					t.Fatalf("change %d: got status %s, want %s", i, c.Status, want)
				}
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out after 10s: %d of %d changes have arrived", index, 2*rounds)
		}
	}
}
