package settings

import (
	"reflect"
	"testing"

	"birchfork/dispatch"
)

// A request's id is reused only after its final answer and the end of its last attempt, when nothing can refer to it any more.
func TestNameTable_ReusesRequestIDAfterLastAttempt(t *testing.T) {
	n := NewNameTable()
	a, _ := n.OpenRequest([]byte("a"))
	n.AttemptSent(a)
	n.RequestAnswered(a)
	if b, _ := n.OpenRequest([]byte("b")); b == a {
		t.Fatal("the id was reused with an attempt in flight")
	}
	n.AttemptEnded(a, true)
	if c, _ := n.OpenRequest([]byte("c")); c != a {
		t.Fatalf("id %d, want %d again", c, a)
	}
	if _, err := n.OpenRequest([]byte("c")); err == nil {
		t.Fatal("a request was opened twice")
	}
}

// All dispatchers have the same tag for a worker, regardless of the order in which they learn the names.
func TestNameTable_TagsDoNotDependOnOrder(t *testing.T) {
	a, b := NewNameTable(), NewNameTable()
	b.InternWorker("10.0.0.9:1")
	x, y := a.InternWorker("10.0.0.1:7"), b.InternWorker("10.0.0.1:7")
	if x == y || a.workerTags[x] != b.workerTags[y] || b.workerTags[0] == b.workerTags[y] {
		t.Fatalf("ids %d and %d, tags %v and %v", x, y, a.workerTags, b.workerTags)
	}
}

// Adopt keeps the ids of known zones and kinds, although the new settings assign other ids.
func TestNameTable_AdoptKeepsZoneAndKindIDs(t *testing.T) {
	decode := func(js string) (dispatch.Settings, *NameTable) {
		t.Helper()
		n := NewNameTable()
		s, _, err := DecodeJSON([]byte(js), n)
		if err != nil {
			t.Fatal(err)
		}
		return s, n
	}
	_, n := decode(`{"classes":[{"name":"a"},{"name":"b"}],"customers":[{"name":"x"}],"zones":["z1","z2"],"machine_types":["m1","m2"]}`)
	worker := n.InternWorker("w")
	s, fresh := decode(`{"classes":[{"name":"c"},{"name":"a"}],"customers":[{"name":"y"},{"name":"x"}],"zones":["z3","z1"],"zone":"z3",
		"machine_types":["m3","m2"],"extra":{"class_kind":[0,1]}}`)
	classes, tenants := n.Adopt(fresh, &s)
	if !reflect.DeepEqual(classes, []int{-1, 0}) || !reflect.DeepEqual(tenants, []int{-1, 0}) {
		t.Errorf("previous ids: %v, %v", classes, tenants)
	}
	if s.ZoneCount != 3 || s.KindCount != 3 || s.Zone != 2 || s.Classes[0].WorkerKind != 2 || s.Classes[1].WorkerKind != 1 {
		t.Errorf("adopted settings: %+v", s)
	}
	if n.ZoneID("z1") != 0 || n.ZoneID("z2") != 1 || n.ZoneID("z3") != 2 || n.KindID("m3") != 2 || n.InternWorker("w") != worker {
		t.Error("ids of known zones, kinds or workers changed, or new ones were not appended")
	}
	if id, err := n.ClassID([]byte("c")); err != nil || id != 0 {
		t.Errorf("id of class c: %d, %v; want 0", id, err)
	}
	if _, err := n.ClassID([]byte("b")); err == nil {
		t.Error("a class that is not in the new settings is still known")
	}
}
