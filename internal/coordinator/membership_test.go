package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchfork/internal/config"
	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// TestCheck_ReportsByKey verifies that the errors of Check name the key in the operator's file, and that an error of the operating system
// for the directory is ignored.
func TestCheck_ReportsByKey(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	options := Options{Group: &g.group, Self: "d1", Log: discardLogger()}
	g.group.DataDir = g.dirs[0]
	if err := Check(options); err != nil {
		t.Error(err)
	}
	other := options
	other.Self = "d2"
	listener, err := net.Listen("tcp", g.addresses[2])
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	err = Check(other)
	for _, want := range []string{"group.member[2].link: ", "group.folder: ", `member "d1"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q: %v", want, err)
		}
	}
	notADir := filepath.Join(g.dirs[1], "file")
	if err := os.WriteFile(notADir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	g.group.DataDir = notADir
	if err := Check(options); err != nil {
		t.Error(err)
	}
	g.dirs[1] = notADir
	g.start(1)
	g.eventually("the member takes part", func() bool { return g.call(1, -1, Call{Status: true, Local: true}).Status != nil })
}

// TestCoordinator_StaleDiskBeginsNewIncarnation verifies that a member whose disk is behind what its incarnation has promised begins a new
// incarnation instead of voting and sending based on the stale disk, and that the past incarnation gets no messages and no lease. It also
// verifies that no plan starts while a listed member is retired.
func TestCoordinator_StaleDiskBeginsNewIncarnation(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	g.startAll()
	pastIncarnation := g.coordinators[2].sender().Incarnation
	c := g.coordinators[0]
	restartWithStaleDisk(g)
	c.mu.Lock()
	pastID := c.state.Members["d2"].RaftID
	c.mu.Unlock()
	g.start(2)
	g.eventually("the member has a new incarnation", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.state.Members["d2"].Incarnation != pastIncarnation
	})
	g.eventually("the new incarnation has a lease", func() bool { return g.dispatchers[2].hasLease() && !g.dispatchers[2].hasUnknownPlans() })
	g.dispatchers[2].set(func() {
		if history := fmt.Sprint(g.dispatchers[2].plansUnknown); !strings.HasPrefix(history, "[true true") {
			t.Errorf("values of SetPlansUnknown: %s, want true twice first; the member trusted the stale disk", history)
		}
	})
	if !c.isPastIncarnation("d2", pastIncarnation) || c.memberName(pastID) != "" {
		t.Errorf("past incarnation is known: %t, want true; its raft ID has the name %q, want none", c.isPastIncarnation("d2", pastIncarnation), c.memberName(pastID))
	}
	for i := range g.coordinators {
		if g.coordinators[i].isLeader() {
			checkReportRejected(t, g.coordinators[i], pastIncarnation)
		}
	}
	g.coordinators[2].Close()
	g.command(0, maintenance.CodeOK, maintenance.Command{Kind: maintenance.CommandRetireMember, Name: "d2"})
	reply := g.command(1, maintenance.CodeRetryLater, maintenance.Command{Kind: maintenance.CommandStartPlan, Name: "p"})
	if reply.Text != "not in the group yet: d2" {
		t.Errorf("start of a plan without a listed member: got %+v, want the text \"not in the group yet: d2\"", reply)
	}
}

// restartWithStaleDisk restarts the third member, submits a plan, closes the member and restores the file from before the restart.
func restartWithStaleDisk(g *testGroup) {
	g.t.Helper()
	file := filepath.Join(g.dirs[2], "group.db")
	g.coordinators[2].Close()
	stale, err := os.ReadFile(file)
	if err != nil {
		g.t.Fatal(err)
	}
	g.start(2)
	g.eventually("the third member has a lease again", g.dispatchers[2].hasLease)
	g.command(0, maintenance.CodeOK, maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan})
	g.eventually("the third member has the plan", func() bool {
		status := g.call(2, -1, Call{Status: true, Local: true}).Status
		return status != nil && len(status.Plans) == 1
	})
	g.coordinators[2].Close()
	if err := os.WriteFile(file, stale, 0o600); err != nil {
		g.t.Fatal(err)
	}
}

// checkReportRejected checks that the leader rejects a report from a past incarnation of the third member.
func checkReportRejected(t *testing.T, leader *Coordinator, pastIncarnation string) {
	t.Helper()
	raw, err := json.Marshal(statusReport{Name: "d2", MemberReport: maintenance.MemberReport{Incarnation: pastIncarnation}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := leader.handleReport(context.Background(), peer.Sender{}, raw); !errors.Is(err, errUnknownIncarnation) {
		t.Errorf("report from a past incarnation: got error %v, want errUnknownIncarnation", err)
	}
}

// TestCoordinator_TrustsConfirmedDisk verifies that a starting member only trusts its disk if the group has confirmed the incarnation. An
// unconfirmed disk may have a vote but lack the group's plans.
func TestCoordinator_TrustsConfirmedDisk(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		groupConfig := config.Group{
			Name:             "g",
			MaintenancePlans: true,
			LeaseDuration:    time.Second,
			DataDir:          t.TempDir(),
			Members: []peer.Member{
				{Name: "d0", Address: "127.83.8.1:0", Voter: true}, {Name: "d1", Address: "127.83.8.2:1"},
			},
		}
		writeStorage(t, groupConfig.DataDir, consensus.Identity{Group: "g", Name: "d0", Incarnation: "l", RaftID: 7}, confirmed)
		dispatcher := &fakeDispatcher{}
		c := Start(Options{
			Group:       &groupConfig,
			Self:        "d0",
			Dispatcher:  dispatcher,
			Siblings:    func() (int, bool) { return 0, false },
			MaxDeadline: time.Second,
			Log:         discardLogger(),
		})
		diskConfirmed := false // no other member can verify the disk
		for end := time.Now().Add(10 * time.Second); c.node() == nil && time.Now().Before(end); {
			diskConfirmed = diskConfirmed || c.confirmDisk().Code == maintenance.CodeOK
			time.Sleep(time.Millisecond)
		}
		c.Close() // nothing changes after this
		if hasUnknownPlans := dispatcher.hasUnknownPlans(); hasUnknownPlans == confirmed {
			t.Errorf("incarnation confirmed: %t, plans unknown: %t, want exactly one of them", confirmed, hasUnknownPlans)
		}
	}
}

// writeStorage writes storage of a member that has created a group.
func writeStorage(t *testing.T, dir string, identity consensus.Identity, confirmed bool) {
	t.Helper()
	storage, err := consensus.OpenStorage(dir, identity)
	if err != nil {
		t.Fatal(err)
	}
	err = consensus.Bootstrap(storage, "f", []byte(`{"seq":3}`))
	if err == nil && confirmed {
		err = storage.MarkConfirmed()
	}
	if err = errors.Join(err, storage.Close()); err != nil {
		t.Fatal(err)
	}
}
