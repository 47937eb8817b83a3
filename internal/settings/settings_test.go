package settings

import (
	"reflect"
	"strings"
	"testing"

	"birchfork/dispatch"
)

// A request id is used again only when nothing can name the old request any more.
func TestNameTable_ReusesRequestIDAfterLastAttempt(t *testing.T) {
	n := NewNameTable()
	a, _ := n.OpenRequest([]byte("a"))
	n.AttemptSent(a)
	n.RequestAnswered(a)
	if b, _ := n.OpenRequest([]byte("b")); b == a {
		t.Fatal("the id was reused with an attempt out")
	}
	n.AttemptEnded(a, true)
	if c, _ := n.OpenRequest([]byte("c")); c != a {
		t.Fatalf("id %d, want %d again", c, a)
	}
	if _, err := n.OpenRequest([]byte("c")); err == nil {
		t.Fatal("one request opened twice")
	}
}

// Dispatchers must agree on a worker's tag, whatever order they meet the names in.
func TestNameTable_TagsDoNotDependOnOrder(t *testing.T) {
	a, b := NewNameTable(), NewNameTable()
	b.InternWorker("10.0.0.9:1")
	x, y := a.InternWorker("10.0.0.1:7"), b.InternWorker("10.0.0.1:7")
	if x == y || a.workerTags[x] != b.workerTags[y] || b.workerTags[0] == b.workerTags[y] {
		t.Fatalf("ids %d and %d, tags %v and %v", x, y, a.workerTags, b.workerTags)
	}
}

// What the configuration holds as JSON must mean the same as what the bench's wire carries.
func TestFlatten_EqualsSimulatorPairs(t *testing.T) {
	wire := "classes.count=2\tclasses.0.aim=0.4\tclasses.0.deadline=10.0\tclasses.0.effect=free\tclasses.0.name=a_b\t" +
		"classes.1.deadline=5\tclasses.1.effect=guarded\tclasses.1.group=zone\tclasses.1.window=2.5\tclasses.1.name=c\t" +
		"customers.count=1\tcustomers.0.name=acme\tcustomers.0.quota_rps=14.0\textra.class_stretch=1.75,2.0\t" +
		"extra.tells_start=true\tmachine_types=big,small\tzones=x,y_z\tzone=y_z\ttick=0.002\treport.names=\t" +
		"policy_limits.attempts_cap=6\tregistry_mode=subscribe"
	js := `{"classes":[{"aim":0.4,"deadline":10.0,"effect":"free","name":"a b"},
		{"deadline":5,"effect":"guarded","group":"zone","window":2.5,"name":"c"}],
		"customers":[{"name":"acme","quota_rps":14.0}],"extra":{"class_stretch":[1.75,2.0],"tells_start":true},
		"machine_types":["big","small"],"zones":["x","y,z"],"zone":"y z","tick":0.002,"report":{"names":[]},
		"policy_limits":{"attempts_cap":6},"registry_mode":"subscribe","unknown":{"deep":[null,1]},"gone":null}`
	a, err := ParsePairs([]byte(wire))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Flatten([]byte(js))
	if err != nil {
		t.Fatal(err)
	}
	na, nb := NewNameTable(), NewNameTable()
	sa, errA := Decode(a, na)
	sb, errB := Decode(b, nb)
	if errA != nil || errB != nil || !reflect.DeepEqual(sa, sb) || !reflect.DeepEqual(na, nb) {
		t.Fatalf("wire %+v, %v; JSON %+v, %v", sa, errA, sb, errB)
	}
	if len(sa.Classes) != 2 || sa.Classes[1].ObjectiveStretch != 2 || sa.Zone != 1 || sa.KindCount != 2 {
		t.Fatalf("decoded %+v", sa)
	}
}

// What a configuration does not tell takes no figure of another deployment's: it is the narrowest that there is, or nothing.
func TestDecode_MissingMeansNarrowest(t *testing.T) {
	p, err := Flatten([]byte(`{"classes":[{"name":"c","deadline":5}],"weight_kind":"off"}`))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(p, NewNameTable())
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Idempotency != dispatch.NonIdempotent || c.DedupScope != dispatch.DedupCell || c.DedupWindow != 0 {
		t.Errorf("a class may be repeated more than never: %+v", c)
	}
	if s.MaxAttempts != 1 || s.CanHedge || s.CanCancel || s.PeerMessages || s.RetryAfter || s.WeightsShowSize || s.ReportsStart || s.DrainGrace != 0 {
		t.Errorf("more is allowed than was told: %+v", s)
	}
	want := dispatch.Settings{ // every figure that stands in for a missing one
		Classes: s.Classes, OverQuotaWeight: 1, Zone: -1, GroupSize: 1, Tick: dispatch.Millisecond, MaxAttempts: 1, MaxPollInterval: 10 * dispatch.Second,
		SlowStartMinFactor: 1, OverloadMultiple: 1,
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("decoded %+v, want %+v", s, want)
	}
}

func TestDecode_NamesEveryError(t *testing.T) {
	p, err := Flatten([]byte(`{"tick":"soon","classes":[{"effect":"odd"}],"policy_limits":{"peers":3}}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Decode(p, NewNameTable())
	if err == nil {
		t.Fatal("no fault was named")
	}
	for _, want := range []string{"tick", "classes.0.effect", "policy_limits.peers"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q does not name %s", err, want)
		}
	}
}

func FuzzFlatten(f *testing.F) {
	f.Add([]byte(`{"classes":[{"deadline":5}],"zones":["a"],"x":[[1],{"a":2}]}`))
	f.Add([]byte(`{"classes":{"count":99999999}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Flatten(raw)
		if err != nil {
			return
		}
		if s, err := Decode(p, NewNameTable()); err == nil && len(s.Classes) > maxListLength {
			t.Fatalf("%d classes", len(s.Classes))
		}
	})
}

// Other settings number their names in their own way: what is known keeps its number.
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
		t.Errorf("carried: %v, %v", classes, tenants)
	}
	if s.ZoneCount != 3 || s.KindCount != 3 || s.Zone != 2 || s.Classes[0].WorkerKind != 2 || s.Classes[1].WorkerKind != 1 {
		t.Errorf("%+v", s)
	}
	if n.ZoneID("z1") != 0 || n.ZoneID("z2") != 1 || n.ZoneID("z3") != 2 || n.KindID("m3") != 2 || n.InternWorker("w") != worker {
		t.Error("numbers moved")
	}
	if id, err := n.ClassID([]byte("c")); err != nil || id != 0 {
		t.Errorf("%d, %v", id, err)
	}
	if _, err := n.ClassID([]byte("b")); err == nil {
		t.Error("a class that is gone is known")
	}
}
