package settings

import (
	"reflect"
	"strings"
	"testing"

	"birchfork/dispatch"
)

// Settings in JSON decode to the same values and ids as those in the simulator's protocol.
func TestFlatten_EqualsSimulatorPairs(t *testing.T) {
	wire := "classes.count=2\tclasses.0.aim=0.4\tclasses.0.deadline=10.0\tclasses.0.effect=free\tclasses.0.name=a_b\t" +
		"classes.1.deadline=5\tclasses.1.effect=guarded\tclasses.1.group=zone\tclasses.1.window=2.5\tclasses.1.name=c\t" +
		"customers.count=1\tcustomers.0.name=acme\tcustomers.0.quota_rps=14.0\textra.class_stretch=1.75,2.0\t" +
		"extra.tells_start=true\tmachine_types=big,small\tzones=x,y_z\tzone=y_z\ttick=0.002\treport.names=\t" +
		"policy_limits.attempts_cap=6\tregistry_mode=subscribe"
	text := `{"classes":[{"aim":0.4,"deadline":10.0,"effect":"free","name":"a b"},
		{"deadline":5,"effect":"guarded","group":"zone","window":2.5,"name":"c"}],
		"customers":[{"name":"acme","quota_rps":14.0}],"extra":{"class_stretch":[1.75,2.0],"tells_start":true},
		"machine_types":["big","small"],"zones":["x","y,z"],"zone":"y z","tick":0.002,"report":{"names":[]},
		"policy_limits":{"attempts_cap":6},"registry_mode":"subscribe","unknown":{"deep":[null,1]},"gone":null}`
	wirePairs, err := ParsePairs([]byte(wire))
	if err != nil {
		t.Fatal(err)
	}
	jsonPairs, err := Flatten([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	wireNames, jsonNames := NewNameTable(), NewNameTable()
	wireSettings, wireErr := Decode(wirePairs, wireNames)
	jsonSettings, jsonErr := Decode(jsonPairs, jsonNames)
	if wireErr != nil || jsonErr != nil || !reflect.DeepEqual(wireSettings, jsonSettings) || !reflect.DeepEqual(wireNames, jsonNames) {
		t.Fatalf("wire %+v, %v; JSON %+v, %v", wireSettings, wireErr, jsonSettings, jsonErr)
	}
	if len(wireSettings.Classes) != 2 || wireSettings.Classes[1].ObjectiveStretch != 2 || wireSettings.Zone != 1 || wireSettings.KindCount != 2 {
		t.Fatalf("decoded %+v", wireSettings)
	}
}

// A missing setting gets the most restrictive value, never the value of another deployment.
func TestDecode_DefaultsAreMostRestrictive(t *testing.T) {
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
		t.Errorf("requests of the class may be sent more than once: %+v", c)
	}
	if s.MaxAttempts != 1 || s.CanHedge || s.CanCancel || s.PeerMessages || s.RetryAfter || s.WeightsShowSize || s.ReportsStart || s.DrainGrace != 0 {
		t.Errorf("a missing setting allows more than the most restrictive value: %+v", s)
	}
	want := dispatch.Settings{ // every default of a missing setting
		Classes: s.Classes, OverQuotaWeight: 1, Zone: -1, GroupSize: 1, Tick: dispatch.Millisecond, MaxAttempts: 1, MaxPollInterval: 10 * dispatch.Second,
		SlowStartMinFactor: 1, OverloadMultiple: 1,
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("decoded %+v, want %+v", s, want)
	}
}

// All malformed settings are reported at once.
func TestDecode_ReportsEveryError(t *testing.T) {
	p, err := Flatten([]byte(`{"tick":"soon","classes":[{"effect":"odd"}],"policy_limits":{"peers":3}}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Decode(p, NewNameTable())
	if err == nil {
		t.Fatal("no error")
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
