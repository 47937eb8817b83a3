package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"birchfork/internal/config"
	"birchfork/internal/engine"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// fakeDispatcher is a dispatcher that notes what it is told.
type fakeDispatcher struct {
	mu           sync.Mutex
	restrictions engine.Restrictions
	lease        time.Time
	plansUnknown []bool        // each word on it
	maxAttempt   time.Duration // that an attempt may run
	disabled     bool          // the first runner is left out by hand here
	siblings     int           // other processes of this dispatcher ...
	newer        bool          // ... and whether one came after this one
}

func (d *fakeDispatcher) SetRestrictions(g engine.Restrictions) {
	d.mu.Lock()
	d.restrictions = g
	d.mu.Unlock()
}

func (d *fakeDispatcher) SetLeaseExpiry(t time.Time) { d.mu.Lock(); d.lease = t; d.mu.Unlock() }

func (d *fakeDispatcher) SetPlansUnknown(b bool) {
	d.mu.Lock()
	d.plansUnknown = append(d.plansUnknown, b)
	d.mu.Unlock()
}

func (d *fakeDispatcher) SetMaxAttemptDuration(limit time.Duration) {
	d.mu.Lock()
	d.maxAttempt = limit
	d.mu.Unlock()
}

func (d *fakeDispatcher) BusyWorkers() (names, hosts []string) { return nil, nil }

func (d *fakeDispatcher) WorkerStatuses(_, _ time.Duration) (all []engine.WorkerStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range 3 {
		all = append(all, engine.WorkerStatus{Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Zone: "z", Kind: "k", Weight: 1, Disabled: d.disabled && i == 0})
	}
	return all
}

// snapshot reads what it was told.
func (d *fakeDispatcher) snapshot() (restricted, leased int, leaseRuns, plansUnknown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.restrictions.MaintenanceWorkers), len(d.restrictions.LeasedWorkers), time.Now().Before(d.lease), len(d.plansUnknown) > 0 && d.plansUnknown[len(d.plansUnknown)-1]
}

// set changes it.
func (d *fakeDispatcher) set(f func()) { d.mu.Lock(); f(); d.mu.Unlock() }

func (d *fakeDispatcher) siblingProcesses() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.siblings, d.newer
}

func discardLogger() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

// testGroup is three members in one process.
type testGroup struct {
	t            *testing.T
	group        config.Group
	addresses    []string
	dirs         []string
	markers      []string // the witnesses of their disks
	dispatchers  []*fakeDispatcher
	users        []*fakeTransportUser
	coordinators []*Coordinator
}

// fakeTransportUser counts its comings and goings.
type fakeTransportUser struct{ attached, detached atomic.Int32 }

func (u *fakeTransportUser) Attach(*peer.Transport) { u.attached.Add(1) }

func (u *fakeTransportUser) Detach() { u.detached.Add(1) }

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{t: t, group: config.Group{Name: "g", MaintenancePlans: true, LeaseDuration: time.Second}, coordinators: make([]*Coordinator, 3)}
	for i := range 3 { // each of an IP that no connection goes out from: the port stays free
		l, err := net.Listen("tcp", fmt.Sprintf("127.83.7.%d:0", 1+i))
		if err != nil {
			t.Fatal(err)
		}
		g.addresses = append(g.addresses, l.Addr().String())
		l.Close()
		g.group.Members = append(g.group.Members, peer.Member{Name: fmt.Sprint("d", i), Address: g.addresses[i], Voter: true})
		g.dirs, g.markers = append(g.dirs, t.TempDir()), append(g.markers, filepath.Join(t.TempDir(), "mark"))
		g.dispatchers, g.users = append(g.dispatchers, &fakeDispatcher{}), append(g.users, &fakeTransportUser{})
	}
	return g
}

// start starts a member, or starts it again.
func (g *testGroup) start(i int) *Coordinator {
	own := g.group
	own.DataDir = g.dirs[i]
	g.dispatchers[i] = &fakeDispatcher{}
	g.coordinators[i] = Start(Options{
		Group: &own, Self: fmt.Sprint("d", i), Dispatcher: g.dispatchers[i], Siblings: g.dispatchers[i].siblingProcesses,
		TransportUsers: []TransportUser{g.users[i]}, MaxDeadline: 60 * time.Millisecond, MaxDelivery: 40 * time.Millisecond, WarmUp: 100 * time.Millisecond, Log: discardLogger(),
		BootMarkerPath: g.markers[i],
	})
	return g.coordinators[i]
}

func (g *testGroup) close() {
	for _, c := range g.coordinators {
		if c != nil {
			c.Close()
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// bootstrap founds the group, all being there.
func (g *testGroup) bootstrap() {
	g.t.Helper()
	g.eventually("it is founded", func() bool { return g.call(0, -1, Call{Bootstrap: true}).Code == maintenance.CodeOK })
	g.eventually("all vote and have a lease", func() bool {
		status := g.call(0, -1, Call{Status: true}).Status
		votes := 0
		if status != nil {
			for _, m := range status.Members {
				if m.IsVoter && m.LastReport >= 0 {
					votes++
				}
			}
		}
		for _, dispatcher := range g.dispatchers {
			if _, _, runs, blind := dispatcher.snapshot(); !runs || blind {
				return false
			}
		}
		return votes == 3
	})
}

// call makes a call at one member; code -1 takes any answer.
func (g *testGroup) call(member, code int, call Call) *Reply {
	g.t.Helper()
	reply, err := (&Client{Addresses: g.addresses[member : member+1]}).Do(context.Background(), call)
	if err != nil {
		g.t.Fatal(err)
	}
	if code >= 0 && reply.Code != code {
		g.t.Errorf("%+v: %+v, want code %d", call, reply, code)
	}
	return reply
}

func (g *testGroup) eventually(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("not so in time: %s; %+v", what, g.call(0, -1, Call{Status: true}).Status)
		}
	}
}

func (g *testGroup) machinePhase(machine string) (phase maintenance.MachinePhase, reason string) {
	status := g.call(1, -1, Call{Status: true}).Status
	if status == nil || len(status.Plans) == 0 {
		return "", ""
	}
	for _, candidate := range status.Plans[0].Machines {
		if candidate.Name == machine {
			return candidate.Phase, candidate.Reason
		}
	}
	return "", ""
}
