package fakes

import (
	"math/rand/v2"
	"testing"
	"time"

	"birchfork/internal/testbed/invariant"
)

// News that comes a moment after other news arrives behind it: a worker that goes and comes back at once is there.
func TestAgent_KeepsUpdateOrder(t *testing.T) {
	d, err := NewDiscovery(invariant.NewLedger(), 1, 10, time.Millisecond, 0, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	const rounds = 2000
	a := d.Agents[0]
	for range rounds {
		for _, status := range []string{StatusRemoved, StatusUp} {
			d.Publish(EndpointUpdate{Worker: -1, Endpoint: func(int) Endpoint { return Endpoint{Name: "w", Status: status} }}, false)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		come, changes := a.index, a.changes
		a.mu.Unlock()
		if come == 2*rounds {
			for i, c := range changes {
				if want := []string{StatusRemoved, StatusUp}[i%2]; c.Status != want {
					t.Fatalf("change %d is %s", i, c.Status)
				}
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d changes came", come, 2*rounds)
		}
	}
}
