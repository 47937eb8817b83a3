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

var testPlan = &maintenance.Plan{Name: "p", MaxUnavailable: 1, OnOverdue: maintenance.OverdueWait, Machines: []maintenance.Machine{{Name: "m1", Workers: []string{"r1"}}}}

// Three members in one process: any takes calls, what is settled is in force at each, a word at one door counts against the
// budget of all, and nothing is left behind.
func TestCoordinator_ThreeMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newTestGroup(t)
	defer g.close()
	g.start(0)
	g.start(1)
	// One that does not answer may be in the group: it is not founded, and nobody takes it that there are no plans.
	g.eventually("it is told who does not answer", func() bool {
		reply := g.call(0, -1, Call{Bootstrap: true})
		return reply.Code == maintenance.CodeRetryLater && strings.Contains(reply.Text, "d2: ")
	})
	time.Sleep(2 * joinInterval)
	if _, _, _, plansUnknown := g.dispatchers[0].snapshot(); !plansUnknown {
		t.Error("it sends though one that may know of plans is silent")
	}
	g.start(2)
	g.eventually("all are in no group", func() bool { _, _, _, plansUnknown := g.dispatchers[0].snapshot(); return !plansUnknown })
	g.bootstrap()
	g.dispatchers[2].set(func() { g.dispatchers[2].disabled = true })
	g.dispatchers[1].set(func() { g.dispatchers[1].siblings = 1 })
	unfit := *testPlan
	unfit.Machines = []maintenance.Machine{{Name: "m", Workers: []string{"nobody", "r1"}}, {Name: "h", Host: "h1"}, {Name: "k", Host: "nowhere"}}
	reply := g.call(1, maintenance.CodeInvalid, Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: &unfit}})
	for _, want := range []string{`machine[0].runners: "nobody"`, `"r1" is at the host of machine[1]`, `machine[2].host: no runner is listed at "nowhere"`} {
		if !strings.Contains(reply.Text, want) {
			t.Errorf("%q is not in %q", want, reply.Text)
		}
	}
	g.call(1, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan}, Check: true})
	g.call(1, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan}})
	g.call(2, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandStartPlan, Name: "p"}})
	g.eventually("it waits for one with two processes", func() bool {
		s := g.call(0, -1, Call{Status: true}).Status
		return s != nil && s.Plans[0].Reason == "waits until members have it in force: [d1]"
	})
	g.dispatchers[1].set(func() { g.dispatchers[1].siblings = 0 })
	g.eventually("a word at the third door stands in its way", func() bool {
		_, why := g.machinePhase("m1")
		return why == "2 machines would be away, 1 may be: runner r0"
	})
	g.dispatchers[2].set(func() { g.dispatchers[2].disabled = false })
	g.eventually("it is clear", func() bool {
		return g.call(2, -1, Call{Command: &maintenance.Command{Kind: maintenance.CommandClaimMachine, Machine: "m1"}}).Code == maintenance.CodeOK
	})
	for i, dispatcher := range g.dispatchers {
		if away, leased, _, _ := dispatcher.snapshot(); away != 1 || leased != 1 {
			t.Errorf("at member %d: %d away, %d under the lease", i, away, leased)
		}
	}
	g.call(0, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandReturnMachine, Machine: "m1"}})
	g.eventually("the plan is through", func() bool { _, leased, _, _ := g.dispatchers[1].snapshot(); return leased == 0 })
}

// A newer process of the dispatcher gets the place in the group, and the one before takes it again if that goes.
func TestCoordinator_YieldsToNewerProcess(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	for i := range g.coordinators {
		g.start(i)
	}
	g.bootstrap()
	g.dispatchers[0].set(func() { g.dispatchers[0].newer = true })
	g.eventually("its place is free, and another leads", func() bool {
		if s := g.call(1, -1, Call{Status: true}).Status; s == nil || !s.Confirmed || s.Leader == "d0" {
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
			t.Fatal("it has taken its place again beside a newer one")
		}
	}
	if user := g.users[0]; user.attached.Load() != 1 || user.detached.Load() != 1 {
		t.Errorf("its guest came %d times and left %d times", user.attached.Load(), user.detached.Load())
	}
	g.dispatchers[0].set(func() { g.dispatchers[0].newer = false })
	g.eventually("it speaks again", func() bool { node := g.coordinators[0].node(); return node != nil && node.Status().LeaderID != 0 })
}

// Who cannot reach the leader is heard through another member.
func TestCoordinator_RelaysCalls(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.start(0)
	g.start(1)
	g.group.Members = slices.Clone(g.group.Members)
	g.group.Members[0].Address = "127.83.7.9:1" // nobody is there
	g.start(2)
	g.eventually("it is founded", func() bool { return g.call(0, -1, Call{Bootstrap: true}).Code == maintenance.CodeOK })
	g.eventually("the third is answered by the first", func() bool {
		s := g.call(2, -1, Call{Status: true}).Status
		return s != nil && s.Confirmed && s.Member == "d0" && len(s.Members) == 3
	})
}
