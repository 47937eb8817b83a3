package engine

import (
	"fmt"
	"testing"
)

// The id of a recent request is rejected. A second request with the id could have a second effect, and other clients may know the id.
func TestOpen_RejectsRecentID(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	engine.maxOpen = 0
	for i := range 3*recentIDsPerGeneration + 1 {
		mustOpen(t, engine, fmt.Sprint(i)).Close()
	}
	for _, i := range []int{3 * recentIDsPerGeneration, 2 * recentIDsPerGeneration} {
		if _, err := engine.Open(specOf(fmt.Sprint(i))); !isExactly(err, ErrDuplicateID) {
			t.Errorf("id of the closed request %d: error %v, want ErrDuplicateID", i, err)
		}
	}
	if n := len(engine.recentIDs.current) + len(engine.recentIDs.previous); n > 2*recentIDsPerGeneration {
		t.Errorf("%d ids are stored, want at most two generations", n)
	}
}
