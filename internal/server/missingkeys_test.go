package server

import (
	"encoding/json"
	"strings"
	"testing"
)

// reloadBase is the configuration in force; only its keys matter.
const reloadBase = `{"name":"n","listen":"l","limits":{"cores":1},"known":{"index":1},"seed":"s","settings":{
	"classes":[{"name":"a","deadline":5,"effect":"free","aim_stretch":1},{"name":"b","deadline":6,"effect":"free","extra":1}],
	"policy_limits":{"attempts_cap":3,"cancel":true},"zones":["x"],"tick":0.002,"none":null}}`

// Keys may be missing if they are optional or belong to a removed list member; all others are reported.
func TestMissingKeys(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"zones":["x"]`, `"zones":["x"]`, ""},
		{`"aim_stretch":1`, `"aim_stretch":null`, ""},
		{`,"known":{"index":1},"seed":"s"`, ``, ""},
		{`,"extra":1`, ``, ""}, // not all classes had it
		{`,"none":null`, ``, ""},
		{`{"name":"a","deadline":5,"effect":"free","aim_stretch":1},`, ``, ""}, // a class that is removed
		{`"zones":["x"]`, `"zones":[]`, ""},
		{`,"limits":{"cores":1}`, ``, "limits: missing key: a reload must not omit it"},
		{`"cores":1`, ``, "limits.cores: missing key: a reload must not omit it"},
		{`"deadline":6,`, ``, "settings.classes.1.deadline: missing key: a reload must not omit it"},
		{`"effect":"free","aim`, `"aim`, "settings.classes.0.effect: missing key: a reload must not omit it"},
		{`"effect":"free","aim`, `"effect":null,"aim`, "settings.classes.0.effect: missing key: a reload must not omit it"},
		{`"attempts_cap":3,`, ``, "settings.policy_limits.attempts_cap: missing key: a reload must not omit it"},
		{`"policy_limits":{"attempts_cap":3,"cancel":true}`, `"policy_limits":7`, "settings.policy_limits: must be an object"},
		{`"zones":["x"]`, `"zones":"x"`, "settings.zones: must be a list"},
		{`,"tick":0.002`, ``, "settings.tick: missing key: a reload must not omit it"},
		{`"name":"b",`, ``, "settings.classes.1.name: missing key: a reload must not omit it"},
		{`,"settings":{`, `,"other":{`, "settings: missing key: a reload must not omit it"},
	} {
		current := strings.Replace(reloadBase, c.old, c.new, 1)
		if !json.Valid([]byte(current)) || current == reloadBase && c.old != c.new {
			t.Fatalf("the replacement does not apply or gives invalid JSON: %s", current)
		}
		err := missingKeys([]byte(reloadBase), []byte(current))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s to %s: %q, want %q", c.old, c.new, got, c.want)
		}
	}
	err := missingKeys([]byte(reloadBase), []byte(`{"settings":{"classes":[{}]}}`))
	if err == nil || strings.Count(err.Error(), "\n")+1 != 9 {
		t.Errorf("want 9 errors: %v", err)
	}
}
