package settings

import (
	"reflect"
	"strings"
	"testing"

	"birchfork/dispatch"
)

// A request id is used again only when nothing can name the old request any more.
func TestRequestIDsAreReusedAfterTheLastAttempt(t *testing.T) {
	n := NewNames()
	a, _ := n.Open([]byte("a"))
	n.NoteSend(a)
	n.NoteFinal(a)
	if b, _ := n.Open([]byte("b")); b == a {
		t.Fatal("the id was reused with an attempt out")
	}
	n.NoteEnd(a, true)
	if c, _ := n.Open([]byte("c")); c != a {
		t.Fatalf("id %d, want %d again", c, a)
	}
	if _, err := n.Open([]byte("c")); err == nil {
		t.Fatal("one request opened twice")
	}
}

// Dispatchers must agree on a worker's tag, whatever order they meet the names in.
func TestTagsAreTheSameAtEveryInstance(t *testing.T) {
	a, b := NewNames(), NewNames()
	b.Worker("10.0.0.9:1")
	x, y := a.Worker("10.0.0.1:7"), b.Worker("10.0.0.1:7")
	if x == y || a.workerTags[x] != b.workerTags[y] || b.workerTags[0] == b.workerTags[y] {
		t.Fatalf("ids %d and %d, tags %v and %v", x, y, a.workerTags, b.workerTags)
	}
}

// What the configuration holds as JSON must mean the same as what the bench's wire carries.
func TestFlattenedJSONMeansWhatTheWireMeans(t *testing.T) {
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
	na, nb := NewNames(), NewNames()
	sa, errA := Decode(a, na)
	sb, errB := Decode(b, nb)
	if errA != nil || errB != nil || !reflect.DeepEqual(sa, sb) || !reflect.DeepEqual(na, nb) {
		t.Fatalf("wire %+v, %v; JSON %+v, %v", sa, errA, sb, errB)
	}
	if len(sa.Classes) != 2 || sa.Classes[1].Stretch != 2 || sa.Zone != 1 || sa.Kinds != 2 {
		t.Fatalf("decoded %+v", sa)
	}
}

// What a configuration does not tell takes no figure of another deployment's: it is the narrowest that there is, or nothing.
func TestWhatIsMissingIsTheNarrowest(t *testing.T) {
	p, err := Flatten([]byte(`{"classes":[{"name":"c","deadline":5}],"weight_kind":"off"}`))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(p, NewNames())
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Effect != dispatch.Unsafe || c.Group != dispatch.GroupCell || c.Window != 0 {
		t.Errorf("a class may be repeated more than never: %+v", c)
	}
	if s.MaxAttempts != 1 || s.SecondCopies || s.CanCancel || s.CanTell || s.RetryAfter || s.Sized || s.TellsStart || s.DrainGrace != 0 {
		t.Errorf("more is allowed than was told: %+v", s)
	}
	want := dispatch.Settings{ // every figure that stands in for a missing one
		Classes: s.Classes, OverShareWorth: 1, Zone: -1, GroupSize: 1, Tick: dispatch.Millisecond, MaxAttempts: 1, AskWithin: 10 * dispatch.Second,
		ColdFrom: 1, FallMultiple: 1,
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("decoded %+v, want %+v", s, want)
	}
}

func TestDecodeNamesEveryFault(t *testing.T) {
	p, err := Flatten([]byte(`{"tick":"soon","classes":[{"effect":"odd"}],"policy_limits":{"peers":3}}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Decode(p, NewNames())
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
		if s, err := Decode(p, NewNames()); err == nil && len(s.Classes) > maxList {
			t.Fatalf("%d classes", len(s.Classes))
		}
	})
}

// Other settings number their names in their own way: what is known keeps its number.
func TestAdoptKeepsTheNumbersOfZonesAndKinds(t *testing.T) {
	decode := func(js string) (dispatch.Settings, *Names) {
		t.Helper()
		n := NewNames()
		s, _, err := DecodeJSON([]byte(js), n)
		if err != nil {
			t.Fatal(err)
		}
		return s, n
	}
	_, n := decode(`{"classes":[{"name":"a"},{"name":"b"}],"customers":[{"name":"x"}],"zones":["z1","z2"],"machine_types":["m1","m2"]}`)
	worker := n.Worker("w")
	s, fresh := decode(`{"classes":[{"name":"c"},{"name":"a"}],"customers":[{"name":"y"},{"name":"x"}],"zones":["z3","z1"],"zone":"z3",
		"machine_types":["m3","m2"],"extra":{"class_kind":[0,1]}}`)
	classes, tenants := n.Adopt(fresh, &s)
	if !reflect.DeepEqual(classes, []int{-1, 0}) || !reflect.DeepEqual(tenants, []int{-1, 0}) {
		t.Errorf("carried: %v, %v", classes, tenants)
	}
	if s.Zones != 3 || s.Kinds != 3 || s.Zone != 2 || s.Classes[0].Kind != 2 || s.Classes[1].Kind != 1 {
		t.Errorf("%+v", s)
	}
	if n.Zone("z1") != 0 || n.Zone("z2") != 1 || n.Zone("z3") != 2 || n.Kind("m3") != 2 || n.Worker("w") != worker {
		t.Error("numbers moved")
	}
	if id, err := n.Class([]byte("c")); err != nil || id != 0 {
		t.Errorf("%d, %v", id, err)
	}
	if _, err := n.Class([]byte("b")); err == nil {
		t.Error("a class that is gone is known")
	}
}
