// Package gossip carries one member's copy of what is replicated to the others of its group, and keeps it on disk. What copies come
// to stands in internal/replication; how messages travel in internal/peer.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	randv2 "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
	"birchfork/internal/hotrestart"
	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// Times and bounds of a member.
const (
	roundEvery = time.Second     // between rounds while nothing is new
	askWait    = time.Second     // for a member's answer
	syncWait   = 3 * time.Second // for the disk to take a word: then staff hear that it has not yet
	fan        = 3               // members that news goes to at once
	pieceMost  = 200             // entries of a piece, some 40 kB
	pullsMost  = 4               // members that are asked at a time
	caughtWait = 2 * time.Second // a start waits for the others' words no longer than that
	caughtFrom = 2               // ... or until so many have told all they had
)

// The paths of the links.
const (
	pathHello = "/group/copies/hello"
	pathPull  = "/group/copies/pull"
	pathGone  = "/group/copies/gone"
	PathStaff = "/group/words"
)

// Options is all that a Spread is made of.
type Options struct {
	Group, Self string
	Folder      string   // empty: nothing is kept over a restart
	Peers       []string // the other members
	// Changed puts what staff's words on a runner come to now in force at this dispatcher, and returns which word that was there.
	Changed func(runner string, out bool) int64
	// Say says a word as the operators' door does.
	Say   func(runner string, out bool) (note string, err error)
	About func() About // this process, for the others and staff; nil: nothing is told
	Log   logrus.FieldLogger
}

// About is what members tell of themselves, to be seen side by side.
type About struct {
	Version  string    `json:"version"`
	Settings string    `json:"settings"` // a digest of the platform's, but for what is each dispatcher's own
	Operator string    `json:"operator"` // ... of the operator's file
	Started  time.Time `json:"started"`  // by that member's clock
}

// met is what another member told last.
type met struct {
	about      About
	at, same   time.Time // of its last word, and of the last one by which it had the same as we; zero: never
	seen, held int       // entries that it has seen, and has
}

// passed counts what has gone to a member and come from it.
type passed struct{ messages, out, in int64 }

// Counters count what passes.
type Counters struct {
	Rounds, Pieces, Taken, Dropped, Refused, Unkept atomic.Int64
}

// Spread is one member's part, until Close.
type Spread struct {
	Counters Counters

	o     Options
	began time.Time

	patience time.Duration // syncWait, but in tests

	mu      sync.Mutex
	copy    *replication.Copy // nil: another process of this dispatcher has it
	disk    *disk
	dirty   map[replication.Ref]bool // what the disk was not given, or did not take
	given   uint64                   // what was seen, as the disk was given it
	refused bool                     // it did not take that
	last    *batch                   // that it was given
	unkept  error                    // why the disk may not have them
	heard   map[string]replication.Seen
	pulls   map[string]*replication.Pull
	asking  map[string]bool
	caught  map[string]bool // members that have told all they had
	first   time.Time       // when another member was first heard of by this copy
	others  map[string]met
	passed  map[string]passed
	known   map[string]int64 // words of this dispatcher's processes that are in the copy, or were before it
	before  map[string]bool  // runners that were out before, of which the copy knew nothing
	settled bool             // words from before are told apart from new ones

	links *peer.Links // nil: this process has no place in the group
	quit  context.CancelFunc
	done  chan struct{}
	news  chan struct{}
	meet  chan string
}

// New reads the disk, so that what it has binds before anything is sent. Where another process of this dispatcher has it that one
// is to tell, until it leaves.
func New(o Options) (*Spread, error) {
	s := &Spread{o: o, began: time.Now(), patience: syncWait, others: map[string]met{}, passed: map[string]passed{}, news: make(chan struct{}, 1), meet: make(chan string, 16)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.open(); err != nil && !errors.Is(err, boltstore.ErrTaken) {
		return nil, err
	}
	return s, nil
}

// open begins a copy by what the disk has. The lock is held.
func (s *Spread) open() error {
	life := rand.Text()[:16] // of its own: no count of it was ever used
	if failpoint.On(failpoint.CountAgain) {
		life = s.o.Self
	}
	c := replication.New(life)
	d, unreadable, err := openDisk(s.o.Folder, s.o.Group, c, s.wrote)
	if errors.Is(err, boltstore.ErrTaken) || errors.Is(err, boltstore.ErrForeign) {
		return err
	}
	if unreadable != nil {
		s.o.Log.WithError(unreadable).Error("the words that this member kept cannot be read; the others' are taken")
	}
	if s.unkept = nil; err != nil {
		s.unkept = err
		s.o.Log.WithError(err).Error("the group's folder cannot be used: words are not kept over a restart of this member")
	}
	s.copy, s.disk, s.dirty, s.given, s.refused = c, d, map[replication.Ref]bool{}, c.Seen().Sum(), false
	s.last = nil
	s.heard, s.pulls, s.asking, s.caught = map[string]replication.Seen{}, map[string]*replication.Pull{}, map[string]bool{}, map[string]bool{}
	s.first = time.Time{}
	s.known, s.before, s.settled = map[string]int64{}, map[string]bool{}, false
	for _, name := range c.Names(replication.Word) {
		if out := s.out(name); out {
			s.known[name] = s.o.Changed(name, out)
		}
	}
	return nil
}

// out is what staff's words on a runner come to. The lock is held.
func (s *Spread) out(name string) bool { return replication.Out(s.copy.Get(replication.Word, name)) }

// Enter takes part by the links of a place in the group, before they serve.
func (s *Spread) Enter(l *peer.Links) {
	s.mu.Lock()
	if s.copy == nil {
		if err := s.open(); err != nil {
			s.o.Log.WithError(err).Error("this member takes no part in what is replicated")
		}
	}
	s.links = l
	s.mu.Unlock()
	l.Handle(pathHello, s.onHello)
	l.Handle(pathPull, s.onPull)
	l.Handle(pathGone, s.onGone)
	l.HandleStaff(PathStaff, s.onStaff)
	ctx, quit := context.WithCancel(context.Background())
	s.quit, s.done = quit, make(chan struct{})
	go s.run(ctx, s.done)
}

// Leave gives the place up: another process of this dispatcher has the copy from then on.
func (s *Spread) Leave() {
	s.quit()
	<-s.done
	s.Close()
}

// Close ends this member's part, after Leave if it has a place: it lets go of copy and disk.
func (s *Spread) Close() {
	s.mu.Lock()
	s.links = nil
	if s.copy == nil {
		s.mu.Unlock()
		return
	}
	s.keep()
	d := s.disk
	s.copy, s.disk = nil, nil
	s.mu.Unlock() // the disk's loop may want it
	if err := d.close(); err != nil {
		s.o.Log.WithError(err).Warn("the group's words were not closed in order")
	}
}

// keep has the disk write what it may not have; it is tried again with each round. The lock is held.
func (s *Spread) keep() {
	sum := s.copy.Seen().Sum()
	if failpoint.On(failpoint.EarlyYes) && time.Since(s.began) < 8*time.Second {
		return
	}
	if len(s.dirty) == 0 && sum == s.given && !s.refused || s.disk == nil {
		return
	}
	b, err := s.disk.put(s.copy, s.dirty)
	if err != nil {
		s.fails(err)
		return
	}
	s.dirty, s.given, s.refused, s.last = map[replication.Ref]bool{}, sum, false, b
}

// wrote hears what became of a batch: what the disk did not take it is given again.
func (s *Spread) wrote(d *disk, b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.disk != d: // it is closed just now
	case b.err == nil:
		s.unkept = nil
	default:
		s.refused = true
		for what := range b.entries {
			s.dirty[what] = true
		}
		s.fails(b.err)
	}
}

// fails notes that words are not kept. The lock is held.
func (s *Spread) fails(err error) {
	s.Counters.Unkept.Add(1)
	if s.unkept == nil {
		s.o.Log.WithError(err).Error("words are not kept on this member's disk; it is tried again")
	}
	s.unkept = err
}

// Say takes a word of staff that is in force here already, as the given word of this dispatcher's processes, and syncs it. The
// note is for staff: what they should know beside that it was taken.
func (s *Spread) Say(runner string, out bool, at int64) (note string, err error) {
	s.mu.Lock()
	if s.copy == nil {
		s.mu.Unlock()
		return "", nil // the process that has the copy hears it from this one's
	}
	err = s.say(runner, out, at)
	b, unkept := s.last, s.unkept
	if s.disk == nil && unkept == nil {
		unkept = errNoFolder
	}
	s.mu.Unlock()
	if err != nil {
		return "", err
	}
	if b != nil {
		select {
		case <-b.tried:
			unkept = b.err
		case <-time.After(s.patience):
			unkept = errSlow
		}
	}
	if unkept != nil {
		note = fmt.Sprintf("this member does not keep it over a restart: %v", unkept)
	}
	return note, nil
}

// say takes a word and hands it to the disk. The lock is held.
func (s *Spread) say(runner string, out bool, at int64) error {
	s.known[runner] = at
	delete(s.before, runner)
	all := s.copy.Get(replication.Word, runner)
	if replication.Out(all) != out || replication.Conflict(all) || out && len(all) == 0 {
		if _, err := s.copy.Say(replication.Entry{Kind: replication.Word, Name: runner, Out: out, Member: s.o.Self, At: time.Now().Add(failpoint.Skew(s.o.Self)).UnixMilli()}); err != nil {
			return fmt.Errorf("it binds here alone: %w", err)
		}
		s.dirty[replication.Ref{Kind: replication.Word, Name: runner}] = true
		if failpoint.On(failpoint.NewerWords) {
			e, err := s.copy.Say(replication.Entry{Kind: "later", Name: runner, Member: s.o.Self, Data: []byte(`{"of":"a newer build"}`)})
			if err != nil {
				return err
			}
			s.dirty[replication.Ref{Kind: e.Kind, Name: e.Name}] = true
		}
	}
	s.keep()
	s.poke()
	return nil
}

func (s *Spread) poke() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Local hears all words of this dispatcher's processes, now and then: what another one was told goes into the copy. Those from
// before count where the copy knows nothing of a runner, once the others had time to tell.
func (s *Spread) Local(words hotrestart.Words) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(words)) {
		w := words[name]
		if s.known[name] == w.At {
			continue
		}
		s.known[name] = w.At
		all := s.copy.Get(replication.Word, name)
		switch {
		case s.settled:
			if replication.Out(all) != w.Out {
				s.say(name, w.Out, w.At)
			}
		case len(all) == 0 && w.Out:
			s.before[name] = true
		case replication.Out(all) != w.Out:
			s.known[name] = s.o.Changed(name, !w.Out)
		}
	}
	s.settled = true
	if len(s.before) > 0 && s.caughtUp() {
		for _, name := range slices.Sorted(maps.Keys(s.before)) {
			if len(s.copy.Get(replication.Word, name)) == 0 {
				s.say(name, true, s.known[name])
			}
		}
		clear(s.before)
	}
}

// CaughtUp tells whether this member has what others had at its start, or has waited for it long enough.
func (s *Spread) CaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy == nil || s.caughtUp()
}

func (s *Spread) caughtUp() bool { return s.caughtEnough() || time.Since(s.began) > caughtWait }

// caughtEnough tells whether enough others have told all they had. The lock is held.
func (s *Spread) caughtEnough() bool { return len(s.caught) >= min(caughtFrom, len(s.o.Peers)) }

// put has what may mean something else now be in force and on disk. The lock is held.
func (s *Spread) put(changed []replication.Ref) {
	for _, what := range changed {
		if s.dirty[what] = true; what.Kind != replication.Word { // of a newer build: passed on alone
			continue
		}
		delete(s.before, what.Name)
		s.known[what.Name] = s.o.Changed(what.Name, s.out(what.Name))
	}
	s.keep()
	if len(changed) > 0 {
		s.poke()
	}
}

// run meets other members, round by round.
func (s *Spread) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	var all sync.WaitGroup
	defer all.Wait()
	slots := make(chan struct{}, pullsMost)
	to := func(name string) {
		s.mu.Lock()
		free := s.copy != nil && !s.asking[name]
		if free {
			s.asking[name] = true
		}
		s.mu.Unlock()
		if !free || failpoint.On(failpoint.WordsStay) {
			return
		}
		all.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.asking, name)
				s.mu.Unlock()
			}()
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-ctx.Done():
				return
			}
			if err := s.visit(ctx, name); err != nil {
				s.o.Log.WithError(err).WithField("member", name).Debug("a member's words could not be taken")
			}
		})
	}
	for first := true; ctx.Err() == nil; first = false {
		n := 1
		if !first {
			select {
			case <-ctx.Done():
				return
			case <-time.After(roundEvery/2 + randv2.N(roundEvery)):
			case <-s.news:
				n = fan
			case name := <-s.meet:
				to(name)
				continue
			}
		} else {
			n = fan
		}
		s.Counters.Rounds.Add(1)
		for _, i := range randv2.Perm(len(s.o.Peers))[:min(n, len(s.o.Peers))] {
			to(s.o.Peers[i])
		}
		s.forget()
	}
}

// forget lets go of words "back" that all members have.
func (s *Spread) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy == nil {
		return
	}
	var members []replication.Seen
	for _, name := range s.o.Peers {
		seen, ok := s.heard[name]
		if !ok {
			s.keep()
			return
		}
		members = append(members, seen)
	}
	for _, what := range s.copy.Forget(members) {
		s.dirty[what] = true
	}
	s.keep()
}

// hello is what a copy is like, in short.
type hello struct {
	Seen  uint64   `json:"seen"`
	Sum   uint64   `json:"sum"`
	Sums  []uint64 `json:"sums,omitempty"` // by bucket, where the same was seen and not the same is there
	Count int      `json:"count"`          // entries that were seen, those that are gone too
	Held  int      `json:"held"`
	About About    `json:"about,omitzero"`
}

// hello is ours. The lock is held.
func (s *Spread) hello() hello {
	seen := s.copy.Seen()
	h := hello{Seen: seen.Sum(), Sum: s.copy.Sum(), Count: seen.Count(), Held: s.copy.Len()}
	if s.o.About != nil {
		h.About = s.o.About()
	}
	return h
}

// meets notes another member's. The lock is held.
func (s *Spread) meets(name string, its *hello, same bool) {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	m := s.others[name]
	m.about, m.at, m.seen, m.held = its.About, time.Now(), its.Count, its.Held
	if same {
		m.same = m.at
	}
	s.others[name] = m
}

type pull struct {
	Seen replication.Seen `json:"seen"`
	From replication.Mark `json:"from"`
}

type gone struct {
	Seen uint64            `json:"seen"`
	Dots []replication.Dot `json:"dots"`
}

var (
	errOutside = &peer.Refused{Text: "this process has no copy"}
	errStarted = &peer.Refused{Text: "this process has just started: it has to hear of others first what its disk is worth"}
)

// visit takes all that a member has and we have not, and lets go of what it has seen go.
func (s *Spread) visit(ctx context.Context, name string) error {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		if s.copy == nil {
			s.mu.Unlock()
			return errOutside
		}
		is, seen := s.hello(), s.copy.Seen()
		s.mu.Unlock()
		var its hello
		if err := s.ask(ctx, name, pathHello, is, &its); err != nil {
			return err
		}
		s.mu.Lock()
		s.meets(name, &its, its.Seen == is.Seen && its.Sum == is.Sum)
		s.mu.Unlock()
		switch {
		case its.Seen == is.Seen && its.Sum == is.Sum:
			s.mu.Lock()
			s.heard[name], s.caught[name] = seen, true
			s.mu.Unlock()
			return nil
		case its.Seen == is.Seen && len(its.Sums) > 0:
			if err := s.mend(ctx, name, is, its); err != nil {
				return err
			}
			s.caughtBy(name)
		default:
			if err := s.pull(ctx, name); err != nil {
				return err
			}
			if tries > 0 { // what it has seen go is gone here too
				s.caughtBy(name)
			}
		}
		if tries > 0 { // the rest is the next round's
			return nil
		}
	}
}

func (s *Spread) caughtBy(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy != nil {
		s.caught[name] = true
	}
}

// pull takes pieces up to the last one; what is cut off goes on there.
func (s *Spread) pull(ctx context.Context, name string) error {
	for {
		s.mu.Lock()
		if s.copy == nil {
			s.mu.Unlock()
			return errOutside
		}
		p := s.pulls[name]
		if p == nil {
			p = &replication.Pull{}
			s.pulls[name] = p
			if failpoint.On(failpoint.Overwrites) {
				s.copy = replication.New(rand.Text()[:16])
			}
		}
		ask := pull{s.copy.Seen(), p.Mark}
		s.mu.Unlock()
		var piece replication.Piece
		if err := s.ask(ctx, name, pathPull, ask, &piece); err != nil {
			return err
		}
		s.mu.Lock()
		if s.copy == nil {
			s.mu.Unlock()
			return errOutside
		}
		changed, err := s.copy.Take(p, piece)
		if err != nil {
			s.Counters.Refused.Add(1)
			delete(s.pulls, name)
			s.mu.Unlock()
			return err
		}
		s.Counters.Pieces.Add(1)
		s.Counters.Taken.Add(int64(len(changed)))
		s.put(changed)
		s.mu.Unlock()
		if piece.Done {
			return nil
		}
	}
}

// mend lets go of entries that a member has seen go, where both have seen the same.
func (s *Spread) mend(ctx context.Context, name string, is, its hello) error {
	s.mu.Lock()
	if s.copy == nil {
		s.mu.Unlock()
		return errOutside
	}
	ask := gone{is.Seen, s.copy.Dots(s.copy.Differ(its.Sums))}
	s.mu.Unlock()
	var out gone
	if err := s.ask(ctx, name, pathGone, ask, &out); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy == nil {
		return errOutside
	}
	changed := s.copy.Drop(out.Dots)
	s.Counters.Dropped.Add(int64(len(changed)))
	s.put(changed)
	return nil
}

func (s *Spread) ask(ctx context.Context, to, path string, in, into any) error {
	s.mu.Lock()
	l := s.links
	s.mu.Unlock()
	if l == nil {
		return errOutside
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	out := len(raw)
	raw, err = l.Ask(ctx, to, path, raw)
	s.mu.Lock()
	p := s.passed[to]
	s.passed[to] = passed{p.messages + 1, p.out + int64(out), p.in + int64(len(raw))}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s of %s: %w", path, to, err)
	}
	return nil
}

// answer reads a member's message and answers it, under the lock.
func answer[In, Out any](s *Spread, body []byte, do func(*In) (Out, error)) ([]byte, error) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		s.Counters.Refused.Add(1)
		return nil, &peer.Refused{Text: "no message about copies: " + err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy == nil {
		return nil, errOutside
	}
	out, err := do(&in)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

func (s *Spread) onHello(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	return answer(s, body, func(its *hello) (hello, error) {
		is := s.hello()
		s.meets(from.Name, its, its.Seen == is.Seen && its.Sum == is.Sum)
		if its.Seen == is.Seen && its.Sum == is.Sum {
			s.heard[from.Name] = s.copy.Seen()
			return is, nil
		}
		if its.Seen == is.Seen {
			is.Sums = s.copy.Sums()
		}
		select {
		case s.meet <- from.Name: // it may have what we have not
		default:
		}
		return is, nil
	})
}

func (s *Spread) onPull(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return answer(s, body, func(p *pull) (replication.Piece, error) {
		// Guards against a disk of before: one that has lost its own would take from it what all others have forgotten.
		if s.caughtEnough() || !s.first.IsZero() && time.Since(s.first) > caughtWait {
			return s.copy.News(p.Seen, p.From, pieceMost), nil
		}
		return replication.Piece{}, errStarted
	})
}

func (s *Spread) onGone(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return answer(s, body, func(g *gone) (gone, error) {
		// Guards against one that has seen less: what we let go of may be replaced by what it has not.
		if g.Seen != s.copy.Seen().Sum() {
			return gone{}, &peer.Refused{Text: "not the same was seen here"}
		}
		return gone{g.Seen, s.copy.Gone(g.Dots)}, nil
	})
}
