package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"birchfork/internal/peer"
)

// TestLease_Preconditions verifies that a lease requires that the member has applied the entries up to the grant's index, that the group's
// fence timeout covers the member's attempts, and that a quorum has confirmed the granting leader.
func TestLease_Preconditions(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.startAll()
	checkLongerAttempts(g)
	checkAcceptLease(g)
	checkGrantNeedsQuorum(g)
	g.start(1)
	g.eventually("the member trusts its disk although no other member is running", func() bool { return !g.dispatchers[1].hasUnknownPlans() })
}

// checkLongerAttempts extends the second member's attempts, and checks that it has no lease until the group's fence timeout covers them.
func checkLongerAttempts(g *testGroup) {
	g.t.Helper()
	dispatcher := g.dispatchers[1]
	fenceTimeout := g.status(1).Bounds.FenceTimeout
	if want := (time.Second + 100*time.Millisecond) * 101 / 100; fenceTimeout != want {
		g.t.Errorf("the group waits %v for a silent member, want lease, attempt and clock drift, %v", fenceTimeout, want)
	}
	if !g.coordinators[1].statusReport().SoleProcess {
		g.t.Error("not the sole process although it has run for longer than any attempt")
	}
	g.coordinators[1].ExtendTimes(time.Minute, time.Second, 0)
	if g.coordinators[1].statusReport().SoleProcess {
		g.t.Error("the sole process although an attempt of an earlier process may still run")
	}
	for i, want := range []time.Duration{60 * time.Millisecond, time.Minute} {
		g.dispatchers[i].set(func() {
			if g.dispatchers[i].maxAttemptDuration != want {
				g.t.Errorf("attempts of member %d are limited to %v, want %v", i, g.dispatchers[i].maxAttemptDuration, want)
			}
		})
	}
	if dispatcher.hasLease() {
		g.t.Error("the member has a lease although the group does not wait for its attempts")
	}
	g.eventually("the longer fence timeout is committed", dispatcher.hasLease)
	if now := g.status(1).Bounds.FenceTimeout; now <= fenceTimeout {
		g.t.Errorf("the group waits %v for a silent member, want more than %v", now, fenceTimeout)
	}
}

// checkAcceptLease checks that the first member rejects leases that it must not accept.
func checkAcceptLease(g *testGroup) {
	g.t.Helper()
	c, dispatcher := g.coordinators[0], g.dispatchers[0]
	sent, startedAt := c.statusReport(), time.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.acceptLease(ctx, sent, startedAt, leaseGrant{Index: sent.Applied + 1000}); err == nil {
		g.t.Error("lease accepted although the required entries are not applied")
	}
	sent.FenceTimeout--
	if err := c.acceptLease(context.Background(), sent, startedAt, leaseGrant{}); !errors.Is(err, errFenceTimeout) {
		g.t.Errorf("lease for attempts that have become longer since the report: got error %v, want errFenceTimeout", err)
	}
	dispatcher.set(func() {
		if dispatcher.leaseExpiry.After(time.Now().Add(time.Minute)) {
			g.t.Error("a rejected lease was set")
		}
	})
}

// checkGrantNeedsQuorum closes all members except the first, which is the leader. It has not detected the loss of its quorum yet, and must
// not grant a lease.
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
		g.t.Fatal("the first member has stepped down before the check")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if grant, err := c.handleReport(ctx, peer.Sender{}, raw); err == nil {
		g.t.Errorf("lease granted without a quorum: %s", grant)
	}
	c.Close()
}
