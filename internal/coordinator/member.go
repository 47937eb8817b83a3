package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// The paths of the links. What comes by a relay was passed on once already.
const (
	pathRaft   = "/group/raft"
	pathJoin   = "/group/join"
	pathReport = "/group/report"
	pathRecall = "/group/recall"
	pathCall   = "/group/call"
	pathRelay  = "/group/relay" // and the path that it is for
	PathStaff  = "/group/staff"
)

const forgotText = "that disk has forgotten what this life has said"

const outsideText = "this member is in no group yet"

// Errors of a member.
var (
	errOutside  = errors.New(outsideText)
	errNotLead  = errors.New("no leader can be reached")
	errWaits    = errors.New("this member does not know yet whether its disk is its last one")
	errBound    = errors.New("attempts may run for longer than what is settled; that is settled first")
	errStranger = &peer.Refused{Text: "no member under this life: ask to be taken in"}
)

// toLeader are the handlers of what only a leader can answer, by path.
func (c *Council) toLeader() map[string]peer.Handler {
	return map[string]peer.Handler{pathJoin: c.onJoin, pathReport: c.onReport, pathCall: c.onCall}
}

// handle says what comes by the links.
func (c *Council) handle(l *peer.Links) {
	l.Handle(pathRaft, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		a := c.agreement()
		if a == nil {
			return nil, errOutside
		}
		id, mark, err := a.Receive(body)
		if id != 0 {
			c.mu.Lock()
			c.heardOf[id] = from.Name
			c.marks[from.Life] = c.marks[from.Life].Join(mark)
			c.mu.Unlock()
		}
		return nil, err
	})
	l.Handle(pathRecall, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		var has consensus.Mark
		if err := json.Unmarshal(body, &has); err != nil {
			return nil, &peer.Refused{Text: "no mark: " + err.Error()}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if said := c.marks[from.Life]; has.Behind(said) {
			return nil, &peer.Refused{Text: forgotText}
		}
		if c.voice == nil || c.voice.who.Founded == "" {
			return nil, &peer.Refused{Text: outsideText}
		}
		if c.voice.agree != nil {
			return json.Marshal(c.voice.agree.Status().Mark)
		}
		return json.Marshal(c.voice.mark)
	})
	for path, h := range c.toLeader() {
		l.Handle(path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.leads() {
				return h(ctx, from, body)
			}
			return c.onwards(ctx, path, body)
		})
		l.Handle(pathRelay+path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.leads() {
				return h(ctx, from, body)
			}
			return nil, errNotLead
		})
	}
	l.HandleStaff(PathStaff, c.onStaff)
}

func (c *Council) leads() bool {
	a := c.agreement()
	return a != nil && a.Status().Leads
}

// leader is the leader's name; empty where none is known.
func (c *Council) leader() string {
	a := c.agreement()
	if a == nil {
		return ""
	}
	return c.name(a.Status().Leader)
}

// onwards passes a message on to the leader, for one that cannot reach it.
func (c *Council) onwards(ctx context.Context, path string, body []byte) ([]byte, error) {
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	if v == nil || c.agreement() == nil && c.who().Founded == "" {
		return nil, &peer.Refused{Text: outsideText}
	}
	if c.agreement() == nil { // who is in a group and waits must not be taken for one that knows of no plan
		return nil, errWaits
	}
	to := c.leader()
	if to == "" || to == c.o.Self {
		return nil, errNotLead
	}
	return c.ask(ctx, v, to, pathRelay+path, body)
}

// askLeader asks the leader: itself, or by way of another member where the leader cannot be reached from here.
func (c *Council) askLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	if c.leads() {
		return c.toLeader()[path](ctx, c.who(), body)
	}
	out, err := c.onwards(ctx, path, body)
	if err == nil || refused(err) {
		return out, err
	}
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	leader := c.leader()
	for _, i := range rand.Perm(len(c.o.Group.Peers)) {
		p := c.o.Group.Peers[i]
		if v == nil || p.Name == c.o.Self || p.Name == leader || ctx.Err() != nil {
			continue
		}
		if out, err = c.ask(ctx, v, p.Name, path, body); err == nil || refused(err) && !isOutside(err) {
			return out, err
		}
	}
	if err == nil {
		err = errNotLead
	}
	return nil, err
}

func refused(err error) bool {
	var no *peer.Refused
	return errors.As(err, &no)
}

func isOutside(err error) bool {
	var no *peer.Refused
	return errors.As(err, &no) && no.Text == outsideText
}

// onJoin takes a member in, at the leader.
func (c *Council) onJoin(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var j joining
	if err := json.Unmarshal(body, &j); err != nil {
		return nil, &peer.Refused{Text: "no call to be taken in: " + err.Error()}
	}
	i := slices.IndexFunc(c.o.Group.Peers, func(p peer.Peer) bool { return p.Name == j.Name })
	if i < 0 || j.ID == 0 || j.Life == "" {
		return nil, &peer.Refused{Text: "no member by our file: " + j.Name}
	}
	a, founded := c.agreement(), c.who().Founded
	if a == nil { // our place has just gone to another process
		return nil, errOutside
	}
	c.mu.Lock()
	m := c.state.Members[j.Name]
	c.mu.Unlock()
	if m != nil && m.Was(j.Life) {
		return nil, &peer.Refused{Text: "an earlier life of " + j.Name}
	}
	if m == nil || m.Life != j.Life {
		entry, err := json.Marshal(maintenance.Command{Kind: maintenance.Join, Member: &maintenance.Member{
			Name: j.Name, Life: j.Life, ID: j.ID, Voter: c.o.Group.Peers[i].Voter,
		}})
		if err != nil {
			return nil, err
		}
		err = a.Change(ctx, []*raftpb.ConfChangeSingle{change(raftpb.ConfChangeAddLearnerNode, j.ID)}, entry)
		if err != nil {
			return nil, err
		}
		if err := c.until(ctx, func(s *maintenance.State) bool { m := s.Members[j.Name]; return m != nil && m.Life == j.Life }); err != nil {
			return nil, err
		}
	}
	return json.Marshal(joined{Founded: founded})
}

func change(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

// until waits for a state.
func (c *Council) until(ctx context.Context, ok func(*maintenance.State) bool) error {
	for {
		c.mu.Lock()
		yes, changed := ok(c.state), c.changed
		c.mu.Unlock()
		if yes {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// renew renews the lease again and again.
func (c *Council) renew(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.renewOnce(ctx)
		if err != nil && ctx.Err() == nil {
			c.o.Log.WithError(err).Debug("the group's lease was not renewed")
		}
		every := idleEvery
		c.mu.Lock()
		if err != nil || slices.ContainsFunc(c.state.Plans, func(u *maintenance.Under) bool { return u.Phase != maintenance.Ended }) {
			every = c.o.Group.Lease / renewPart
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-time.After(every):
		case <-changed: // what has just been put in force is told soon
			pause(ctx, min(every, leadEvery))
		case <-ctx.Done():
		}
	}
}

// renewOnce tells the leader how things are here, and takes the lease that its answer grants.
func (c *Council) renewOnce(ctx context.Context) error {
	if c.agreement() == nil {
		return errOutside
	}
	ctx, cancel := context.WithTimeout(ctx, max(askWait, c.o.Group.Lease/2))
	defer cancel()
	began := time.Now() // the lease counts from before we ask
	told := c.report()
	body, err := json.Marshal(told)
	if err != nil {
		return err
	}
	raw, err := c.askLeader(ctx, pathReport, body)
	var no *peer.Refused
	if errors.As(err, &no) && no.Text == errStranger.Text {
		c.mu.Lock()
		if c.voice != nil {
			select {
			case c.voice.strange <- struct{}{}:
			default:
			}
		}
		c.mu.Unlock()
	}
	if err != nil {
		return err
	}
	var g grant
	if err := json.Unmarshal(raw, &g); err != nil {
		return err
	}
	return c.hold(ctx, told, began, g)
}

// hold takes a lease that was asked for with a word, at a moment, once all that it rests on is in force here.
func (c *Council) hold(ctx context.Context, told report, began time.Time, g grant) error {
	if err := c.inForce(ctx, g.Index); err != nil {
		return err
	}
	if failpoint.On(failpoint.LongLease) {
		began = began.Add(time.Minute)
	}
	if a := c.agreement(); a != nil && !c.heard {
		if err := a.Hear(ctx); err != nil {
			return err
		}
		c.heard = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bound() != told.Bound { // attempts may run for longer since: that is told first
		return errBound
	}
	c.o.Dispatcher.Lease(began.Add(c.o.Group.Lease))
	c.o.Dispatcher.Blind(false)
	return nil
}

// report is our word. What is in force is read first: what is busy is then seen after it bound.
func (c *Council) report() report {
	a := c.agreement()
	c.mu.Lock()
	v := c.voice
	r := report{Name: c.o.Self, Bound: c.bound(), Warm: c.warm, Plans: c.o.Group.Plans, Level: maintenance.Knows()}
	attempt := c.attempt
	c.mu.Unlock()
	if a == nil || v == nil {
		return r
	}
	alive, _ := c.o.Beside()
	r.Life, r.Applied = v.who.Life, a.Status().Applied
	// A process of ours that ended may have left attempts behind; one that lives may send by what it knew.
	r.Alone = alive == 0 && time.Since(v.began) > attempt
	r.Busy, r.BusyAt = c.o.Dispatcher.Busy()
	for _, w := range c.o.Dispatcher.Fleet(goneCounts, r.Warm) {
		if w.Down {
			r.Down = append(r.Down, w.Name)
		}
		if w.Cold {
			r.Cold = append(r.Cold, w.Name)
		}
		if w.Hand {
			r.Hand = append(r.Hand, w.Name)
		}
	}
	return r
}

// onReport takes a member's word and grants it a lease, at the leader.
func (c *Council) onReport(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, &peer.Refused{Text: "no report: " + err.Error()}
	}
	a := c.agreement()
	if a == nil {
		return nil, errOutside
	}
	index, err := a.Read(ctx) // a quorum confirms that we lead still, after the member asked
	if err != nil {
		return nil, err
	}
	if err := c.inForce(ctx, index); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.state.Members[r.Name]
	if m == nil || m.Life != r.Life {
		return nil, errStranger
	}
	c.words[r.Name] = heard{r, time.Now()}
	// Guards against a member with a longer lease than the group waits for.
	if c.state.Bound < r.Bound {
		return nil, errBound
	}
	return json.Marshal(grant{Index: index})
}

// lead has plans go on while we lead.
func (c *Council) lead(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, leadEvery) {
		a := c.agreement()
		if a == nil || !a.Status().Leads {
			continue
		}
		c.goOn(ctx, a)
		c.tend(ctx, a)
	}
}

// goOn proposes what has been heard, where that settles anything.
func (c *Council) goOn(ctx context.Context, a *consensus.Agree) {
	c.mu.Lock()
	adv := c.advance()
	if silent, older := c.lacking(2); len(silent)+len(older) == 0 {
		adv = c.state.Brief(adv)
	}
	useful := c.state.Would(adv)
	c.mu.Unlock()
	if !useful {
		return
	}
	raw, err := entry(&maintenance.Command{Kind: maintenance.Proceed, Advance: adv})
	if err == nil {
		err = a.Propose(ctx, raw)
	}
	if err != nil {
		c.o.Log.WithError(err).Debug("what was heard could not be proposed")
	}
}

// entry is a command as it is settled.
func entry(c *maintenance.Command) ([]byte, error) {
	c.Needs = c.Requires()
	return json.Marshal(c)
}

// advance is all that has been heard. The lock is held.
func (c *Council) advance() *maintenance.Advance {
	adv := &maintenance.Advance{
		Seq: c.state.Seq, Waited: time.Since(c.at), Bound: c.bound(), Warm: c.warm,
		Words: map[string]maintenance.Word{}, Fleet: map[string]maintenance.Runner{},
	}
	for _, w := range c.o.Dispatcher.Fleet(goneCounts, c.warm) {
		adv.Fleet[w.Name] = maintenance.Runner{Zone: w.Zone, Kind: w.Kind, Host: w.Host, Weight: w.Weight, Down: w.Down, Gone: w.Gone, Cold: w.Cold,
			Hand: w.Hand}
	}
	mark := func(names []string, f func(*maintenance.Runner)) {
		for _, name := range names {
			if r, ok := adv.Fleet[name]; ok {
				f(&r)
				adv.Fleet[name] = r
			}
		}
	}
	for name, h := range c.words {
		if c.state.Members[name] == nil {
			delete(c.words, name)
			continue
		}
		adv.Words[name] = h.Word
		adv.Bound, adv.Warm = max(adv.Bound, h.Bound), max(adv.Warm, h.Warm)
		// What staff said stays; what one that fell silent saw last is old by then, and would keep a plan for ever.
		if time.Since(h.at) < c.sightLasts() {
			mark(h.Down, func(r *maintenance.Runner) { r.Down = true })
			mark(h.Cold, func(r *maintenance.Runner) { r.Cold = true })
		}
		mark(h.Hand, func(r *maintenance.Runner) { r.Hand = true })
	}
	return adv
}

// sightLasts is how long what a member has seen of runners counts: as long as a silent one is waited for, and some words at least.
// The lock is held.
func (c *Council) sightLasts() time.Duration { return max(c.state.Bound, sightWords*idleEvery) }

// tend keeps who votes as the file has it: one settled change at a time.
func (c *Council) tend(ctx context.Context, a *consensus.Agree) {
	s := a.Status()
	caught := a.Caught(ctx)
	var changes []*raftpb.ConfChangeSingle
	c.mu.Lock()
	known := map[uint64]bool{}
	for _, m := range c.state.Members {
		known[m.ID] = true
		if m.Voter && slices.Contains(s.Follow, m.ID) && slices.Contains(caught, m.ID) && changes == nil {
			changes = append(changes, change(raftpb.ConfChangeAddNode, m.ID))
			for _, o := range m.Old { // its vote passes to the present life in the same change
				if slices.Contains(s.Voters, o.ID) {
					changes = append(changes, change(raftpb.ConfChangeRemoveNode, o.ID))
				}
			}
		}
	}
	if changes == nil {
		for _, id := range slices.Concat(s.Follow, s.Voters) {
			if !known[id] && !c.lifeWaits(id) {
				changes = append(changes, change(raftpb.ConfChangeRemoveNode, id))
				break
			}
		}
	}
	c.mu.Unlock()
	if changes == nil {
		return
	}
	if err := a.Change(ctx, changes, nil); err != nil {
		c.o.Log.WithError(err).Debug("a change of who votes could not be proposed")
	}
}

// lifeWaits tells whether an id is that of an earlier life of a voter, whose present one does not vote yet: the vote is kept
// until it can pass. The lock is held.
func (c *Council) lifeWaits(id uint64) bool {
	s := c.voice.agree.Status()
	for _, m := range c.state.Members {
		if slices.ContainsFunc(m.Old, func(l maintenance.Life) bool { return l.ID == id }) {
			return m.Voter && slices.Contains(s.Voters, id) && !slices.Contains(s.Voters, m.ID)
		}
	}
	return false
}
