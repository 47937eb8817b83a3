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

// TestTable_MergeIsOrderIndependent verifies that the excluded workers do not depend on the order, batches and repetitions in which
// statuses arrive, and that no status is an update twice.
func TestTable_MergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, all := []Status{{Name: "a"}, {Name: "b", StartedAt: 2}}, genStatuses.Draw(t, "statuses")
		one, two := NewTable(), NewTable()
		one.UpdateLocal(local, false)
		two.UpdateLocal(local, false)
		one.Merge(0, all)
		shuffled := slices.Concat(rapid.Permutation(all).Draw(t, "order"), all)
		for len(shuffled) > 0 {
			n := rapid.IntRange(1, len(shuffled)).Draw(t, "batch")
			two.Merge(0, shuffled[:n])
			shuffled = shuffled[n:]
		}
		if a, b := one.Excluded(0, -1), two.Excluded(0, -1); !slices.Equal(a, b) {
			t.Fatalf("excluded %v and %v, depending on the order", a, b)
		}
		if updates, _ := two.Merge(0, all); len(updates) > 0 {
			t.Fatalf("known statuses are updates again: %v", updates)
		}
	})
}

// TestTable_Excluded verifies that a worker is excluded by statuses that supersede the local one, until the local list overrules them.
func TestTable_Excluded(t *testing.T) {
	const beforeTrust = localTrustDelay - 1
	for what, c := range map[string]struct {
		local, reported  Status
		now, watchUptime time.Duration
		excluded         bool
	}{
		"draining worker":                          {Status{StartedAt: 5}, Status{StartedAt: 5, State: Draining}, 0, 0, true},
		"gone, the local watch does not report":    {Status{StartedAt: 5}, Status{StartedAt: 5, State: Gone}, time.Hour, -1, true},
		"restarted worker":                         {Status{StartedAt: 5}, Status{StartedAt: 6}, beforeTrust, time.Hour, true},
		"draining with an earlier start":           {Status{StartedAt: 5}, Status{StartedAt: 4, State: Draining}, 0, -1, false},
		"the local list reports the same":          {Status{State: Draining}, Status{State: Draining}, 0, -1, false},
		"overruled by the local list":              {Status{}, Status{State: Draining}, localTrustDelay, time.Hour, false},
		"the local watch has reported too briefly": {Status{}, Status{State: Draining}, time.Hour, beforeTrust, true},
	} {
		table := NewTable()
		c.local.Name, c.reported.Name = "w", "w"
		table.UpdateLocal([]Status{c.local}, true)
		table.Merge(0, []Status{c.reported})
		if excluded := len(table.Excluded(c.now, c.watchUptime)) > 0; excluded != c.excluded {
			t.Errorf("%s: excluded %t, want %t", what, excluded, c.excluded)
		}
	}
}

// TestTable_Updates verifies that updates are the statuses that are new since a fresh list and that no other member has reported. A status
// that the local list has overruled is not an update when it arrives again, until it is deleted after remoteStatusTTL.
func TestTable_Updates(t *testing.T) {
	table := NewTable()
	up, draining := []Status{{Name: "v"}, {Name: "w"}}, []Status{{Name: "v", State: Draining}, {Name: "w", State: Draining}}
	if updates := table.UpdateLocal(up, false); len(updates) > 0 {
		t.Errorf("updates from a list that is not fresh: %v, want none", updates)
	}
	if updates := table.UpdateLocal(up, true); len(updates) > 0 {
		t.Errorf("updates from the first fresh list: %v, want none", updates)
	}
	if updates, rejected := table.Merge(0, append(draining[:1:1], Status{}, Status{Name: "x", StartedAt: -1}, Status{Name: "x", State: 3})); len(updates) != 1 || rejected != 3 {
		t.Errorf("updates %v, %d rejected; want one update and 3 rejected", updates, rejected)
	}
	table.Excluded(localTrustDelay, time.Hour)
	if updates, _ := table.Merge(localTrustDelay, draining[:1]); len(updates) > 0 || len(table.Excluded(localTrustDelay, time.Hour)) > 0 {
		t.Errorf("an overruled status is an update or excludes its worker again: updates %v", updates)
	}
	if updates := table.UpdateLocal(draining, true); !slices.Equal(updates, draining[1:]) {
		t.Errorf("updates %v, want only the one that no other member has reported", updates)
	}
	table.UpdateLocal(up, true)
	table.Excluded(2*remoteStatusTTL, time.Hour)
	if updates, _ := table.Merge(2*remoteStatusTTL, draining[:1]); len(updates) != 1 {
		t.Error("an overruled status is not deleted after remoteStatusTTL")
	}
	for i := range 2 * maxRemoteStatuses {
		table.Merge(0, []Status{{Name: string(rune(i + 1000)), StartedAt: 1}})
	}
	if len(table.remote) > maxRemoteStatuses {
		t.Errorf("%d remote statuses are stored, want at most maxRemoteStatuses", len(table.remote))
	}
}
