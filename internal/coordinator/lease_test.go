package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"birchfork/internal/peer"
)

// What a lease rests on: all that it knows is in force, the group waits for as long as our attempts run, and a quorum has said
// that the one that grants it leads still.
func TestLease_Preconditions(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	for i := range g.coordinators {
		g.start(i)
	}
	g.bootstrap()
	dispatcher, fenceTimeout := g.dispatchers[1], g.call(1, -1, Call{Status: true}).Status.Bounds.FenceTimeout
	if want := (time.Second + 100*time.Millisecond) * 101 / 100; fenceTimeout != want {
		t.Errorf("a silent member is waited for %v, want lease and attempt with the drift, %v", fenceTimeout, want)
	}
	if !g.coordinators[1].statusReport().SoleProcess {
		t.Error("it is not alone though it has run for longer than attempts may")
	}
	g.coordinators[1].ExtendTimes(time.Minute, time.Second, 0)
	if g.coordinators[1].statusReport().SoleProcess {
		t.Error("a process before may have left an attempt that runs still")
	}
	for i, want := range []time.Duration{60 * time.Millisecond, time.Minute} {
		g.dispatchers[i].set(func() {
			if g.dispatchers[i].maxAttempt != want {
				t.Errorf("attempts of member %d may run for %v, want %v", i, g.dispatchers[i].maxAttempt, want)
			}
		})
	}
	if _, _, runs, _ := dispatcher.snapshot(); runs {
		t.Error("a lease for attempts that the group does not wait for")
	}
	g.eventually("the longer attempts are settled", func() bool { _, _, runs, _ := dispatcher.snapshot(); return runs })
	if now := g.call(1, -1, Call{Status: true}).Status.Bounds.FenceTimeout; now <= fenceTimeout {
		t.Errorf("a silent member is waited for %v, before %v", now, fenceTimeout)
	}
	c := g.coordinators[0]
	sent, startedAt := c.statusReport(), time.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.acceptLease(ctx, sent, startedAt, leaseGrant{Index: sent.Applied + 1000}); err == nil {
		t.Error("a lease that knows more than is in force")
	}
	sent.FenceTimeout--
	if err := c.acceptLease(context.Background(), sent, startedAt, leaseGrant{}); !errors.Is(err, errFenceTimeout) {
		t.Errorf("a lease for attempts that have become longer since: %v", err)
	}
	dispatcher = g.dispatchers[0]
	dispatcher.set(func() {
		if dispatcher.lease.After(time.Now().Add(time.Minute)) {
			t.Error("it was taken all the same")
		}
	})
	g.eventually("the first member leads", func() bool { return c.isLeader() || g.call(0, -1, Call{Status: true}).Status.Leader == "d0" })
	g.coordinators[1].Close()
	g.coordinators[2].Close()
	g.coordinators[1], g.coordinators[2] = nil, nil
	raw, err := json.Marshal(c.statusReport())
	if err != nil {
		t.Fatal(err)
	}
	if !c.isLeader() {
		t.Fatal("it knows already that it does not lead")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if out, err := c.handleReport(ctx, peer.Sender{}, raw); err == nil {
		t.Errorf("granted without a quorum: %s", out)
	}
	c.Close()
	g.start(1)
	g.eventually("it sends by its disk, though nobody is there", func() bool { _, _, _, plansUnknown := g.dispatchers[1].snapshot(); return !plansUnknown })
}
