package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"birchfork/internal/peer"
)

// A lease requires that the member has applied the entries up to the grant's index, that the group waits for as long as attempts of the
// member may run, and that a quorum has confirmed the leader that grants it.
func TestLease_Preconditions(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.startAll()
	checkLongerAttempts(g)
	checkAcceptLease(g)
	checkGrantNeedsQuorum(g)
	g.start(1)
	g.eventually("it trusts its disk, though nobody else is there", func() bool { return !g.dispatchers[1].hasUnknownPlans() })
}

// checkLongerAttempts extends the second member's attempts: it has no lease until the group waits for as long.
func checkLongerAttempts(g *testGroup) {
	g.t.Helper()
	dispatcher := g.dispatchers[1]
	fenceTimeout := g.status(1).Bounds.FenceTimeout
	if want := (time.Second + 100*time.Millisecond) * 101 / 100; fenceTimeout != want {
		g.t.Errorf("the group waits %v for a silent member, want lease and attempt with the drift, %v", fenceTimeout, want)
	}
	if !g.coordinators[1].statusReport().SoleProcess {
		g.t.Error("not the sole process though it has run for longer than attempts may")
	}
	g.coordinators[1].ExtendTimes(time.Minute, time.Second, 0)
	if g.coordinators[1].statusReport().SoleProcess {
		g.t.Error("the sole process though an earlier one may have left an attempt that still runs")
	}
	for i, want := range []time.Duration{60 * time.Millisecond, time.Minute} {
		g.dispatchers[i].set(func() {
			if g.dispatchers[i].maxAttemptDuration != want {
				g.t.Errorf("attempts of member %d may run for %v, want %v", i, g.dispatchers[i].maxAttemptDuration, want)
			}
		})
	}
	if dispatcher.hasLease() {
		g.t.Error("a lease for attempts that the group does not wait for")
	}
	g.eventually("the longer attempts are committed", dispatcher.hasLease)
	if now := g.status(1).Bounds.FenceTimeout; now <= fenceTimeout {
		g.t.Errorf("the group waits %v for a silent member, before %v", now, fenceTimeout)
	}
}

// checkAcceptLease gives the first member leases that it must not accept.
func checkAcceptLease(g *testGroup) {
	g.t.Helper()
	c, dispatcher := g.coordinators[0], g.dispatchers[0]
	sent, startedAt := c.statusReport(), time.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.acceptLease(ctx, sent, startedAt, leaseGrant{Index: sent.Applied + 1000}); err == nil {
		g.t.Error("a lease that rests on entries that are not applied")
	}
	sent.FenceTimeout--
	if err := c.acceptLease(context.Background(), sent, startedAt, leaseGrant{}); !errors.Is(err, errFenceTimeout) {
		g.t.Errorf("a lease for attempts that have become longer since: %v", err)
	}
	dispatcher.set(func() {
		if dispatcher.lease.After(time.Now().Add(time.Minute)) {
			g.t.Error("a lease was set although it was refused")
		}
	})
}

// checkGrantNeedsQuorum closes all members but the first, which leads. It is not aware of that yet, and must not grant a lease.
func checkGrantNeedsQuorum(g *testGroup) {
	g.t.Helper()
	c := g.coordinators[0]
	g.eventually("the first member leads", func() bool { return c.isLeader() || g.status(0).Leader == "d0" })
	g.coordinators[1].Close()
	g.coordinators[2].Close()
	g.coordinators[1], g.coordinators[2] = nil, nil
	raw, err := json.Marshal(c.statusReport())
	if err != nil {
		g.t.Fatal(err)
	}
	if !c.isLeader() {
		g.t.Fatal("it knows already that it does not lead")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if grant, err := c.handleReport(ctx, peer.Sender{}, raw); err == nil {
		g.t.Errorf("granted without a quorum: %s", grant)
	}
	c.Close()
}
