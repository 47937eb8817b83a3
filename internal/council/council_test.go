package council

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"birchfork/internal/agree"
	"birchfork/internal/config"
	"birchfork/internal/group"
	"birchfork/internal/outage"
	"birchfork/internal/store"
)

// hand is a dispatcher that notes what it is told.
type hand struct {
	mu    sync.Mutex
	guard store.Guard
	lease time.Time
	blind bool
	hand  bool // the first runner is left out by hand here
}

func (h *hand) Guard(g store.Guard) { h.mu.Lock(); h.guard = g; h.mu.Unlock() }
func (h *hand) Lease(t time.Time)   { h.mu.Lock(); h.lease = t; h.mu.Unlock() }
func (h *hand) Blind(b bool)        { h.mu.Lock(); h.blind = b; h.mu.Unlock() }
func (h *hand) Busy() []string      { return nil }

func (h *hand) Fleet(_, _ time.Duration) (all []store.Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range 3 {
		all = append(all, store.Seen{Name: fmt.Sprint("r", i), Zone: "z", Kind: "k", Weight: 1, Hand: h.hand && i == 0})
	}
	return all
}

// see reads what it was told.
func (h *hand) see() (away, leased int, runs, blind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.guard.Away), len(h.guard.Leased), time.Now().Before(h.lease), h.blind
}

// room is three members in one process.
type room struct {
	t     *testing.T
	at    []string
	hands []*hand
	all   []*Council
}

func newRoom(t *testing.T) *room {
	var at []string
	for i := range 3 { // each of an IP that no connection goes out from: the port stays free
		l, err := net.Listen("tcp", fmt.Sprintf("127.83.7.%d:0", 1+i))
		if err != nil {
			t.Fatal(err)
		}
		at = append(at, l.Addr().String())
		l.Close()
	}
	g := config.Group{Name: "g", Plans: true, Lease: time.Second}
	for i, a := range at {
		g.Peers = append(g.Peers, group.Peer{Name: fmt.Sprint("d", i), Link: a, Voter: true})
	}
	r := &room{t: t, at: at}
	log, _ := test.NewNullLogger()
	log.SetLevel(logrus.PanicLevel)
	for i := range at {
		own := g
		own.Folder = t.TempDir()
		h := &hand{}
		r.hands = append(r.hands, h)
		r.all = append(r.all, Start(Options{
			Group: &own, Self: fmt.Sprint("d", i), Dispatcher: h, Beside: func() (int, bool) { return 0, false },
			Attempt: 100 * time.Millisecond, Warm: 100 * time.Millisecond, Log: log,
		}))
	}
	return r
}

func (r *room) close() {
	for _, c := range r.all {
		c.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// call makes a call at one member; code -1 takes any answer.
func (r *room) call(member, code int, c Call) *Reply {
	r.t.Helper()
	a, err := (&Client{At: r.at[member : member+1]}).Ask(context.Background(), c)
	if err != nil {
		r.t.Fatal(err)
	}
	if code >= 0 && a.Code != code {
		r.t.Errorf("%+v: %+v, want code %d", c, a, code)
	}
	return a
}

func (r *room) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not so in time: %s; %+v", what, r.call(0, -1, Call{Status: true}).Status)
		}
	}
}

func (r *room) step(machine string) (step outage.Step, why string) {
	s := r.call(1, -1, Call{Status: true}).Status
	if s == nil || len(s.Plans) == 0 {
		return "", ""
	}
	for _, m := range s.Plans[0].Machines {
		if m.Name == machine {
			return m.Step, m.Why
		}
	}
	return "", ""
}

// Three members in one process: any takes calls, what is settled is in force at each, a word at one door counts against the
// budget of all, longer attempts have no lease before they are settled, and nothing is left behind.
func TestThreeMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := newRoom(t)
	defer r.close()
	r.until("it is founded", func() bool { return r.call(0, -1, Call{Found: true}).Code == outage.Yes })
	r.until("all have a lease", func() bool {
		for _, h := range r.hands {
			if _, _, runs, blind := h.see(); !runs || blind {
				return false
			}
		}
		return true
	})
	r.hands[2].mu.Lock()
	r.hands[2].hand = true
	r.hands[2].mu.Unlock()
	plan := &outage.Plan{Name: "p", Out: 1, Overdue: outage.Wait, Machines: []outage.Machine{{Name: "m1", Runners: []string{"r1"}}}}
	unfit := *plan
	unfit.Machines = []outage.Machine{{Name: "m", Runners: []string{"nobody"}}}
	r.call(1, outage.Wrong, Call{Command: &outage.Command{Kind: outage.HandIn, Plan: &unfit}})
	r.call(1, outage.Yes, Call{Command: &outage.Command{Kind: outage.HandIn, Plan: plan}, Check: true})
	r.call(1, outage.Yes, Call{Command: &outage.Command{Kind: outage.HandIn, Plan: plan}})
	r.until("it starts", func() bool {
		return r.call(2, -1, Call{Command: &outage.Command{Kind: outage.Start, Name: "p"}}).Code == outage.Yes
	})
	r.until("a word at the third door stands in its way", func() bool {
		_, why := r.step("m1")
		return why == "2 machines would be away, 1 may be: runner r0"
	})
	r.hands[2].mu.Lock()
	r.hands[2].hand = false
	r.hands[2].mu.Unlock()
	r.until("it is clear", func() bool {
		return r.call(2, -1, Call{Command: &outage.Command{Kind: outage.Take, Machine: "m1"}}).Code == outage.Yes
	})
	for i, h := range r.hands {
		if away, leased, _, _ := h.see(); away != 1 || leased != 1 {
			t.Errorf("at member %d: %d away, %d under the lease", i, away, leased)
		}
	}
	h, bound := r.hands[1], r.call(1, -1, Call{Status: true}).Status.Bounds.Settled
	r.all[1].Stretch(time.Minute)
	if _, _, runs, _ := h.see(); runs {
		t.Error("a lease for attempts that the group does not wait for")
	}
	r.until("the longer attempts are settled", func() bool { _, _, runs, _ := h.see(); return runs })
	if now := r.call(1, -1, Call{Status: true}).Status.Bounds.Settled; now <= bound {
		t.Errorf("a silent member is waited for %v, before %v", now, bound)
	}
	r.call(0, outage.Yes, Call{Command: &outage.Command{Kind: outage.Return, Machine: "m1"}})
	r.until("the plan is through", func() bool {
		_, leased, _, _ := h.see()
		return leased == 0
	})
}

// A member that starts with a disk trusts it only if the group has spoken to that life: one with a vote and no plan yet has
// missed what it was taken in for.
func TestADiskIsTrustedOnceTheGroupHasSpoken(t *testing.T) {
	for _, heard := range []bool{false, true} {
		g := config.Group{Name: "g", Plans: true, Lease: time.Second, Folder: t.TempDir(), Peers: []group.Peer{
			{Name: "d0", Link: "127.83.8.1:0"}, {Name: "d1", Link: "127.83.8.2:1"},
		}}
		d, err := agree.OpenDisk(g.Folder, agree.Identity{Group: "g", Name: "d0", Life: "l", ID: 7})
		if err == nil {
			err = agree.Found(d, "f", []byte(`{"seq":3}`))
		}
		if err == nil && heard {
			err = d.Hear()
		}
		if err = errors.Join(err, d.Close()); err != nil {
			t.Fatal(err)
		}
		log, _ := test.NewNullLogger()
		h := &hand{}
		c := Start(Options{
			Group: &g, Self: "d0", Dispatcher: h, Beside: func() (int, bool) { return 0, false }, Attempt: time.Second, Log: log,
		})
		for end := time.Now().Add(10 * time.Second); c.agreement() == nil && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		c.Close() // from here nothing changes
		if _, _, _, blind := h.see(); blind == heard {
			t.Errorf("the group has spoken: %t; blind: %t", heard, blind)
		}
	}
}
