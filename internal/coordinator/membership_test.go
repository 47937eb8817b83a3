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

// What keeps a process that is alone from taking part is told by key; a folder that the system refuses does not.
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
			t.Errorf("%q is not in: %v", want, err)
		}
	}
	notADir := filepath.Join(g.dirs[1], "file")
	if err := os.WriteFile(notADir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	g.group.DataDir = notADir // no folder can be there
	if err := Check(options); err != nil {
		t.Error(err)
	}
	g.dirs[1] = notADir
	g.start(1)
	g.eventually("it speaks", func() bool { return g.call(1, -1, Call{Status: true, Local: true}).Status != nil })
}

// A member whose disk is older than what its life has said begins another: it votes and sends by nothing that it has, nothing
// goes to its old life, and that is granted nothing. One that was retired is missed before a plan starts.
func TestCoordinator_StaleDiskBeginsNewIncarnation(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	for i := range g.coordinators {
		g.start(i)
	}
	g.bootstrap()
	file := filepath.Join(g.dirs[2], "group.db")
	pastIncarnation := g.coordinators[2].sender().Incarnation
	g.coordinators[2].Close()
	staleFile, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	g.start(2)
	g.eventually("it is back", func() bool { _, _, runs, _ := g.dispatchers[2].snapshot(); return runs })
	g.call(0, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: testPlan}})
	g.eventually("it has heard of the plan", func() bool {
		s := g.call(2, -1, Call{Status: true, Local: true}).Status
		return s != nil && len(s.Plans) == 1
	})
	g.coordinators[2].Close()
	if err := os.WriteFile(file, staleFile, 0o600); err != nil {
		t.Fatal(err)
	}
	c := g.coordinators[0]
	c.mu.Lock()
	member := c.state.Members["d2"]
	id := member.RaftID
	c.mu.Unlock()
	g.start(2)
	g.eventually("it has another life", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.state.Members["d2"].Incarnation != pastIncarnation
	})
	g.eventually("it has a lease", func() bool { _, _, runs, plansUnknown := g.dispatchers[2].snapshot(); return runs && !plansUnknown })
	g.dispatchers[2].set(func() {
		if history := fmt.Sprint(g.dispatchers[2].plansUnknown); !strings.HasPrefix(history, "[true true") {
			t.Errorf("blind: %s; by the old disk it sent", history)
		}
	})
	if !c.isPastIncarnation("d2", pastIncarnation) || c.memberName(id) != "" {
		t.Errorf("its earlier life is known: %t, and has a name: %q", c.isPastIncarnation("d2", pastIncarnation), c.memberName(id))
	}
	for i := range g.coordinators {
		if g.coordinators[i].isLeader() {
			raw, _ := json.Marshal(statusReport{Name: "d2", MemberReport: maintenance.MemberReport{Incarnation: pastIncarnation}})
			if _, err := g.coordinators[i].handleReport(context.Background(), peer.Sender{}, raw); !errors.Is(err, errUnknownIncarnation) {
				t.Errorf("its earlier life: %v", err)
			}
		}
	}
	g.coordinators[2].Close()
	g.call(0, maintenance.CodeOK, Call{Command: &maintenance.Command{Kind: maintenance.CommandRetireMember, Name: "d2"}})
	if reply := g.call(1, maintenance.CodeRetryLater, Call{Command: &maintenance.Command{Kind: maintenance.CommandStartPlan, Name: "p"}}); reply.Text != "not in the group yet: d2" {
		t.Errorf("a start without a member of the file: %+v", reply)
	}
}

// A member that starts with a disk trusts it only if the group has spoken to that life: one with a vote and no plan yet has
// missed what it was taken in for.
func TestCoordinator_TrustsConfirmedDisk(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		groupConfig := config.Group{Name: "g", MaintenancePlans: true, LeaseDuration: time.Second, DataDir: t.TempDir(), Members: []peer.Member{
			{Name: "d0", Address: "127.83.8.1:0", Voter: true}, {Name: "d1", Address: "127.83.8.2:1"},
		}}
		storage, err := consensus.OpenStorage(groupConfig.DataDir, consensus.Identity{Group: "g", Name: "d0", Incarnation: "l", RaftID: 7})
		if err == nil {
			err = consensus.Bootstrap(storage, "f", []byte(`{"seq":3}`))
		}
		if err == nil && confirmed {
			err = storage.MarkConfirmed()
		}
		if err = errors.Join(err, storage.Close()); err != nil {
			t.Fatal(err)
		}
		dispatcher := &fakeDispatcher{}
		c := Start(Options{
			Group: &groupConfig, Self: "d0", Dispatcher: dispatcher, Siblings: func() (int, bool) { return 0, false }, MaxDeadline: time.Second, Log: discardLogger(),
		})
		diskConfirmed := false // nobody else can tell whether the disk is its last one
		for end := time.Now().Add(10 * time.Second); c.node() == nil && time.Now().Before(end); {
			diskConfirmed = diskConfirmed || c.confirmDisk().Code == maintenance.CodeOK
			time.Sleep(time.Millisecond)
		}
		c.Close() // from here nothing changes
		if _, _, _, plansUnknown := dispatcher.snapshot(); plansUnknown == confirmed {
			t.Errorf("the group has spoken: %t; blind: %t", confirmed, plansUnknown)
		}
	}
}
