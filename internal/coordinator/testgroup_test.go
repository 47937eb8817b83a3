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

// fakeDispatcher records the values set by a Coordinator.
type fakeDispatcher struct {
	mu                 sync.Mutex
	restrictions       engine.Restrictions
	leaseExpiry        time.Time
	plansUnknown       []bool // values of SetPlansUnknown, in order
	maxAttemptDuration time.Duration
	disabled           bool // an operator has disabled the first worker at this dispatcher
	siblings           int  // other processes of this dispatcher
	newer              bool // one of these processes is newer than this one
}

func (d *fakeDispatcher) SetRestrictions(restrictions engine.Restrictions) {
	d.set(func() { d.restrictions = restrictions })
}

func (d *fakeDispatcher) SetLeaseExpiry(expiry time.Time) {
	d.set(func() { d.leaseExpiry = expiry })
}

func (d *fakeDispatcher) SetPlansUnknown(unknown bool) {
	d.set(func() { d.plansUnknown = append(d.plansUnknown, unknown) })
}

func (d *fakeDispatcher) SetMaxAttemptDuration(limit time.Duration) {
	d.set(func() { d.maxAttemptDuration = limit })
}

func (d *fakeDispatcher) BusyWorkers() (names, hosts []string) { return nil, nil }

func (d *fakeDispatcher) WorkerStatuses(_, _ time.Duration) (all []engine.WorkerStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range 3 {
		all = append(all, engine.WorkerStatus{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Zone: "z", Kind: "k", Weight: 1, Disabled: d.disabled && i == 0,
		})
	}
	return all
}

// restricted returns the number of workers under maintenance and the number that need a lease.
func (d *fakeDispatcher) restricted() (underMaintenance, leased int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.restrictions.MaintenanceWorkers), len(d.restrictions.LeasedWorkers)
}

// hasLease reports whether a lease is in effect.
func (d *fakeDispatcher) hasLease() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.leaseExpiry)
}

// hasUnknownPlans reports whether the last call of SetPlansUnknown was with true.
func (d *fakeDispatcher) hasUnknownPlans() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.plansUnknown) > 0 && d.plansUnknown[len(d.plansUnknown)-1]
}

// set calls f with the lock held.
func (d *fakeDispatcher) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *fakeDispatcher) siblingProcesses() (alive int, newer bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.siblings, d.newer
}

// fakeTransportUser counts the calls of its methods.
type fakeTransportUser struct{ attached, detached atomic.Int32 }

func (u *fakeTransportUser) Attach(*peer.Transport) { u.attached.Add(1) }

func (u *fakeTransportUser) Detach() { u.detached.Add(1) }

func discardLogger() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

// testGroup is a group of three members in one process.
type testGroup struct {
	t            *testing.T
	group        config.Group
	addresses    []string
	dirs         []string
	markers      []string // paths of boot markers
	dispatchers  []*fakeDispatcher
	users        []*fakeTransportUser
	coordinators []*Coordinator // nil if not started or already closed
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{
		t:            t,
		group:        config.Group{Name: "g", MaintenancePlans: true, LeaseDuration: time.Second},
		coordinators: make([]*Coordinator, 3),
	}
	for i := range g.coordinators {
		// Each member has its own IP, which no outgoing connection uses, so that the port stays free.
		listener, err := net.Listen("tcp", fmt.Sprintf("127.83.7.%d:0", 1+i))
		if err != nil {
			t.Fatal(err)
		}
		g.addresses = append(g.addresses, listener.Addr().String())
		listener.Close()
		g.group.Members = append(g.group.Members, peer.Member{Name: fmt.Sprint("d", i), Address: g.addresses[i], Voter: true})
		g.dirs = append(g.dirs, t.TempDir())
		g.markers = append(g.markers, filepath.Join(t.TempDir(), "mark"))
		g.dispatchers = append(g.dispatchers, &fakeDispatcher{})
		g.users = append(g.users, &fakeTransportUser{})
	}
	return g
}

// start starts or restarts a member with a new dispatcher.
func (g *testGroup) start(i int) *Coordinator {
	own := g.group
	own.DataDir = g.dirs[i]
	g.dispatchers[i] = &fakeDispatcher{}
	g.coordinators[i] = Start(Options{
		Group:          &own,
		Self:           fmt.Sprint("d", i),
		Dispatcher:     g.dispatchers[i],
		Siblings:       g.dispatchers[i].siblingProcesses,
		MaxDeadline:    60 * time.Millisecond,
		MaxDelivery:    40 * time.Millisecond,
		WarmUp:         100 * time.Millisecond,
		BootMarkerPath: g.markers[i],
		TransportUsers: []TransportUser{g.users[i]},
		Log:            discardLogger(),
	})
	return g.coordinators[i]
}

// startAll starts all members and creates the group.
func (g *testGroup) startAll() {
	g.t.Helper()
	for i := range g.coordinators {
		g.start(i)
	}
	g.bootstrap()
}

func (g *testGroup) close() {
	for _, c := range g.coordinators {
		if c != nil {
			c.Close()
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// bootstrap creates the group at the first member, and waits until all three members vote and have a lease.
func (g *testGroup) bootstrap() {
	g.t.Helper()
	g.eventually("the group is created", func() bool { return g.call(0, -1, Call{Bootstrap: true}).Code == maintenance.CodeOK })
	g.eventually("all members vote and have a lease", func() bool {
		votes := 0
		if status := g.status(0); status != nil {
			for _, member := range status.Members {
				if member.IsVoter && member.LastReportAge >= 0 {
					votes++
				}
			}
		}
		for _, dispatcher := range g.dispatchers {
			if !dispatcher.hasLease() || dispatcher.hasUnknownPlans() {
				return false
			}
		}
		return votes == 3
	})
}

// call sends a call to one member and checks the code of the reply. Code -1 accepts any reply.
func (g *testGroup) call(member int, code maintenance.Code, call Call) *Reply {
	g.t.Helper()
	client := &Client{Addresses: g.addresses[member : member+1]}
	reply, err := client.Do(context.Background(), call)
	if err != nil {
		g.t.Fatal(err)
	}
	if code >= 0 && reply.Code != code {
		g.t.Errorf("%+v: %+v, want code %d", call, reply, code)
	}
	return reply
}

// command sends a call with a command to one member.
func (g *testGroup) command(member int, code maintenance.Code, command maintenance.Command) *Reply {
	g.t.Helper()
	return g.call(member, code, Call{Command: &command})
}

// status returns the status in one member's reply, or nil if there is none.
func (g *testGroup) status(member int) *Status {
	g.t.Helper()
	return g.call(member, -1, Call{Status: true}).Status
}

// eventually waits until condition returns true, and fails the test if that takes more than 20 s.
func (g *testGroup) eventually(what string, condition func() bool) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("timed out after 20 s: %s; status %+v", what, g.status(0))
		}
	}
}

// waitReason returns what a machine of the first plan is waiting for.
func (g *testGroup) waitReason(machine string) string {
	g.t.Helper()
	status := g.status(1)
	if status == nil || len(status.Plans) == 0 {
		return ""
	}
	for _, candidate := range status.Plans[0].Machines {
		if candidate.Name == machine {
			return candidate.Reason
		}
	}
	return ""
}
