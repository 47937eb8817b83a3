package coordinator

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"birchfork/internal/maintenance"
)

var testPlan = &maintenance.Plan{
	Name:           "p",
	MaxUnavailable: 1,
	OnOverdue:      maintenance.OverdueWait,
	Machines:       []maintenance.Machine{{Name: "m1", Workers: []string{"r1"}}},
}

// TestCoordinator_ThreeMembers runs a plan with three members. It verifies that each member accepts calls and applies committed entries,
// that an operator's override at one member counts against the group's budget, and that no goroutine leaks.
func TestCoordinator_ThreeMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newTestGroup(t)
	defer g.close()
	g.start(0)
	g.start(1)
	// A member that does not answer may be in a group, so no group is created and plans stay unknown.
	g.eventually("the reply names the member that does not answer", func() bool {
		reply := g.call(0, -1, Call{Bootstrap: true})
		return reply.Code == maintenance.CodeRetryLater && strings.Contains(reply.Text, "d2: ")
	})
	time.Sleep(2 * joinInterval)
	if !g.dispatchers[0].hasUnknownPlans() {
		t.Error("plans count as known although a member that may have some has not answered")
	}
	g.start(2)
	g.eventually("all members have answered that they are in no group", func() bool { return !g.dispatchers[0].hasUnknownPlans() })
	g.bootstrap()
	checkInvalidPlan(g)
	g.call(1, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan}, Check: true})
	checkPlanRuns(g)
}

// checkInvalidPlan submits a plan that does not match the fleet.
func checkInvalidPlan(g *testGroup) {
	g.t.Helper()
	invalidPlan := *testPlan
	invalidPlan.Machines = []maintenance.Machine{
		{Name: "m", Workers: []string{"nobody", "r1"}}, {Name: "h", Host: "h1"}, {Name: "k", Host: "nowhere"},
	}
	reply := g.command(1, maintenance.CodeInvalid, maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: &invalidPlan})
	for _, want := range []string{
		`machine[0].runners: "nobody"`,
		`"r1" is at the host of machine[1]`,
		`machine[2].host: no runner is listed at "nowhere"`,
	} {
		if !strings.Contains(reply.Text, want) {
			g.t.Errorf("reply lacks %q: %q", want, reply.Text)
		}
	}
}

// checkPlanRuns runs testPlan from its submission to its end. A second process of one member and an override at another delay it.
func checkPlanRuns(g *testGroup) {
	g.t.Helper()
	g.dispatchers[2].set(func() { g.dispatchers[2].disabled = true })
	g.dispatchers[1].set(func() { g.dispatchers[1].siblings = 1 })
	g.command(1, maintenance.CodeOK, maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan})
	g.command(2, maintenance.CodeOK, maintenance.Command{Kind: maintenance.CommandStartPlan, Name: "p"})
	g.eventually("the plan waits for a member with two processes", func() bool {
		status := g.status(0)
		return status != nil && status.Plans[0].Reason == "waits until members have it in force: [d1]"
	})
	g.dispatchers[1].set(func() { g.dispatchers[1].siblings = 0 })
	g.eventually("the override at the third member counts against the budget", func() bool {
		return g.waitReason("m1") == "2 machines would be away, 1 may be: runner r0"
	})
	g.dispatchers[2].set(func() { g.dispatchers[2].disabled = false })
	g.eventually("the machine is drained", func() bool {
		return g.command(2, -1, maintenance.Command{Kind: maintenance.CommandClaimMachine, Machine: "m1"}).Code == maintenance.CodeOK
	})
	for i, dispatcher := range g.dispatchers {
		if underMaintenance, leased := dispatcher.restricted(); underMaintenance != 1 || leased != 1 {
			g.t.Errorf("member %d: %d workers under maintenance, %d that need a lease, want 1 and 1", i, underMaintenance, leased)
		}
	}
	g.command(0, maintenance.CodeOK, maintenance.Command{Kind: maintenance.CommandReturnMachine, Machine: "m1"})
	g.eventually("the plan has ended", func() bool {
		_, leased := g.dispatchers[1].restricted()
		return leased == 0
	})
}

// TestCoordinator_YieldsToNewerProcess verifies that an older process yields the membership to a newer one, and acquires it again when the
// newer process ends.
func TestCoordinator_YieldsToNewerProcess(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.startAll()
	g.dispatchers[0].set(func() { g.dispatchers[0].newer = true })
	g.eventually("the address is free and another member leads", func() bool {
		status := g.status(1)
		if status == nil || !status.Confirmed || status.Leader == "d0" {
			return false
		}
		listener, err := net.Listen("tcp", g.addresses[0])
		if err == nil {
			listener.Close()
		}
		return err == nil
	})
	for end := time.Now().Add(4 * membershipInterval); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if g.coordinators[0].node() != nil {
			t.Fatal("the older process acquired the membership while a newer one exists")
		}
	}
	if user := g.users[0]; user.attached.Load() != 1 || user.detached.Load() != 1 {
		t.Errorf("transport user attached %d times and detached %d times, want 1 and 1", user.attached.Load(), user.detached.Load())
	}
	g.dispatchers[0].set(func() { g.dispatchers[0].newer = false })
	g.eventually("the older process takes part again", func() bool {
		node := g.coordinators[0].node()
		return node != nil && node.Status().LeaderID != 0
	})
}

// TestCoordinator_RelaysCalls verifies that another member relays the call of a member that cannot reach the leader.
func TestCoordinator_RelaysCalls(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.start(0)
	g.start(1)
	g.group.Members = slices.Clone(g.group.Members)
	g.group.Members[0].Address = "127.83.7.9:1" // no listener there
	g.start(2)
	g.eventually("the group is created", func() bool { return g.call(0, -1, Call{Bootstrap: true}).Code == maintenance.CodeOK })
	g.eventually("the first member answers the third", func() bool {
		status := g.status(2)
		return status != nil && status.Confirmed && status.Member == "d0" && len(status.Members) == 3
	})
}
