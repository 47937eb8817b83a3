package endpoints

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var genStatuses = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Status {
	return Status{
		Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), StartedAt: rapid.Int64Range(0, 3).Draw(t, "start"),
		State: State(rapid.IntRange(0, 2).Draw(t, "state")),
	}
}), 0, 12)

// Whatever order facts come in, in whatever pieces and how often, the same workers are left out, and nothing is news twice.
func TestTable_MergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, all := []Status{{Name: "a"}, {Name: "b", StartedAt: 2}}, genStatuses.Draw(t, "facts")
		one, two := NewTable(), NewTable()
		one.UpdateLocal(local, false)
		two.UpdateLocal(local, false)
		one.Merge(0, all)
		shuffled := slices.Concat(rapid.Permutation(all).Draw(t, "order"), all)
		for len(shuffled) > 0 {
			n := rapid.IntRange(1, len(shuffled)).Draw(t, "piece")
			two.Merge(0, shuffled[:n])
			shuffled = shuffled[n:]
		}
		if a, b := one.Excluded(0, -1), two.Excluded(0, -1); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
		if updates, _ := two.Merge(0, all); len(updates) > 0 {
			t.Fatalf("news again: %v", updates)
		}
	})
}

// By whom a worker is left out, and until when.
func TestTable_Excluded(t *testing.T) {
	const beforeTrust = localTrustDelay - 1
	for what, c := range map[string]struct {
		local, reported  Status
		now, watchUptime time.Duration
		excluded         bool
	}{
		"it drains":                        {Status{StartedAt: 5}, Status{StartedAt: 5, State: Draining}, 0, 0, true},
		"it has gone, our watch is silent": {Status{StartedAt: 5}, Status{StartedAt: 5, State: Gone}, time.Hour, -1, true},
		"it was started anew":              {Status{StartedAt: 5}, Status{StartedAt: 6}, beforeTrust, time.Hour, true},
		"an older start drains":            {Status{StartedAt: 5}, Status{StartedAt: 4, State: Draining}, 0, -1, false},
		"our list has it":                  {Status{State: Draining}, Status{State: Draining}, 0, -1, false},
		"our list holds against it":        {Status{}, Status{State: Draining}, localTrustDelay, time.Hour, false},
		"our watch has not stood for long": {Status{}, Status{State: Draining}, time.Hour, beforeTrust, true},
	} {
		r := NewTable()
		c.local.Name, c.reported.Name = "w", "w"
		r.UpdateLocal([]Status{c.local}, true)
		r.Merge(0, []Status{c.reported})
		if excluded := len(r.Excluded(c.now, c.watchUptime)) > 0; excluded != c.excluded {
			t.Errorf("%s: left out %t", what, excluded)
		}
	}
}

// What others are to hear of our own list: what is new since a fresh one, unless they told it. A fact that our list has held against
// is no news when it comes again, until it is forgotten.
func TestTable_Updates(t *testing.T) {
	r := NewTable()
	up, draining := []Status{{Name: "v"}, {Name: "w"}}, []Status{{Name: "v", State: Draining}, {Name: "w", State: Draining}}
	if updates := r.UpdateLocal(up, false); len(updates) > 0 {
		t.Errorf("an old list: %v", updates)
	}
	if updates := r.UpdateLocal(up, true); len(updates) > 0 {
		t.Errorf("the first fresh list: %v", updates)
	}
	if updates, rejected := r.Merge(0, append(draining[:1:1], Status{}, Status{Name: "x", StartedAt: -1}, Status{Name: "x", State: 3})); len(updates) != 1 || rejected != 3 {
		t.Errorf("%v, %d refused", updates, rejected)
	}
	r.Excluded(localTrustDelay, time.Hour)
	if updates, _ := r.Merge(localTrustDelay, draining[:1]); len(updates) > 0 || len(r.Excluded(localTrustDelay, time.Hour)) > 0 {
		t.Errorf("it came again: %v", updates)
	}
	if updates := r.UpdateLocal(draining, true); !slices.Equal(updates, draining[1:]) {
		t.Errorf("%v, one of which others told", updates)
	}
	r.UpdateLocal(up, true)
	r.Excluded(2*remoteLifetime, time.Hour)
	if updates, _ := r.Merge(2*remoteLifetime, draining[:1]); len(updates) != 1 {
		t.Error("it is known for ever")
	}
	for i := range 2 * maxRemoteStatuses {
		r.Merge(0, []Status{{Name: string(rune(i + 1000)), StartedAt: 1}})
	}
	if len(r.remote) > maxRemoteStatuses {
		t.Errorf("%d are kept", len(r.remote))
	}
}
