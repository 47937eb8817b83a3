package server

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"birchfork/internal/settings"
)

// deployments are the settings of each kind of deployment that a build serves. "old" has probes, sizes and no load reports. The others have
// no probes but load reports in responses: "hub" with weights that show load and a price of fetches, "errors" with one attempt at a time.
var deployments = map[string]string{
	"old": `"weight_kind":"rough","report":{"how":"off","names":[]},"prices":{"probe":0.004,"waste":0.04},
		"policy_limits":{"attempts_cap":4,"probes":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"hub": `"weight_kind":"live","report":{"how":"inline","names":["cpu_share","x0"]},"prices":{"origin":0.1,"waste":0.04,"peer":0.01},
		"extra":{"report_x0":"free_slots","tells_start":true},"group_size":3,
		"policy_limits":{"attempts_cap":4,"peers":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"errors": `"weight_kind":"off","report":{"how":"inline","names":["pending","x0"]},"prices":{"waste":0.036},
		"extra":{"report_x0":"free_slots","tells_start":true},"registry_mode":"subscribe",
		"policy_limits":{"attempts_cap":5,"cancel":true,"connect_timeout":0.25}`,
}

// deploymentConfig returns a complete configuration with these settings.
func deploymentConfig(discovery, settings string) string {
	return `{"name":"n1","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1",
	"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
	"settings":{"classes":[{"name":"search","deadline":5,"aim":2,"effect":"free"}],"zones":["a"],"zone":"a",
		"machine_types":["big"],` + settings + `}}`
}

// Every deployment is accepted, and settings that sockets do not support are listed.
func TestDecode_DeploymentsAndUnsupportedSettings(t *testing.T) {
	for name, want := range map[string][]string{
		"old": nil, "hub": {"policy_limits.peers", "report.how"}, "errors": {"report.how"},
	} {
		c, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", deployments[name])))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(c.Unsupported) != len(want) {
			t.Errorf("%s: unsupported settings %q, want %d lines", name, c.Unsupported, len(want))
			continue
		}
		for i, key := range want {
			if !strings.HasPrefix(c.Unsupported[i], key+": ") {
				t.Errorf("%s: %q does not begin with %s", name, c.Unsupported[i], key)
			}
		}
		if c.Settings.PeerMessages || c.Settings.EndpointsOnRequest {
			t.Errorf("%s: the decision module may request what sockets do not support", name)
		}
		hub := name == "hub"
		if (c.Settings.PriceFetch > 0) != hub || c.Settings.WeightsShowLoad != hub {
			t.Errorf("%s: price of a fetch %v, weights show load %v", name, c.Settings.PriceFetch, c.Settings.WeightsShowLoad)
		}
	}
}

// Settings that mix two deployments are rejected, with the key.
func TestDecode_RejectsMixedDeployments(t *testing.T) {
	for _, c := range []struct{ deployment, from, to, key string }{
		{"old", `"how":"off"`, `"how":"inline"`, "report.names"},
		{"old", `"how":"off"`, `"how":"loud"`, "report.how"},
		{"old", `"names":[]`, `"names":["pending"]`, "report.names"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"live"`, "weight_kind"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"odd"`, "weight_kind"},
		{"old", `"probes":true`, `"probes":false`, "prices.probe"},
		{"old", `"probe":0.004`, `"peer":0.01`, "prices.peer"},
		{"hub", `"how":"inline"`, `"how":"on_probe"`, "report.how"},
		{"hub", `"how":"inline"`, `"how":"off"`, "report.names"},
		{"hub", `"peers":true`, `"peers":false`, "prices.peer"},
		{"hub", `"report_x0":"free_slots",`, ``, "report.names"},
		{"old", `"probe":0.004`, `"probe":"dear"`, "prices.probe"},
		{"old", `"probes":true`, `"probes":"maybe"`, "policy_limits.probes"},
		{"errors", `["pending","x0"]`, `[]`, "report.names"},
	} {
		raw := strings.Replace(deployments[c.deployment], c.from, c.to, 1)
		if raw == deployments[c.deployment] {
			t.Fatalf("%s has no %s", c.deployment, c.from)
		}
		_, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", raw)))
		if err == nil || !strings.Contains(err.Error(), "setting "+c.key+": ") {
			t.Errorf("%s with %s: %v, want an error for %s", c.deployment, c.to, err, c.key)
		}
	}
	both := strings.Replace(strings.Replace(deployments["hub"], `"peers":true`, `"peers":false`, 1), `"how":"inline"`, `"how":"off"`, 1)
	if _, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", both))); err == nil || strings.Count(err.Error(), "setting ") != 3 {
		t.Errorf("want three errors: %v", err)
	}
	// A malformed setting must not hide a contradiction, and is reported once although it is read twice.
	both = strings.Replace(strings.Replace(deployments["old"], `"probes":true`, `"probes":true,"peers":"some"`, 1), `"how":"off"`, `"how":"inline"`, 1)
	_, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", both)))
	if err == nil || strings.Count(err.Error(), "setting ") != 2 ||
		!strings.Contains(err.Error(), "policy_limits.peers") || !strings.Contains(err.Error(), "report.names") {
		t.Errorf("want an error for policy_limits.peers and one for report.names: %v", err)
	}
	odd := strings.Replace(deployments["errors"], `"pending"`, `"new_value"`, 1)
	if _, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", odd))); err != nil {
		t.Errorf("an unknown value of reports: %v", err)
	}
}

// A valid configuration is decoded, and what sockets do not support is disabled.
func TestDecode_Values(t *testing.T) {
	c, err := Decode([]byte(configText("127.0.0.1:8500", "127.0.0.1:9", "5")))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Seed != 0x8c1f30d27a5be964 || c.MaxOpen != 70 || c.Limits.Sockets != 1024 ||
		len(c.KnownEndpoints.Endpoints) != 1 || !c.KnownEndpoints.Stale || !c.KnownEndpoints.Snapshot || len(c.Settings.Classes) != 1 {
		t.Fatalf("%+v", c)
	}
	if c.Settings.PeerMessages || c.Settings.EndpointsOnRequest {
		t.Fatal("the decision module may request what sockets do not support")
	}
	if got := idleTimeout(c.Settings); got != 2*time.Second {
		t.Fatalf("idle connections are kept for %v, want half of the time that workers keep them", got)
	}
}

// All errors are reported at once, each with its key.
func TestDecode_ReportsEveryError(t *testing.T) {
	for _, c := range []struct {
		change [2]string
		want   string
	}{
		{[2]string{`"listen":"127.0.0.1:0"`, `"listen":"here"`}, "listen"},
		{[2]string{`"discovery":"127.0.0.1:8500"`, `"discovery":""`}, "discovery"},
		{[2]string{`"discovery":"127.0.0.1:8500"`, `"discovery":"127.0.0.1:85000"`}, "discovery"},
		{[2]string{`"attempts_cap":3`, `"attempts_cap":0`}, "attempts_cap: invalid value 0: must be at least 1"},
		{[2]string{`"deadline":5,`, ``}, "classes.0.deadline: missing required key"},
		{[2]string{`"name":"n1"`, `"operator":"here"`}, "operator"},
		{[2]string{`"name":"n1","listen":"127.0.0.1:0"`, `"operator":"127.0.0.1:5","listen":"127.0.0.1:5"`}, "operator"},
		{[2]string{`"cores":1.0`, `"cores":0`}, "limits.cores"},
		{[2]string{`"memory_mb":192`, `"memory_mb":1`}, "limits.memory_mb"},
		{[2]string{`"sockets":1024`, `"sockets":9`}, "limits.sockets"},
		{[2]string{`"status":"up"`, `"status":"odd"`}, "known"},
		{[2]string{`"snapshot":true`, `"snapshot":3`}, "known"},
		{[2]string{`"deadline":5`, `"deadline":0`}, "classes.0.deadline: invalid value 0: must be greater than 0"},
		{[2]string{`"effect":"free"`, `"effect":"odd"`}, "classes.0.effect"},
		{[2]string{`"settings":`, `"other":`}, "settings"},
		{[2]string{`"name":"n1"`, `"name":1`}, "configuration"},
		{[2]string{`{`, ``}, "configuration"},
	} {
		raw := strings.Replace(configText("127.0.0.1:8500", "127.0.0.1:9", "5"), c.change[0], c.change[1], 1)
		if _, err := Decode([]byte(raw)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.change[1], err, c.want)
		}
	}
	_, err := Decode([]byte(`{"listen":"x","discovery":"y","limits":{"cores":-1}}`))
	if err == nil || strings.Count(err.Error(), "\n") != 3 {
		t.Errorf("want four errors: %v", err)
	}
	if _, err := Load(t.TempDir()+"/none", ""); err == nil {
		t.Error("a missing file was accepted")
	}
}

// Errors for keys and for settings have different types, and wrap their cause.
func TestDecode_ErrorTypes(t *testing.T) {
	raw := strings.Replace(configText("127.0.0.1:8500", "127.0.0.1:9", "0"), `"cores":1.0`, `"cores":0`, 1)
	_, err := Decode([]byte(strings.Replace(raw, `"snapshot":true`, `"snapshot":3`, 1)))
	var configErr *ConfigError
	if !errors.As(err, &configErr) || configErr.Key != "limits.cores" || configErr.Reason != "invalid value 0: must be greater than 0" {
		t.Errorf("error for a key: %+v of %v", configErr, err)
	}
	var setting settings.Error
	if !errors.As(err, &setting) || setting.Path != "classes.0.deadline" || setting.Reason != "invalid value 0: must be greater than 0" {
		t.Errorf("error for a setting: %+v of %v", setting, err)
	}
	var cause *json.UnmarshalTypeError
	if !errors.As(err, &cause) || cause.Field != "snapshot" {
		t.Errorf("cause of an error: %+v of %v", cause, err)
	}
}

// Every accepted text has the values that serving requires.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(configText("127.0.0.1:8500", "127.0.0.1:9", "5")))
	for _, deployment := range deployments {
		f.Add([]byte(deploymentConfig("127.0.0.1:8500", deployment)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Decode(raw); err == nil && (len(c.Settings.Classes) == 0 || c.Limits.Sockets < minSockets) {
			t.Fatalf("accepted %+v", c)
		}
	})
}
