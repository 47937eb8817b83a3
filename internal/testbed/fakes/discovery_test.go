package fakes

import (
	"math/rand/v2"
	"testing"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Updates that are published a moment apart arrive in their order: a worker that is removed and listed again at once is listed.
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
					t.Fatalf("change %d is %s", i, c.Status)
				}
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d changes came", index, 2*rounds)
		}
	}
}
