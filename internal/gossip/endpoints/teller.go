package endpoints

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// Times and bounds of telling.
const (
	lookEvery = 250 * time.Millisecond // at our own list
	fan       = 4                      // members that hear what is new here, and tell as many
	askFrom   = 2                      // members that one that starts asks for all
	askEvery  = time.Second
	askWait   = time.Second
	pieceMost = 1000 // facts of a message
)

// The paths of the links.
const (
	pathNews = "/group/list/news"
	pathAll  = "/group/list/all"
)

// Source is the list of this dispatcher: store.Store behind a small adapter.
type Source interface {
	// Facts are how far workers have come by our own list; fresh tells that discovery has told it since our start.
	Facts() (all []Fact, fresh bool)
	// Count is another one where the list has changed.
	Count() uint64
	// Alive is how long our own watch has told without a break; below 0: it does not.
	Alive() time.Duration
	// Heed leaves these workers out, in place of those before.
	Heed(names []string)
}

// Teller is one member's part. It tells nothing before Enter and after Leave.
type Teller struct {
	Told, Taken, Refused atomic.Int64

	peers  []string
	source Source
	log    logrus.FieldLogger
	began  time.Time

	mu     sync.Mutex
	roster *Roster
	seen   uint64 // count of the list that it has
	held   int

	quit context.CancelFunc
	done sync.WaitGroup
}

// NewTeller returns a Teller for a member with these others.
func NewTeller(peers []string, source Source, log logrus.FieldLogger) *Teller {
	return &Teller{peers: peers, source: source, log: log, began: time.Now(), roster: New()}
}

// Enter takes part by the links of a place in the group, before they serve.
func (t *Teller) Enter(l *peer.Links) {
	l.Handle(pathNews, func(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
		facts, err := decode(body)
		if err != nil {
			t.Refused.Add(1)
			return nil, err
		}
		t.tell(l, t.hear(facts))
		return nil, nil
	})
	l.Handle(pathAll, func(context.Context, peer.Sender, []byte) ([]byte, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		all, fresh := t.roster.All()
		if !fresh || failpoint.On(failpoint.ListUntold) {
			return nil, &peer.Refused{Text: "this member's own discovery has told nothing yet"}
		}
		return json.Marshal(all)
	})
	ctx, quit := context.WithCancel(context.Background())
	t.quit = quit
	t.done.Go(func() { t.look(ctx, l) })
	t.done.Go(func() { t.ask(ctx, l) })
}

// Leave gives the place up.
func (t *Teller) Leave() {
	t.quit()
	t.done.Wait()
}

// Fields are the counters, for the log.
func (t *Teller) Fields() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int64{
		"list_told": t.Told.Load(), "list_taken": t.Taken.Load(), "list_refused": t.Refused.Load(), "list_held": int64(t.held),
	}
}

func decode(body []byte) (facts []Fact, err error) {
	if err := json.Unmarshal(body, &facts); err != nil {
		return nil, &peer.Refused{Text: "no facts of a list: " + err.Error()}
	}
	return facts, nil
}

// hear takes facts over and returns those that were news here.
func (t *Teller) hear(facts []Fact) []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	news, refused := t.roster.Hear(time.Since(t.began), facts)
	t.Taken.Add(int64(len(news)))
	t.Refused.Add(int64(refused))
	if len(news) > 0 {
		t.heed()
	}
	return news
}

// heed leaves out whom others know to have come further. The lock is held.
func (t *Teller) heed() {
	held := t.roster.Held(time.Since(t.began), t.source.Alive())
	if len(held) != t.held {
		t.log.WithField("runners", len(held)).Info("others know of runners what our own discovery has not told yet: these get nothing")
	}
	t.held = len(held)
	t.source.Heed(held)
}

// look follows our own list.
func (t *Teller) look(ctx context.Context, l *peer.Links) {
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for ctx.Err() == nil {
		t.tell(l, t.own())
		select {
		case <-ctx.Done():
		case <-every.C:
		}
	}
}

// own takes our own list over, where it has changed, and returns what others are to hear.
func (t *Teller) own() (news []Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if count := t.source.Count(); count != t.seen { // read first: what comes between is taken with the next look
		t.seen = count
		news = t.roster.Own(t.source.Facts())
	}
	if t.held > 0 || len(news) > 0 {
		t.heed()
	}
	return news
}

// tell has some members hear what was news here. It does not wait.
func (t *Teller) tell(l *peer.Links, news []Fact) {
	if failpoint.On(failpoint.ListUntold) {
		return
	}
	for ; len(news) > 0; news = news[min(pieceMost, len(news)):] {
		raw, err := json.Marshal(news[:min(pieceMost, len(news))])
		if err != nil {
			return
		}
		for _, i := range rand.Perm(len(t.peers))[:min(fan, len(t.peers))] {
			l.Post(t.peers[i], pathNews, raw)
		}
		t.Told.Add(1)
	}
}

// ask asks some members for all they know, until so many have told.
func (t *Teller) ask(ctx context.Context, l *peer.Links) {
	told := map[string]bool{}
	for ctx.Err() == nil && len(told) < min(askFrom, len(t.peers)) {
		for _, i := range rand.Perm(len(t.peers)) {
			name := t.peers[i]
			if told[name] || ctx.Err() != nil || len(told) >= askFrom {
				continue
			}
			within, cancel := context.WithTimeout(ctx, askWait)
			raw, err := l.Ask(within, name, pathAll, nil)
			cancel()
			if err != nil {
				continue
			}
			facts, err := decode(raw)
			if err != nil {
				t.Refused.Add(1)
				continue
			}
			told[name] = true
			t.hear(facts) // whom they told has heard of it
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
}
