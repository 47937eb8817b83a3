package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// Call is what staff ask for at a member.
type Call struct {
	Runner string `json:"runner,omitempty"` // whom a word is on; empty: all are told
	Out    bool   `json:"out,omitempty"`
}

// Reply is the answer to a Call.
type Reply struct {
	Told     string           `json:"told"` // by which member
	Text     string           `json:"text,omitempty"`
	Wrong    bool             `json:"wrong,omitempty"`
	CaughtUp bool             `json:"caught_up"`
	Unkept   string           `json:"unkept,omitempty"` // why nothing is kept over a restart; empty: it is
	Digest   string           `json:"digest"`           // the same at members that have the same words
	Lives    int              `json:"lives"`
	Words    []WordStatus     `json:"words"`
	Members  []MemberStatus   `json:"members"` // this one first
	Counters map[string]int64 `json:"counters"`
}

// WordStatus is what staff have said of a runner.
type WordStatus struct {
	Runner   string `json:"runner"`
	Out      bool   `json:"out"`
	Conflict bool   `json:"conflict,omitempty"` // words that did not know of each other; a new one ends it
	Said     []Said `json:"said"`
}

// MemberStatus is a member as the one that tells has met it.
type MemberStatus struct {
	Name string `json:"name"`
	About
	Met      time.Duration `json:"met"`    // ago; below 0: never
	Same     time.Duration `json:"same"`   // ago that it had the same as the one that tells; below 0: never
	Behind   int           `json:"behind"` // entries that the one that tells has seen and it had not, by their number
	Held     int           `json:"held"`
	Messages int64         `json:"messages"` // that it was asked
	BytesOut int64         `json:"bytes_out"`
	BytesIn  int64         `json:"bytes_in"`
}

// Said is one word.
type Said struct {
	Out    bool      `json:"out"`
	Member string    `json:"member"`
	At     time.Time `json:"at"` // by that member's clock
}

// Ask makes a call of staff at one member: that one's words are told, and it takes a word.
func Ask(ctx context.Context, at string, c Call) (*Reply, error) {
	r := &Reply{}
	if err := peer.Staff(ctx, at, PathStaff, c, r); err != nil {
		return nil, fmt.Errorf("%s: %w", at, err)
	}
	return r, nil
}

func (s *Spread) onStaff(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var c Call
	if err := json.Unmarshal(body, &c); err != nil {
		return json.Marshal(Reply{Wrong: true, Text: "no call: " + err.Error()})
	}
	text := ""
	if c.Runner != "" {
		note, err := s.o.Say(c.Runner, c.Out)
		if err != nil {
			return json.Marshal(Reply{Told: s.o.Self, Wrong: true, Text: err.Error()})
		}
		if text = "yes"; note != "" {
			text = "yes; " + note
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy == nil {
		return nil, errOutside
	}
	r := s.status()
	r.Text = text
	return json.Marshal(r)
}

// status is what is known here. The lock is held.
func (s *Spread) status() *Reply {
	r := &Reply{
		Told: s.o.Self, CaughtUp: s.caughtUp(), Digest: fmt.Sprintf("%016x", s.copy.Sum()), Lives: len(s.copy.Seen()), Counters: s.Fields(),
	}
	switch {
	case s.unkept != nil:
		r.Unkept = s.unkept.Error()
	case s.disk == nil:
		r.Unkept = errNoFolder.Error()
	}
	is := s.hello()
	r.Members = []MemberStatus{{Name: s.o.Self, About: is.About, Held: is.Held}}
	ago := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return time.Since(t)
	}
	for _, name := range slices.Sorted(slices.Values(s.o.Peers)) {
		m, p := s.others[name], s.passed[name]
		behind := is.Count - m.seen
		if m.at.IsZero() {
			behind = is.Count
		}
		r.Members = append(r.Members, MemberStatus{name, m.about, ago(m.at), ago(m.same), behind, m.held, p.messages, p.out, p.in})
	}
	for _, name := range s.copy.Names(replication.Word) {
		all := s.copy.Get(replication.Word, name)
		w := WordStatus{Runner: name, Out: replication.Out(all), Conflict: replication.Conflict(all)}
		for _, e := range all {
			w.Said = append(w.Said, Said{e.Out, e.Member, time.UnixMilli(e.At)})
		}
		slices.SortFunc(w.Said, func(a, b Said) int { return a.At.Compare(b.At) })
		r.Words = append(r.Words, w)
	}
	return r
}

// Fields are the counters, for log and status.
func (s *Spread) Fields() map[string]int64 {
	c := &s.Counters
	return map[string]int64{
		"words_rounds": c.Rounds.Load(), "words_pieces": c.Pieces.Load(), "words_taken": c.Taken.Load(),
		"words_dropped": c.Dropped.Load(), "words_refused": c.Refused.Load(), "words_unkept": c.Unkept.Load(),
	}
}
