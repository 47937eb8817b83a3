package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"birchfork/internal/config"
	"birchfork/internal/consensus"
	"birchfork/internal/engine"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// hand is a dispatcher that notes what it is told.
type hand struct {
	mu    sync.Mutex
	guard engine.Guard
	lease time.Time
	blind []bool        // each word on it
	most  time.Duration // that an attempt may run
	hand  bool          // the first runner is left out by hand here
	alive int           // other processes of this dispatcher ...
	newer bool          // ... and whether one came after this one
}

func (h *hand) Guard(g engine.Guard)         { h.mu.Lock(); h.guard = g; h.mu.Unlock() }
func (h *hand) Lease(t time.Time)            { h.mu.Lock(); h.lease = t; h.mu.Unlock() }
func (h *hand) Blind(b bool)                 { h.mu.Lock(); h.blind = append(h.blind, b); h.mu.Unlock() }
func (h *hand) AttemptsMost(d time.Duration) { h.mu.Lock(); h.most = d; h.mu.Unlock() }

func (h *hand) Busy() (names, hosts []string) { return nil, nil }

func (h *hand) Fleet(_, _ time.Duration) (all []engine.Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range 3 {
		all = append(all, engine.Seen{Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Zone: "z", Kind: "k", Weight: 1, Hand: h.hand && i == 0})
	}
	return all
}

// see reads what it was told.
func (h *hand) see() (away, leased int, runs, blind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.guard.Away), len(h.guard.Leased), time.Now().Before(h.lease), len(h.blind) > 0 && h.blind[len(h.blind)-1]
}

// set changes it.
func (h *hand) set(f func()) { h.mu.Lock(); f(); h.mu.Unlock() }

func (h *hand) beside() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive, h.newer
}

func quiet() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

// room is three members in one process.
type room struct {
	t       *testing.T
	group   config.Group
	at      []string
	folders []string
	marks   []string // the witnesses of their disks
	hands   []*hand
	guests  []*guest
	all     []*Council
}

// guest counts its comings and goings.
type guest struct{ in, out atomic.Int32 }

func (g *guest) Enter(*peer.Links) { g.in.Add(1) }
func (g *guest) Leave()            { g.out.Add(1) }

func newRoom(t *testing.T) *room {
	r := &room{t: t, group: config.Group{Name: "g", Plans: true, Lease: time.Second}, all: make([]*Council, 3)}
	for i := range 3 { // each of an IP that no connection goes out from: the port stays free
		l, err := net.Listen("tcp", fmt.Sprintf("127.83.7.%d:0", 1+i))
		if err != nil {
			t.Fatal(err)
		}
		r.at = append(r.at, l.Addr().String())
		l.Close()
		r.group.Peers = append(r.group.Peers, peer.Peer{Name: fmt.Sprint("d", i), Link: r.at[i], Voter: true})
		r.folders, r.marks = append(r.folders, t.TempDir()), append(r.marks, filepath.Join(t.TempDir(), "mark"))
		r.hands, r.guests = append(r.hands, &hand{}), append(r.guests, &guest{})
	}
	return r
}

// start starts a member, or starts it again.
func (r *room) start(i int) *Council {
	own := r.group
	own.Folder = r.folders[i]
	r.hands[i] = &hand{}
	r.all[i] = Start(Options{
		Group: &own, Self: fmt.Sprint("d", i), Dispatcher: r.hands[i], Beside: r.hands[i].beside,
		Guests: []Guest{r.guests[i]}, Deadline: 60 * time.Millisecond, Arrive: 40 * time.Millisecond, Warm: 100 * time.Millisecond, Log: quiet(),
		Witness: r.marks[i],
	})
	return r.all[i]
}

func (r *room) close() {
	for _, c := range r.all {
		if c != nil {
			c.Close()
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// found founds the group, all being there.
func (r *room) found() {
	r.t.Helper()
	r.until("it is founded", func() bool { return r.call(0, -1, Call{Found: true}).Code == maintenance.Yes })
	r.until("all vote and have a lease", func() bool {
		s := r.call(0, -1, Call{Status: true}).Status
		votes := 0
		if s != nil {
			for _, m := range s.Members {
				if m.Votes && m.Heard >= 0 {
					votes++
				}
			}
		}
		for _, h := range r.hands {
			if _, _, runs, blind := h.see(); !runs || blind {
				return false
			}
		}
		return votes == 3
	})
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

func (r *room) step(machine string) (step maintenance.Step, why string) {
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

var thePlan = &maintenance.Plan{Name: "p", Out: 1, Overdue: maintenance.Wait, Machines: []maintenance.Machine{{Name: "m1", Runners: []string{"r1"}}}}

// Three members in one process: any takes calls, what is settled is in force at each, a word at one door counts against the
// budget of all, and nothing is left behind.
func TestThreeMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := newRoom(t)
	defer r.close()
	r.start(0)
	r.start(1)
	// One that does not answer may be in the group: it is not founded, and nobody takes it that there are no plans.
	r.until("it is told who does not answer", func() bool {
		a := r.call(0, -1, Call{Found: true})
		return a.Code == maintenance.NotNow && strings.Contains(a.Text, "d2: ")
	})
	time.Sleep(2 * joinEvery)
	if _, _, _, blind := r.hands[0].see(); !blind {
		t.Error("it sends though one that may know of plans is silent")
	}
	r.start(2)
	r.until("all are in no group", func() bool { _, _, _, blind := r.hands[0].see(); return !blind })
	r.found()
	r.hands[2].set(func() { r.hands[2].hand = true })
	r.hands[1].set(func() { r.hands[1].alive = 1 })
	unfit := *thePlan
	unfit.Machines = []maintenance.Machine{{Name: "m", Runners: []string{"nobody", "r1"}}, {Name: "h", Host: "h1"}, {Name: "k", Host: "nowhere"}}
	told := r.call(1, maintenance.Wrong, Call{Command: &maintenance.Command{Kind: maintenance.HandIn, Plan: &unfit}})
	for _, want := range []string{`machine[0].runners: "nobody"`, `"r1" is at the host of machine[1]`, `machine[2].host: no runner is listed at "nowhere"`} {
		if !strings.Contains(told.Text, want) {
			t.Errorf("%q is not in %q", want, told.Text)
		}
	}
	r.call(1, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.HandIn, Plan: thePlan}, Check: true})
	r.call(1, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.HandIn, Plan: thePlan}})
	r.call(2, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.Start, Name: "p"}})
	r.until("it waits for one with two processes", func() bool {
		s := r.call(0, -1, Call{Status: true}).Status
		return s != nil && s.Plans[0].Why == "waits until members have it in force: [d1]"
	})
	r.hands[1].set(func() { r.hands[1].alive = 0 })
	r.until("a word at the third door stands in its way", func() bool {
		_, why := r.step("m1")
		return why == "2 machines would be away, 1 may be: runner r0"
	})
	r.hands[2].set(func() { r.hands[2].hand = false })
	r.until("it is clear", func() bool {
		return r.call(2, -1, Call{Command: &maintenance.Command{Kind: maintenance.Take, Machine: "m1"}}).Code == maintenance.Yes
	})
	for i, h := range r.hands {
		if away, leased, _, _ := h.see(); away != 1 || leased != 1 {
			t.Errorf("at member %d: %d away, %d under the lease", i, away, leased)
		}
	}
	r.call(0, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.Return, Machine: "m1"}})
	r.until("the plan is through", func() bool { _, leased, _, _ := r.hands[1].see(); return leased == 0 })
}

// What a lease rests on: all that it knows is in force, the group waits for as long as our attempts run, and a quorum has said
// that the one that grants it leads still.
func TestWhatALeaseRestsOn(t *testing.T) {
	r := newRoom(t)
	defer r.close()
	for i := range r.all {
		r.start(i)
	}
	r.found()
	h, bound := r.hands[1], r.call(1, -1, Call{Status: true}).Status.Bounds.Settled
	if want := (time.Second + 100*time.Millisecond) * 101 / 100; bound != want {
		t.Errorf("a silent member is waited for %v, want lease and attempt with the drift, %v", bound, want)
	}
	if !r.all[1].report().Alone {
		t.Error("it is not alone though it has run for longer than attempts may")
	}
	r.all[1].Stretch(time.Minute, time.Second, 0)
	if r.all[1].report().Alone {
		t.Error("a process before may have left an attempt that runs still")
	}
	for i, want := range []time.Duration{60 * time.Millisecond, time.Minute} {
		r.hands[i].set(func() {
			if r.hands[i].most != want {
				t.Errorf("attempts of member %d may run for %v, want %v", i, r.hands[i].most, want)
			}
		})
	}
	if _, _, runs, _ := h.see(); runs {
		t.Error("a lease for attempts that the group does not wait for")
	}
	r.until("the longer attempts are settled", func() bool { _, _, runs, _ := h.see(); return runs })
	if now := r.call(1, -1, Call{Status: true}).Status.Bounds.Settled; now <= bound {
		t.Errorf("a silent member is waited for %v, before %v", now, bound)
	}
	c := r.all[0]
	told, began := c.report(), time.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.hold(ctx, told, began, grant{Index: told.Applied + 1000}); err == nil {
		t.Error("a lease that knows more than is in force")
	}
	told.Bound--
	if err := c.hold(context.Background(), told, began, grant{}); !errors.Is(err, errBound) {
		t.Errorf("a lease for attempts that have become longer since: %v", err)
	}
	h = r.hands[0]
	h.set(func() {
		if h.lease.After(time.Now().Add(time.Minute)) {
			t.Error("it was taken all the same")
		}
	})
	r.until("the first member leads", func() bool { return c.leads() || r.call(0, -1, Call{Status: true}).Status.Leader == "d0" })
	r.all[1].Close()
	r.all[2].Close()
	r.all[1], r.all[2] = nil, nil
	raw, err := json.Marshal(c.report())
	if err != nil {
		t.Fatal(err)
	}
	if !c.leads() {
		t.Fatal("it knows already that it does not lead")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if out, err := c.onReport(ctx, peer.Sender{}, raw); err == nil {
		t.Errorf("granted without a quorum: %s", out)
	}
	c.Close()
	r.start(1)
	r.until("it sends by its disk, though nobody is there", func() bool { _, _, _, blind := r.hands[1].see(); return !blind })
}

// A newer process of the dispatcher gets the place in the group, and the one before takes it again if that goes.
func TestTheNewerProcessSpeaks(t *testing.T) {
	r := newRoom(t)
	defer r.close()
	for i := range r.all {
		r.start(i)
	}
	r.found()
	r.hands[0].set(func() { r.hands[0].newer = true })
	r.until("its place is free, and another leads", func() bool {
		if s := r.call(1, -1, Call{Status: true}).Status; s == nil || !s.Settled || s.Leader == "d0" {
			return false
		}
		l, err := net.Listen("tcp", r.at[0])
		if err == nil {
			l.Close()
		}
		return err == nil
	})
	for end := time.Now().Add(4 * voiceEvery); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if r.all[0].agreement() != nil {
			t.Fatal("it has taken its place again beside a newer one")
		}
	}
	if g := r.guests[0]; g.in.Load() != 1 || g.out.Load() != 1 {
		t.Errorf("its guest came %d times and left %d times", g.in.Load(), g.out.Load())
	}
	r.hands[0].set(func() { r.hands[0].newer = false })
	r.until("it speaks again", func() bool { a := r.all[0].agreement(); return a != nil && a.Status().Leader != 0 })
}

// A plan is not handed in, or does not start, where others could not keep it.
func TestWhatKeepsAPlan(t *testing.T) {
	d := &hand{}
	c := &Council{o: Options{Group: &config.Group{Plans: true, Peers: []peer.Peer{{Name: "d0"}, {Name: "d1"}}}, Dispatcher: d},
		state: maintenance.New(), words: map[string]heard{}}
	apply := func(cmd maintenance.Command) {
		raw, err := json.Marshal(cmd)
		if err != nil {
			t.Fatal(err)
		}
		c.state.Apply(c.state.Index+1, raw)
	}
	plan := func(name string, m maintenance.Machine) *maintenance.Plan {
		m.Name = "m"
		return &maintenance.Plan{Name: name, Out: 1, Overdue: maintenance.Wait, Machines: []maintenance.Machine{m}}
	}
	apply(maintenance.Command{Kind: maintenance.HandIn, Plan: plan("hosts", maintenance.Machine{Host: "h1"})})
	apply(maintenance.Command{Kind: maintenance.HandIn, Plan: plan("names", maintenance.Machine{Runners: []string{"r0"}})})
	for want, m := range map[string]maintenance.Machine{
		`"r1" is at host h1, which is in plan "hosts"`: {Runners: []string{"r1"}},
		`"r0", which is there, is in plan "names"`:     {Host: "h0"},
	} {
		if got := strings.Join(c.unfit(plan("q", m)), " "); !strings.Contains(got, want) {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// While one member's build knows less of entries, or may, none that needs more is settled; what was settled already is.
func TestOlderBuilds(t *testing.T) {
	c := &Council{o: Options{Dispatcher: &hand{}, Group: &config.Group{Plans: true, Peers: []peer.Peer{{Name: "d0"}, {Name: "d1"}}}},
		state: maintenance.New(), words: map[string]heard{}}
	for _, name := range []string{"d0", "d1"} {
		c.state.Members[name] = &maintenance.Member{Name: name}
	}
	level := func(n int) heard { return heard{report: report{Plans: true, Level: n}} }
	c.words["d0"] = level(2)
	ask := func(m maintenance.Machine) string {
		m.Name = "m"
		cmd := &maintenance.Command{ID: "1", Kind: maintenance.HandIn, Plan: &maintenance.Plan{Name: "p", Out: 1, Overdue: maintenance.Wait, Machines: []maintenance.Machine{m}}}
		if r := c.before(&Call{Command: cmd}); r != nil {
			return r.Text
		}
		return "yes"
	}
	for _, step := range []struct {
		change func()
		host   string
	}{
		{func() {}, "not heard of yet by this leader, and may be of a build that does not know this call: d1"},
		{func() { c.words["d1"] = level(1) }, "of a build that does not know this call: d1"},
		{func() { c.words["d1"] = level(2) }, "yes"},
		{func() { c.words["d1"], c.state.Level = level(1), 2 }, "yes"}, // it cannot be in force there: see outage.Apply
	} {
		step.change()
		if got := ask(maintenance.Machine{Host: "h1"}); got != step.host {
			t.Errorf("a plan by host: %q, want %q", got, step.host)
		}
		if got := ask(maintenance.Machine{Runners: []string{"r1"}}); got != "yes" {
			t.Errorf("a plan by name: %q", got)
		}
	}
	if c.state.Doubt = true; c.absent() != doubtText {
		t.Errorf("a group that was founded again: %q", c.absent())
	}
}

// Who cannot reach the leader is heard through another member.
func TestCallsAreRelayed(t *testing.T) {
	r := newRoom(t)
	defer r.close()
	r.start(0)
	r.start(1)
	r.group.Peers = slices.Clone(r.group.Peers)
	r.group.Peers[0].Link = "127.83.7.9:1" // nobody is there
	r.start(2)
	r.until("it is founded", func() bool { return r.call(0, -1, Call{Found: true}).Code == maintenance.Yes })
	r.until("the third is answered by the first", func() bool {
		s := r.call(2, -1, Call{Status: true}).Status
		return s != nil && s.Settled && s.Told == "d0" && len(s.Members) == 3
	})
}

// What keeps a process that is alone from taking part is told by key; a folder that the system refuses does not.
func TestCheck(t *testing.T) {
	r := newRoom(t)
	defer r.close()
	o := Options{Group: &r.group, Self: "d1", Log: quiet()}
	r.group.Folder = r.folders[0]
	if err := Check(o); err != nil {
		t.Error(err)
	}
	other := o
	other.Self = "d2"
	l, err := net.Listen("tcp", r.at[2])
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	err = Check(other)
	for _, want := range []string{"group.member[2].link: ", "group.folder: ", `member "d1"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
	none := filepath.Join(r.folders[1], "file")
	if err := os.WriteFile(none, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	r.group.Folder = none // no folder can be there
	if err := Check(o); err != nil {
		t.Error(err)
	}
	r.folders[1] = none
	r.start(1)
	r.until("it speaks", func() bool { return r.call(1, -1, Call{Status: true, Local: true}).Status != nil })
}

// A member whose disk is older than what its life has said begins another: it votes and sends by nothing that it has, nothing
// goes to its old life, and that is granted nothing. One that was retired is missed before a plan starts.
func TestAnotherLife(t *testing.T) {
	r := newRoom(t)
	defer r.close()
	for i := range r.all {
		r.start(i)
	}
	r.found()
	file := filepath.Join(r.folders[2], "group.db")
	was := r.all[2].who().Life
	r.all[2].Close()
	old, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	r.start(2)
	r.until("it is back", func() bool { _, _, runs, _ := r.hands[2].see(); return runs })
	r.call(0, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.HandIn, Plan: thePlan}})
	r.until("it has heard of the plan", func() bool {
		s := r.call(2, -1, Call{Status: true, Local: true}).Status
		return s != nil && len(s.Plans) == 1
	})
	r.all[2].Close()
	if err := os.WriteFile(file, old, 0o600); err != nil {
		t.Fatal(err)
	}
	c := r.all[0]
	c.mu.Lock()
	m := c.state.Members["d2"]
	id := m.ID
	c.mu.Unlock()
	r.start(2)
	r.until("it has another life", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.state.Members["d2"].Life != was })
	r.until("it has a lease", func() bool { _, _, runs, blind := r.hands[2].see(); return runs && !blind })
	r.hands[2].set(func() {
		if words := fmt.Sprint(r.hands[2].blind); !strings.HasPrefix(words, "[true true") {
			t.Errorf("blind: %s; by the old disk it sent", words)
		}
	})
	if !c.old("d2", was) || c.name(id) != "" {
		t.Errorf("its earlier life is known: %t, and has a name: %q", c.old("d2", was), c.name(id))
	}
	for i := range r.all {
		if r.all[i].leads() {
			raw, _ := json.Marshal(report{Name: "d2", Word: maintenance.Word{Life: was}})
			if _, err := r.all[i].onReport(context.Background(), peer.Sender{}, raw); !errors.Is(err, errStranger) {
				t.Errorf("its earlier life: %v", err)
			}
		}
	}
	r.all[2].Close()
	r.call(0, maintenance.Yes, Call{Command: &maintenance.Command{Kind: maintenance.Retire, Name: "d2"}})
	if a := r.call(1, maintenance.NotNow, Call{Command: &maintenance.Command{Kind: maintenance.Start, Name: "p"}}); a.Text != "not in the group yet: d2" {
		t.Errorf("a start without a member of the file: %+v", a)
	}
}

// A member that starts with a disk trusts it only if the group has spoken to that life: one with a vote and no plan yet has
// missed what it was taken in for.
func TestADiskIsTrustedOnceTheGroupHasSpoken(t *testing.T) {
	for _, heard := range []bool{false, true} {
		g := config.Group{Name: "g", Plans: true, Lease: time.Second, Folder: t.TempDir(), Peers: []peer.Peer{
			{Name: "d0", Link: "127.83.8.1:0", Voter: true}, {Name: "d1", Link: "127.83.8.2:1"},
		}}
		d, err := consensus.OpenDisk(g.Folder, consensus.Identity{Group: "g", Name: "d0", Life: "l", ID: 7})
		if err == nil {
			err = consensus.Found(d, "f", []byte(`{"seq":3}`))
		}
		if err == nil && heard {
			err = d.Hear()
		}
		if err = errors.Join(err, d.Close()); err != nil {
			t.Fatal(err)
		}
		h := &hand{}
		c := Start(Options{
			Group: &g, Self: "d0", Dispatcher: h, Beside: func() (int, bool) { return 0, false }, Deadline: time.Second, Log: quiet(),
		})
		vouched := false // nobody else can tell whether the disk is its last one
		for end := time.Now().Add(10 * time.Second); c.agreement() == nil && time.Now().Before(end); {
			vouched = vouched || c.vouch().Code == maintenance.Yes
			time.Sleep(time.Millisecond)
		}
		c.Close() // from here nothing changes
		if _, _, _, blind := h.see(); blind == heard {
			t.Errorf("the group has spoken: %t; blind: %t", heard, blind)
		}
	}
}
