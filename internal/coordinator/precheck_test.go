package coordinator

import (
	"encoding/json"
	"strings"
	"testing"

	"birchfork/internal/config"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// A plan is not handed in, or does not start, where others could not keep it.
func TestPrecheck_PlanOverlaps(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	c := &Coordinator{options: Options{Group: &config.Group{MaintenancePlans: true, Members: []peer.Member{{Name: "d0"}, {Name: "d1"}}}, Dispatcher: dispatcher},
		state: maintenance.New(), lastReports: map[string]receivedReport{}}
	apply := func(cmd maintenance.Command) {
		raw, err := json.Marshal(cmd)
		if err != nil {
			t.Fatal(err)
		}
		c.state.Apply(c.state.AppliedIndex+1, raw)
	}
	plan := func(name string, m maintenance.Machine) *maintenance.Plan {
		m.Name = "m"
		return &maintenance.Plan{Name: name, MaxUnavailable: 1, OnOverdue: maintenance.OverdueWait, Machines: []maintenance.Machine{m}}
	}
	apply(maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: plan("hosts", maintenance.Machine{Host: "h1"})})
	apply(maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: plan("names", maintenance.Machine{Workers: []string{"r0"}})})
	for want, m := range map[string]maintenance.Machine{
		`"r1" is at host h1, which is in plan "hosts"`: {Workers: []string{"r1"}},
		`"r0", which is there, is in plan "names"`:     {Host: "h0"},
	} {
		if got := strings.Join(c.fleetMismatches(plan("q", m)), " "); !strings.Contains(got, want) {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// While one member's build knows less of entries, or may, none that needs more is settled; what was settled already is.
func TestPrecheck_OlderBuilds(t *testing.T) {
	c := &Coordinator{options: Options{Dispatcher: &fakeDispatcher{}, Group: &config.Group{MaintenancePlans: true, Members: []peer.Member{{Name: "d0"}, {Name: "d1"}}}},
		state: maintenance.New(), lastReports: map[string]receivedReport{}}
	for _, name := range []string{"d0", "d1"} {
		c.state.Members[name] = &maintenance.Member{Name: name}
	}
	level := func(n int) receivedReport { return receivedReport{statusReport: statusReport{Plans: true, Level: n}} }
	c.lastReports["d0"] = level(2)
	precheck := func(m maintenance.Machine) string {
		m.Name = "m"
		command := &maintenance.Command{ID: "1", Kind: maintenance.CommandSubmitPlan, Plan: &maintenance.Plan{Name: "p", MaxUnavailable: 1, OnOverdue: maintenance.OverdueWait, Machines: []maintenance.Machine{m}}}
		if r := c.precheck(&Call{Command: command}); r != nil {
			return r.Text
		}
		return "yes"
	}
	for _, step := range []struct {
		change func()
		host   string
	}{
		{func() {}, "not heard of yet by this leader, and may be of a build that does not know this call: d1"},
		{func() { c.lastReports["d1"] = level(1) }, "of a build that does not know this call: d1"},
		{func() { c.lastReports["d1"] = level(2) }, "yes"},
		{func() { c.lastReports["d1"], c.state.Level = level(1), 2 }, "yes"}, // it cannot be in force there: see outage.Apply
	} {
		step.change()
		if got := precheck(maintenance.Machine{Host: "h1"}); got != step.host {
			t.Errorf("a plan by host: %q, want %q", got, step.host)
		}
		if got := precheck(maintenance.Machine{Workers: []string{"r1"}}); got != "yes" {
			t.Errorf("a plan by name: %q", got)
		}
	}
	if c.state.HistoryLost = true; c.startObstacle() != historyLostText {
		t.Errorf("a group that was founded again: %q", c.startObstacle())
	}
}
