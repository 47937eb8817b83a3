package coordinator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"birchfork/internal/config"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// newIdleCoordinator returns the coordinator of the first of two members, without a membership and without loops.
func newIdleCoordinator() *Coordinator {
	return &Coordinator{
		options: Options{
			Group: &config.Group{
				Name: "g", MaintenancePlans: true, LeaseDuration: time.Second,
				Members: []peer.Member{{Name: "d0", Zone: "z0"}, {Name: "d1", Zone: "z1"}},
			},
			Self:       "d0",
			Dispatcher: &fakeDispatcher{},
			Log:        discardLogger(),
		},
		state:       maintenance.New(),
		lastReports: map[string]receivedReport{},
		changed:     make(chan struct{}),
	}
}

// mustApply applies a command as the next entry.
func mustApply(t *testing.T, c *Coordinator, command maintenance.Command) {
	t.Helper()
	raw, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	c.state.Apply(c.state.AppliedIndex+1, raw)
}

// planOf returns a plan with the given machines.
func planOf(name string, machines ...maintenance.Machine) *maintenance.Plan {
	return &maintenance.Plan{Name: name, MaxUnavailable: 1, OnOverdue: maintenance.OverdueWait, Machines: machines}
}

// reportOfLevel returns the report of a build that supports entries up to level.
func reportOfLevel(level int) receivedReport {
	return receivedReport{statusReport: statusReport{Plans: true, Level: level}}
}

// TestPrecheck_PlanOverlaps verifies that a plan is rejected if another plan contains one of its machines but specifies it differently: by
// host instead of by the names of workers, or vice versa.
func TestPrecheck_PlanOverlaps(t *testing.T) {
	c := newIdleCoordinator()
	mustApply(t, c, maintenance.Command{
		Kind: maintenance.CommandSubmitPlan, Plan: planOf("hosts", maintenance.Machine{Name: "m", Host: "h1"}),
	})
	mustApply(t, c, maintenance.Command{
		Kind: maintenance.CommandSubmitPlan, Plan: planOf("names", maintenance.Machine{Name: "m", Workers: []string{"r0"}}),
	})
	for want, machine := range map[string]maintenance.Machine{
		`"r1" is at host h1, which is in plan "hosts"`: {Name: "m", Workers: []string{"r1"}},
		`"r0", which is there, is in plan "names"`:     {Name: "m", Host: "h0"},
	} {
		if got := strings.Join(c.fleetMismatches(planOf("q", machine)), " "); !strings.Contains(got, want) {
			t.Errorf("mismatches %q, want %q", got, want)
		}
	}
}

// TestPrecheck_OlderBuilds verifies that no entry of a level is proposed while a member's build may not support it, unless an entry of that
// level is committed already.
func TestPrecheck_OlderBuilds(t *testing.T) {
	c := newIdleCoordinator()
	for _, name := range []string{"d0", "d1"} {
		c.state.Members[name] = &maintenance.Member{Name: name}
	}
	c.lastReports["d0"] = reportOfLevel(2)
	submit := func(machine maintenance.Machine) string {
		command := &maintenance.Command{ID: "1", Kind: maintenance.CommandSubmitPlan, Plan: planOf("p", machine)}
		if reply := c.precheck(&Call{Command: command}); reply != nil {
			return reply.Text
		}
		return "yes"
	}
	for _, step := range []struct {
		change func()
		byHost string // reply to a plan that gives its machine by host
	}{
		{func() {}, "not heard of yet by this leader, and may be of a build that does not know this call: d1"},
		{func() { c.lastReports["d1"] = reportOfLevel(1) }, "of a build that does not know this call: d1"},
		{func() { c.lastReports["d1"] = reportOfLevel(2) }, "yes"},
		// A member with an older build has stopped at the committed entry: see maintenance.State.Apply.
		{func() { c.lastReports["d1"], c.state.Level = reportOfLevel(1), 2 }, "yes"},
	} {
		step.change()
		if got := submit(maintenance.Machine{Name: "m", Host: "h1"}); got != step.byHost {
			t.Errorf("plan by host: %q, want %q", got, step.byHost)
		}
		if got := submit(maintenance.Machine{Name: "m", Workers: []string{"r1"}}); got != "yes" {
			t.Errorf("plan by name: %q, want yes", got)
		}
	}
	c.state.HistoryLost = true
	if got := c.startRejection(); got != historyLostText {
		t.Errorf("start of a plan after the history was lost: %q, want %q", got, historyLostText)
	}
}
