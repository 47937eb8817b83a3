package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"

	"birchfork/dispatch"
	"birchfork/internal/goldentest"
)

// linePrinter prints a line with a name and a value.
type linePrinter func(name string, v any)

// goldenConfig prints the values of a configuration. The printed names are the golden files' own.
func goldenConfig(out io.Writer, c *Config) {
	line := func(name string, v any) { fmt.Fprintf(out, "%s: %v\n", name, v) }
	goldenPlatform(line, c)
	goldenClassesAndTenants(line, c)
	goldenSettings(line, &c.Settings)
	goldenDerived(line, c)
}

// goldenPlatform prints the values outside of the settings.
func goldenPlatform(line linePrinter, c *Config) {
	line("name", c.Name)
	line("listen", c.ListenAddress)
	line("discovery", c.DiscoveryAddress)
	line("operator", c.AdminAddress)
	line("seed", fmt.Sprintf("%016x", c.Seed))
	line("limits.cores", c.Limits.Cores)
	line("limits.memory_mb", c.Limits.MemoryMB)
	line("limits.sockets", c.Limits.Sockets)
	line("known.index", c.KnownEndpoints.Version)
	line("known whole, stale", []bool{c.KnownEndpoints.Snapshot, c.KnownEndpoints.Stale})
	for i, endpoint := range c.KnownEndpoints.Endpoints {
		line(fmt.Sprintf("known.%d", i), fmt.Sprintf("name %s, address %s, zone %s, type %s, group %d, weight %v, state %d, since_ms %d",
			endpoint.Name, endpoint.Address, endpoint.Zone, endpoint.Kind, endpoint.Cell, endpoint.Weight, int(endpoint.State), endpoint.StartedAtMillis))
	}
	line("policy_limits.open_cap", c.MaxOpen)
	line("lists are pushed", c.EndpointsPushed)
	for i, u := range c.Unsupported {
		line(fmt.Sprintf("served without, %d", i), u)
	}
}

// goldenClassesAndTenants prints the settings by class and by tenant.
func goldenClassesAndTenants(line linePrinter, c *Config) {
	s := &c.Settings
	for i := range s.Classes {
		class := &s.Classes[i]
		line(fmt.Sprintf("classes.%d", i), fmt.Sprintf(
			"aim %v, aim_stretch %v, deadline %v, worth %v, late_worth %v, effect %d, group %d, window %v, class_kind %v",
			int64(class.LatencyObjective), class.ObjectiveStretch, int64(class.Deadline), class.PriorityWeight, class.LateWeight, int(class.Idempotency), int(class.DedupScope), int64(class.DedupWindow), class.WorkerKind))
	}
	line("classes' names", fmt.Sprintf("%q", c.Names.ClassNames()))
	for i, tenant := range s.Tenants {
		line(fmt.Sprintf("customers.%d.quota_rps", i), tenant.QuotaRPS)
	}
	line("customers' names", fmt.Sprintf("%q", c.Names.TenantNames()))
}

// goldenSettings prints the other settings.
func goldenSettings(line linePrinter, s *dispatch.Settings) {
	line("over_share_worth", s.OverQuotaWeight)
	line("zones, machine_types", []int{s.ZoneCount, s.KindCount})
	line("zone", s.Zone)
	line("group_size, ordinal", []int{s.GroupSize, s.Ordinal})
	line("peers, list on request", []bool{s.PeerMessages, s.EndpointsOnRequest})
	line("tick", int64(s.Tick))
	line("policy_limits.attempts_cap", s.MaxAttempts)
	line("policy_limits.cancel, second_copies, retry_after", []bool{s.CanCancel, s.CanHedge, s.RetryAfter})
	line("policy_limits.max_retry_after, connect_timeout, idle_close", []int64{int64(s.MaxRetryAfter), int64(s.ConnectTimeout), int64(s.IdleTimeout)})
	line("sized, weights move, tells_start", []bool{s.WeightsShowSize, s.WeightsShowLoad, s.ReportsStart})
	line("extra.progress", int64(s.ProgressInterval))
	line("safety.ask_within, stop_sending_within, warm_within, fall", []int64{int64(s.MaxPollInterval), int64(s.DrainGrace), int64(s.SlowStartWindow), int64(s.OverloadWindow)})
	line("safety.cold_from, fall_multiple", []float64{s.SlowStartMinFactor, s.OverloadMultiple})
	line("prices.waste, origin, late_fail, cross_zone", []float64{s.PriceWaste, s.PriceFetch, s.PriceLateFail, s.PriceCrossZone})
}

// goldenDerived prints the values that are computed from a configuration.
func goldenDerived(line linePrinter, c *Config) {
	line("longest deadline", c.maxDeadline())
	line("until an attempt has arrived", c.maxDelivery())
	line("until a worker is warm", c.warmUp())
	line("connections of operators", c.maxAdminConns())
	for _, processes := range []int{1, 2, 3} {
		budget := c.descriptorBudget(processes)
		line(fmt.Sprintf("connections in one of %d processes, to workers and from clients", processes), []int{budget.workers, budget.clientsSoft, budget.clientsHard})
	}
	line("idle connections to workers", idleTimeout(c.Settings))
	srv := &Server{config: c}
	line("until all is answered after a signal", srv.drainTimeout())
	line("until all is taken as before after a signal", srv.acceptTime(srv.drainTimeout()))
	line("digest of the settings", c.settingsDigest)
}

// TestGolden_Platform checks the values that are decoded from platform configurations: two with every key and one with the fewest possible.
func TestGolden_Platform(t *testing.T) {
	for _, name := range []string{"reports", "probes", "least"} {
		var out bytes.Buffer
		c, err := Load(goldenPath("platform-"+name+".json"), "")
		if err != nil {
			t.Fatal(err)
		}
		goldenConfig(&out, c)
		goldentest.Check(t, "platform-"+name+".txt", out.Bytes())
	}
	c, err := Load(goldenPath("platform-reports.json"), "127.0.0.1:4104")
	if err != nil || c.AdminAddress != "127.0.0.1:4104" {
		t.Errorf("%v, %+v", err, c)
	}
}

// goldenChange replaces a part of a configuration; base is a file of testdata/golden, or "" if to is the complete text.
type goldenChange struct{ base, from, to string }

// goldenChanges are configurations that cover every error.
var goldenChanges = []goldenChange{
	{"", "", ``},
	{"", "", `{`},
	{"", "", `[]`},
	{"", "", `null`},
	{"", "", `{}`},
	{"", "", `{"name":1}`},
	{"", "", `{"limits":{"cores":"many"}}`},
	{"", "", `{"limits":{"sockets":1.5}}`},
	{"", "", `{"listen":"x","discovery":"y","operator":"z","limits":{"cores":-1,"memory_mb":1,"sockets":2}}`},
	{"least", `"127.0.0.1:4301"`, `""`},
	{"least", `"127.0.0.1:4302"`, `"127.0.0.1:85000"`},
	{"reports", `"127.0.0.1:4103"`, `"here"`},
	{"reports", `"127.0.0.1:4103"`, `"127.0.0.1:4101"`},
	{"reports", `"cores": 1.5`, `"cores": 0`},
	{"reports", `"memory_mb": 160`, `"memory_mb": 31`},
	{"reports", `"sockets": 900`, `"sockets": 63`},
	{"reports", `"status": "up"`, `"status": "odd"`},
	{"reports", `"snapshot": true`, `"snapshot": 3`},
	{"reports", `"index": 41`, `"index": -1`},
	{"reports", `"settings"`, `"other"`},
	{"least", `{"classes": [{"deadline": 1}]}`, `7`},
	{"least", `{"classes": [{"deadline": 1}]}`, `{}`},
	{"least", `"deadline": 1`, `"deadline": 0`},
	{"least", `"deadline": 1`, `"deadline": -2.5`},
	{"least", `"deadline": 1`, `"deadline": "long"`},
	{"least", `"deadline": 1`, ``},
	{"least", `"deadline": 1`, `"deadline": 1, "effect": "odd", "group": "odd"`},
	{"least", `"deadline": 1`, `"deadline": 1}, {"deadline": 2, "name": "a"}, {"deadline": 2, "name": "a"`},
	{"reports", `"name": "south"`, `"name": "north"`},
	{"reports", `"attempts_cap": 4`, `"attempts_cap": 0`},
	{"reports", `"attempts_cap": 4`, `"attempts_cap": "few"`},
	{"reports", `"cancel": true`, `"cancel": "maybe"`},
	{"reports", `"registry_mode": "subscribe"`, `"registry_mode": "odd"`},
	{"reports", `"how": "inline"`, `"how": "loud"`},
	{"reports", `"how": "inline"`, `"how": "off"`},
	{"reports", `"how": "inline"`, `"how": "on_probe"`},
	{"reports", `["pending", "x0", "x1"]`, `[]`},
	{"reports", `"report_x0": "free_slots", "report_x1": "queue", `, ``},
	{"probes", `"how": "on_probe", "names": ["cpu_share"]`, `"how": "off", "names": ["cpu_share", "a"]`},
	{"probes", `"weight_kind": "rough"`, `"weight_kind": "odd"`},
	{"probes", `"how": "on_probe", "names": ["cpu_share"]}`, `"how": "off"}, "weight_kind": "live"`},
	{"probes", `"probes": true`, `"probes": false`},
	{"probes", `"probe": 0.004`, `"probe": "dear"`},
	{"probes", `"probe": 0.004`, `"peer": 0.5`},
	{"reports", `"peers": true`, `"peers": false`},
	{"reports", `"zones": ["a", "b", "c"]`, `"zones": ["a", {"b": 1}]`},
}

// goType matches what encoding/json reports about Go types. It depends on their names and is not a text of this program.
var goType = regexp.MustCompile(`(Go value of type|Go struct field) (?:node\.|server\.)?\w+`)

// TestGolden_ConfigErrors checks the message of each error in a configuration.
func TestGolden_ConfigErrors(t *testing.T) {
	var out bytes.Buffer
	for _, c := range goldenChanges {
		raw, from := []byte(c.to), "itself"
		if c.base != "" {
			base, err := os.ReadFile(goldenPath("platform-" + c.base + ".json"))
			if err != nil {
				t.Fatal(err)
			}
			if raw = bytes.Replace(base, []byte(c.from), []byte(c.to), 1); bytes.Equal(raw, base) {
				t.Fatalf("%s has no %s", c.base, c.from)
			}
			from = c.base + ", " + c.from
		}
		_, err := Decode(raw)
		fmt.Fprintf(&out, "%s to %s\n", from, c.to)
		for line := range strings.SplitSeq(fmt.Sprint(err), "\n") {
			fmt.Fprintf(&out, "    %s\n", goType.ReplaceAllString(line, "$1 TYPE"))
		}
	}
	fmt.Fprintln(&out, "a file that is missing")
	_, err := Load("testdata/golden/none.json", "")
	fmt.Fprintf(&out, "    %v\n", err)
	goldentest.Check(t, "faults.txt", out.Bytes())
}

// TestGolden_ReloadErrors checks the messages about keys that a file lacks and the configuration in force has.
func TestGolden_ReloadErrors(t *testing.T) {
	old, err := os.ReadFile(goldenPath("platform-reports.json"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, current := range []string{`{}`, `{"settings":{}}`, `{"settings":{"classes":[{}],"zones":7,"policy_limits":[]},"limits":{"cores":1}}`} {
		fmt.Fprintf(&out, "%s\n", current)
		for line := range strings.SplitSeq(fmt.Sprint(missingKeys(old, []byte(current))), "\n") {
			fmt.Fprintf(&out, "    %s\n", line)
		}
	}
	goldentest.Check(t, "reload-faults.txt", out.Bytes())
}

// TestGolden_Available checks the messages about addresses that are in use.
func TestGolden_Available(t *testing.T) {
	c := &Config{}
	for _, address := range []*string{&c.ListenAddress, &c.AdminAddress} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		*address = listener.Addr().String()
	}
	goldentest.Check(t, "free.txt", loopbackPort.ReplaceAll(fmt.Appendln(nil, c.CheckAvailable()), []byte("127.0.0.1:PORT")))
	if err := (&Config{ListenAddress: "127.0.0.1:0"}).CheckAvailable(); err != nil {
		t.Error(err)
	}
}
