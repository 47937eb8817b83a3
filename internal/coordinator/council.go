// Package coordinator is one member's part in a group of dispatchers: it joins, renews the lease, puts what is settled in force
// at its own dispatcher, and while it leads, has the plans go on. What is decided stands in internal/maintenance, agreement in
// internal/consensus; here they meet the links and the dispatcher.
package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	randv2 "math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/boltstore"
	"birchfork/internal/config"
	"birchfork/internal/consensus"
	"birchfork/internal/engine"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Times of a member.
const (
	voiceEvery = 100 * time.Millisecond // between tries to get the voice, and looks whether to give it up
	joinEvery  = 300 * time.Millisecond
	leadEvery  = 100 * time.Millisecond
	renewPart  = 6                      // tries in the time of a lease
	idleEvery  = 2 * time.Second        // between words to the leader where nothing needs a lease
	sightWords = 3                      // words missed that a member sends at the least, until what it has seen of runners lapses
	askWait    = time.Second            // for the leader's answer
	recallWait = 500 * time.Millisecond // for the others to say what they heard of us
	settleWait = 2 * time.Second        // for a call of staff to be settled
	goneCounts = 15 * time.Minute       // a runner that has left the list counts as away for so long
	driftPart  = 100                    // monotonic clocks differ by one part in so many at the most
)

// Dispatcher is what a council needs of the dispatcher: store.Store has it.
type Dispatcher interface {
	Guard(engine.Guard)
	AttemptsMost(time.Duration)
	Lease(until time.Time)
	Blind(bool)
	Busy() (names, hosts []string)
	Fleet(gone, cold time.Duration) []engine.Seen
}

// Options is all that a Council is made of.
type Options struct {
	Group      *config.Group
	Self       string
	Dispatcher Dispatcher
	Beside     func() (alive int, newer bool) // other processes of this dispatcher, and whether one came after us
	Deadline   time.Duration                  // the longest of a class: no attempt runs for longer
	Arrive     time.Duration                  // from an attempt's order until its last byte has come, or never comes
	Warm       time.Duration                  // until a started runner is warm
	Witness    string                         // a file that does not outlive the machine's run; empty: there is none
	Guests     []Guest                        // have our links too
	Log        logrus.FieldLogger
}

// Guest has the links of this process's place in the group beside us.
type Guest interface {
	Enter(*peer.Links) // they are open and serve soon
	Leave()            // they close
}

// Council is one member's part, until Close.
type Council struct {
	o       Options
	quit    context.CancelFunc
	done    chan struct{}
	closing atomic.Bool

	mu      sync.Mutex
	state   *maintenance.State
	at      time.Time     // since when the state has its Seq
	changed chan struct{} // closed when something more is in force
	words   map[string]heard
	heard   bool                      // noted on the disk: the loop that renews has it
	heardOf map[uint64]string         // raft ids by the messages that came
	marks   map[string]consensus.Mark // how far lives of others have come, by what they said
	attempt time.Duration             // the longest from an attempt's order until it runs no more
	warm    time.Duration             // until a started runner is warm
	voice   *voice                    // nil: another process of this dispatcher has it, or we are not in yet
}

// heard is what a member told last.
type heard struct {
	report
	at time.Time
}

// voice is this process's place in the group.
type voice struct {
	links *peer.Links
	who   consensus.Identity
	agree *consensus.Agree // nil: outside of the group
	began time.Time

	founding chan bool      // staff's word to begin the group here, and whether there was one before
	strange  chan struct{}  // the group does not know this life: another is to be begun
	vouched  chan struct{}  // staff's word that the disk is its last one
	mark     consensus.Mark // that the disk had at the start
}

// report is a member's word to the leader.
type report struct {
	Name string `json:"name"`
	maintenance.Word
	Bound time.Duration `json:"bound"`
	Warm  time.Duration `json:"warm"`
	Plans bool          `json:"plans"`
	Level int           `json:"level"` // what its build knows of entries
	Down  []string      `json:"down,omitempty"`
	Cold  []string      `json:"cold,omitempty"`
	Hand  []string      `json:"hand,omitempty"`
}

// grant is the leader's answer: what the member has to have in force for its lease to count.
type grant struct {
	Index uint64 `json:"index"`
}

type joining struct {
	Name string `json:"name"`
	Life string `json:"life"`
	ID   uint64 `json:"id"`
}

type joined struct {
	Founded string `json:"founded"`
}

// Start takes part. It returns at once: until the group is heard of, the dispatcher is blind where plans are in use.
func Start(o Options) *Council {
	ctx, quit := context.WithCancel(context.Background())
	c := &Council{o: o, quit: quit, done: make(chan struct{}), state: maintenance.New(), at: time.Now(), changed: make(chan struct{}), words: map[string]heard{},
		heardOf: map[uint64]string{}, marks: map[string]consensus.Mark{}, attempt: o.Deadline + o.Arrive, warm: o.Warm}
	o.Dispatcher.AttemptsMost(o.Deadline)
	o.Dispatcher.Blind(o.Group.Plans && !failpoint.On(failpoint.SeesAnyway))
	go c.run(ctx)
	return c
}

// bound is the longest that something of ours may run at a machine after an entry that we do not know of. The lock is held.
func (c *Council) bound() time.Duration {
	d := c.o.Group.Lease + c.attempt
	return d + d/driftPart // whoever measures it may have the quicker clock
}

// Stretch says that the times of Options of these names are others from its return on; only longer ones change anything. There
// is no lease until the group waits for as long.
func (c *Council) Stretch(deadline, arrive, warm time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warm = max(c.warm, warm)
	if attempt := deadline + arrive; attempt > c.attempt {
		c.attempt = attempt
		c.o.Dispatcher.Lease(time.Time{}) // before any attempt is ordered that may run for longer
		c.o.Dispatcher.AttemptsMost(deadline)
	}
}

// run gets the voice, uses it until another process of this dispatcher is to have it, and begins anew.
func (c *Council) run(ctx context.Context) {
	defer close(c.done)
	said := ""
	for ctx.Err() == nil {
		if err := c.speak(ctx); err != nil && err.Error() != said && ctx.Err() == nil {
			said = err.Error()
			c.o.Log.WithError(err).Warn("this process has no place in the group yet; it is tried again")
		}
		pause(ctx, voiceEvery)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// speak takes the voice and gives it back when it returns.
func (c *Council) speak(ctx context.Context) error {
	if _, newer := c.o.Beside(); newer {
		return nil
	}
	self, ok := c.self()
	if !ok {
		return fmt.Errorf("%q is no member by our file", c.o.Self)
	}
	on, err := net.Listen("tcp", self.Link) // one process at a time can
	if err != nil {
		return fmt.Errorf("group.member: %w", err)
	}
	disk, err := c.openDisk()
	if err != nil {
		on.Close()
		return err
	}
	ctx, quit := context.WithCancel(ctx)
	defer quit()
	c.heard = disk.Who().Heard // nobody renews yet
	v := &voice{who: disk.Who(), began: time.Now(), founding: make(chan bool), strange: make(chan struct{}, 1),
		vouched: make(chan struct{}), mark: disk.Mark()}
	v.links = peer.Open(peer.Options{
		Group: c.o.Group.Name, Self: c.o.Self, Peers: c.o.Group.Peers, Who: c.who, Old: c.old, Lost: c.lost, Log: c.o.Log,
	})
	c.handle(v.links)
	for _, g := range c.o.Guests {
		g.Enter(v.links)
	}
	c.mu.Lock()
	c.voice = v
	c.mu.Unlock()
	v.links.Serve(on)
	c.o.Log.WithFields(logrus.Fields{"link": self.Link, "life": v.who.Life, "founded": v.who.Founded, "kept": disk.Kept()}).
		Info("this process speaks for its dispatcher in the group")
	if disk.Unreadable != nil {
		tellUnreadable(c.o.Log, disk)
	}
	var loops sync.WaitGroup
	if v.who.Founded != "" {
		loops.Go(func() { c.goOnWith(ctx, v, disk) })
	} else {
		loops.Go(func() { c.enter(ctx, v, disk) })
	}
	loops.Go(func() { c.renew(ctx) })
	loops.Go(func() { c.lead(ctx) })
	forget := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(voiceEvery):
		case <-v.strange:
			c.o.Log.Warn("the group does not know this life of ours: another is begun, and what this one kept is forgotten")
			forget = true
			quit()
		}
		if _, newer := c.o.Beside(); newer && ctx.Err() == nil {
			c.o.Log.Info("a newer process of this dispatcher speaks in the group from here on")
			quit()
		}
	}
	if !c.closing.Load() {
		c.handOver()
	}
	quit()
	for _, g := range c.o.Guests {
		g.Leave()
	}
	v.links.Close()
	loops.Wait()
	c.mu.Lock()
	c.voice = nil
	c.mu.Unlock()
	if v.agree != nil {
		err = v.agree.Close()
	} else {
		err = disk.Close()
	}
	if forget {
		c.o.Dispatcher.Blind(c.o.Group.Plans)
		err = errors.Join(err, disk.Forget())
	}
	return err
}

// openDisk opens our folder, or begins one with a new life. Where the system refuses the folder we keep nothing, and take part
// all the same: without a place in the group this dispatcher would send nothing.
func (c *Council) openDisk() (*consensus.Disk, error) {
	who, err := newLife(&c.o)
	if err != nil {
		return nil, err
	}
	d, err := consensus.OpenDisk(c.o.Group.Folder, who)
	if err == nil || errors.Is(err, boltstore.ErrTaken) || errors.Is(err, boltstore.ErrForeign) {
		return d, err
	}
	c.o.Log.WithError(err).Error("the group's folder cannot be used: what is settled is not kept over a restart of this member")
	return consensus.OpenDisk("", who)
}

func tellUnreadable(log logrus.FieldLogger, d *consensus.Disk) {
	log.WithError(d.Unreadable).Error("what this member kept cannot be read: it begins another life")
}

// newLife is who we are if our folder is empty.
func newLife(o *Options) (consensus.Identity, error) {
	id, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<62))
	return consensus.Identity{Group: o.Group.Name, Name: o.Self, Life: rand.Text()[:10], ID: id.Uint64() + 1}, err
}

// Check tells, by key of the operator's file, why a process that is alone cannot take part: its link's address is in use, or its
// folder is another member's.
func Check(o Options) error {
	var errs []error
	for i, p := range o.Group.Peers {
		if p.Name != o.Self {
			continue
		}
		l, err := net.Listen("tcp", p.Link)
		if err != nil {
			errs = append(errs, fmt.Errorf("group.member[%d].link: %w", i, err))
			continue
		}
		l.Close()
	}
	who, err := newLife(&o)
	if err != nil {
		return err
	}
	switch d, err := consensus.OpenDisk(o.Group.Folder, who); {
	case err == nil:
		if d.Unreadable != nil {
			tellUnreadable(o.Log, d)
		}
		d.Close()
	case errors.Is(err, boltstore.ErrForeign), errors.Is(err, boltstore.ErrTaken):
		errs = append(errs, fmt.Errorf("group.folder: %w", err))
	}
	return errors.Join(errs...)
}

// witness opens the note beside the disk; nil where there is none.
func (c *Council) witness() *consensus.Witness {
	if c.o.Witness == "" {
		return nil
	}
	w, err := consensus.OpenWitness(c.o.Witness)
	if err != nil {
		c.o.Log.WithError(err).Warn("after a restart this member will have to ask the others whether its disk is the last one")
	}
	return w
}

// goOnWith takes part by what the disk has, once it is known not to be one of before: that would vote as if it remembered, and its
// plans are not all. A note beside it tells, or enough others do: of those that settled an entry with this life, or elected somebody,
// at least one is among any so many. What they have bounds what it may have said and forgotten.
func (c *Council) goOnWith(ctx context.Context, v *voice, disk *consensus.Disk) {
	w := c.witness()
	was, known := w.Knows(v.who.Life)
	if failpoint.On(failpoint.TrustsDisk) {
		c.begin(v, disk, w, nil, true)
		return
	}
	voters, self := 0, false
	for _, p := range c.o.Group.Peers {
		if p.Voter {
			voters++
			self = self || p.Name == c.o.Self
		}
	}
	need := voters - (voters/2 + 1) + 1
	said := false
	for {
		others, forgot := c.recall(ctx, v)
		if forgot || known && v.mark.Older(was) {
			w.Close()
			v.strange <- struct{}{}
			return
		}
		switch {
		case known || !self: // who has no vote needs no bound; it sends nothing before its lease
			c.begin(v, disk, w, nil, known)
			return
		case len(others) >= need:
			bound := consensus.Mark{}
			for _, m := range others {
				bound = bound.Cover(m)
			}
			c.begin(v, disk, w, &bound, false)
			return
		}
		if !said {
			said = true
			c.o.Log.WithFields(logrus.Fields{"heard": len(others), "needed": need}).
				Warn("nothing tells whether this member's disk is its last one: it takes no part before enough other voters have answered, or group vouch")
		}
		select {
		case <-ctx.Done():
			w.Close()
			return
		case <-v.vouched:
			c.begin(v, disk, w, nil, true)
			return
		case <-time.After(joinEvery):
		}
	}
}

// begin takes part in the agreement by what the disk has. bound is what it may have said and forgotten; proven tells that there is no
// such thing.
func (c *Council) begin(v *voice, disk *consensus.Disk, w *consensus.Witness, bound *consensus.Mark, proven bool) {
	who := disk.Who() // from the start on the disk is the loop's
	a, err := consensus.Start(consensus.Options{Disk: disk, Witness: w, Bound: bound, Machine: c, Send: c.send, Log: c.o.Log})
	if err != nil {
		c.o.Log.WithError(err).Error("this member takes no part in the group's agreement; it serves on")
		return
	}
	c.mu.Lock()
	v.agree, v.who = a, who
	c.mu.Unlock()
	if disk.Kept() && who.Heard && proven {
		// Guards against a disk that has a vote and no plan yet: what it has is not enough, it has to have been confirmed once.
		// From then on no plan has begun that this life did not confirm.
		c.o.Dispatcher.Blind(false)
	}
}

// recall asks the others whether our disk is older than what this life has said to them, and how far they are: voters' answers, by
// name.
func (c *Council) recall(ctx context.Context, v *voice) (others map[string]consensus.Mark, forgot bool) {
	others = map[string]consensus.Mark{}
	ask, err := json.Marshal(v.mark)
	if err != nil {
		return others, false
	}
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range c.o.Group.Peers {
		if p.Name == c.o.Self {
			continue
		}
		all.Go(func() {
			raw, err := c.ask(ctx, v, p.Name, pathRecall, ask)
			var no *peer.Refused
			var its consensus.Mark
			mu.Lock()
			defer mu.Unlock()
			forgot = forgot || errors.As(err, &no) && no.Text == forgotText
			if err == nil && json.Unmarshal(raw, &its) == nil && its.Term > 0 && p.Voter {
				others[p.Name] = its
			}
		})
	}
	all.Wait()
	return others, forgot
}

// enter asks the others to be taken in, until it is.
func (c *Council) enter(ctx context.Context, v *voice, disk *consensus.Disk) {
	ask, err := json.Marshal(joining{Name: c.o.Self, Life: v.who.Life, ID: v.who.ID})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case again := <-v.founding:
			if err := c.foundHere(v, disk, again); err != nil {
				c.o.Log.WithError(err).Error("the group cannot be founded here")
				continue
			}
			return
		case <-time.After(joinEvery):
		}
		outside := 0
		for _, i := range randv2.Perm(len(c.o.Group.Peers)) {
			p := c.o.Group.Peers[i]
			if p.Name == c.o.Self {
				continue
			}
			raw, err := c.ask(ctx, v, p.Name, pathJoin, ask)
			var no *peer.Refused
			if errors.As(err, &no) && no.Text == outsideText {
				outside++
			}
			var is joined
			if err != nil || json.Unmarshal(raw, &is) != nil || is.Founded == "" {
				continue
			}
			if err := disk.Belong(is.Founded); err != nil {
				c.o.Log.WithError(err).Error("the group's folder cannot be written")
				continue
			}
			c.begin(v, disk, c.witness(), nil, true)
			c.o.Log.WithField("founded", is.Founded).Info("this member was taken into the group")
			return
		}
		// Where all the others are in no group either there is no plan that we could have missed.
		if outside == len(c.o.Group.Peers)-1 {
			c.o.Dispatcher.Blind(false)
		}
	}
}

func (c *Council) ask(ctx context.Context, v *voice, to, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	return v.links.Ask(ctx, to, path, body)
}

func (c *Council) self() (peer.Peer, bool) {
	for _, p := range c.o.Group.Peers {
		if p.Name == c.o.Self {
			return p, true
		}
	}
	return peer.Peer{}, false
}

// who says whose our messages are.
func (c *Council) who() peer.Sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := peer.Sender{Name: c.o.Self}
	if c.voice != nil {
		s.Life, s.Founded = c.voice.who.Life, c.voice.who.Founded
	}
	return s
}

// old tells whether a member has begun another life since one.
func (c *Council) old(name, life string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.state.Members[name]
	return m != nil && m.Was(life)
}

// lost says that a message to a member did not arrive.
func (c *Council) lost(name string) {
	c.mu.Lock()
	m, v := c.state.Members[name], c.voice
	c.mu.Unlock()
	if a := c.agreement(); a != nil && m != nil && v != nil {
		a.Unreachable(m.ID)
	}
}

// agreement is our part in it; nil where we have none.
func (c *Council) agreement() *consensus.Agree {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.voice == nil {
		return nil
	}
	return c.voice.agree
}

// name is the member of a raft id; empty where none has it.
func (c *Council) name(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.state.Members {
		if m.ID == id {
			return m.Name
		}
		if slices.ContainsFunc(m.Old, func(l maintenance.Life) bool { return l.ID == id }) {
			return "" // nobody listens under that id any more
		}
	}
	return c.heardOf[id] // we may be too new to have the state
}

// handOver gives the lead to another voter, if we have it.
func (c *Council) handOver() {
	a := c.agreement()
	if a == nil || !a.Status().Leads {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	caught := a.Caught(ctx)
	c.mu.Lock()
	to := uint64(0)
	for _, m := range c.state.Members {
		for _, id := range caught {
			if m.ID == id && m.Voter && m.Name != c.o.Self {
				to = id
			}
		}
	}
	c.mu.Unlock()
	if to == 0 {
		return
	}
	a.HandOver(ctx, to)
	for ctx.Err() == nil && a.Status().Leads {
		pause(ctx, 5*time.Millisecond)
	}
}

// Fields are what has passed on our links, for the log; nil where this process has no place in the group.
func (c *Council) Fields() logrus.Fields {
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	if v == nil {
		return nil
	}
	f := logrus.Fields{}
	for name, n := range v.links.Counters.All() {
		f["group_"+name] = n
	}
	return f
}

// Leave gives the lead away, within a second: this process stops soon.
func (c *Council) Leave() { c.handOver() }

// Close ends this member's part, soon.
func (c *Council) Close() {
	c.closing.Store(true)
	c.quit()
	<-c.done
}

// guardOf is what a state binds a dispatcher to.
func guardOf(s *maintenance.State) engine.Guard {
	away, leased := s.Away(), s.Leased()
	return engine.Guard{Away: away.Runners, AwayAt: away.Hosts, Leased: leased.Runners, LeasedAt: leased.Hosts}
}

// Apply puts a settled entry in force; agree calls it.
func (c *Council) Apply(index uint64, data []byte) {
	events, guard := c.carryOut(index, data)
	if len(events) > 0 && !c.forgets() {
		c.o.Dispatcher.Guard(guard)
	}
	for _, e := range events {
		log := c.o.Log.WithField("index", index)
		if e.Plan != "" {
			log = log.WithField("plan", e.Plan)
		}
		if e.Machine != "" {
			log = log.WithField("machine", e.Machine)
		}
		log.WithField("what", e.What).Info("settled")
	}
	c.wake()
}

// carryOut changes the state by an entry. It panics at one of a newer build, and the agreement's loop ends our part then.
func (c *Council) carryOut(index uint64, data []byte) ([]maintenance.Event, engine.Guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.state.Seq
	events := c.state.Apply(index, data)
	if c.state.Seq != was {
		c.at = time.Now()
	}
	return events, guardOf(c.state)
}

func (c *Council) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot is the settled state; agree calls it.
func (c *Council) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Encode()
}

// Restore takes a settled state over; agree calls it.
func (c *Council) Restore(data []byte) error {
	s, err := maintenance.Decode(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.state, c.at = s, time.Now()
	guard := guardOf(s)
	c.mu.Unlock()
	if !c.forgets() {
		c.o.Dispatcher.Guard(guard)
	}
	c.wake()
	return nil
}

// forgets tells whether a planted fault passes over what is settled already at the start.
func (c *Council) forgets() bool {
	if !failpoint.On(failpoint.ForgetsOut) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voice == nil || time.Since(c.voice.began) < 2*time.Second
}

// send carries one of raft's messages.
func (c *Council) send(to uint64, raw []byte, _ bool) {
	name := c.name(to)
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	if v != nil && name != "" {
		v.links.Post(name, pathRaft, raw)
	}
}

// inForce waits until all up to an index is in force here.
func (c *Council) inForce(ctx context.Context, index uint64) error {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		a := c.agreement()
		if a == nil {
			return errOutside
		}
		if a.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond): // entries of raft's own change no state
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
