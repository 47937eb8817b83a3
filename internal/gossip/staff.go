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
	Worker   string `json:"runner,omitempty"` // whom a word is on; empty: all are told
	Disabled bool   `json:"out,omitempty"`
}

// Reply is the answer to a Call.
type Reply struct {
	Member       string           `json:"told"` // by which member
	Text         string           `json:"text,omitempty"`
	Invalid      bool             `json:"wrong,omitempty"`
	CaughtUp     bool             `json:"caught_up"`
	NotPersisted string           `json:"unkept,omitempty"` // why nothing is kept over a restart; empty: it is
	Digest       string           `json:"digest"`           // the same at members that have the same words
	Incarnations int              `json:"lives"`
	Overrides    []OverrideStatus `json:"words"`
	Members      []MemberStatus   `json:"members"` // this one first
	Counters     map[string]int64 `json:"counters"`
}

// OverrideStatus is what staff have said of a runner.
type OverrideStatus struct {
	Worker   string          `json:"runner"`
	Disabled bool            `json:"out"`
	Conflict bool            `json:"conflict,omitempty"` // words that did not know of each other; a new one ends it
	Writes   []OverrideWrite `json:"said"`
}

// MemberStatus is a member as the one that tells has met it.
type MemberStatus struct {
	Name string `json:"name"`
	MemberInfo
	LastContact    time.Duration `json:"met"`    // ago; below 0: never
	LastInSync     time.Duration `json:"same"`   // ago that it had the same as the one that tells; below 0: never
	MissingEntries int           `json:"behind"` // entries that the one that tells has seen and it had not, by their number
	StoredEntries  int           `json:"held"`
	Messages       int64         `json:"messages"` // that it was asked
	BytesOut       int64         `json:"bytes_out"`
	BytesIn        int64         `json:"bytes_in"`
}

// OverrideWrite is one word.
type OverrideWrite struct {
	Disabled bool      `json:"out"`
	Member   string    `json:"member"`
	At       time.Time `json:"at"` // by that member's clock
}

// CallMember makes a call of staff at one member: that one's words are told, and it takes a word.
func CallMember(ctx context.Context, address string, c Call) (*Reply, error) {
	r := &Reply{}
	if err := peer.CallMember(ctx, address, OverridesPath, c, r); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return r, nil
}

func (n *Node) handleOperatorCall(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var c Call
	if err := json.Unmarshal(body, &c); err != nil {
		return json.Marshal(Reply{Invalid: true, Text: "no call: " + err.Error()})
	}
	text := ""
	if c.Worker != "" {
		note, err := n.options.SetOverride(c.Worker, c.Disabled)
		if err != nil {
			return json.Marshal(Reply{Member: n.options.Self, Invalid: true, Text: err.Error()})
		}
		if text = "yes"; note != "" {
			text = "yes; " + note
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return nil, errNoReplica
	}
	r := n.status()
	r.Text = text
	return json.Marshal(r)
}

// status is what is known here. The lock is held.
func (n *Node) status() *Reply {
	r := &Reply{
		Member: n.options.Self, CaughtUp: n.isCaughtUp(), Digest: fmt.Sprintf("%016x", n.replica.Digest()), Incarnations: len(n.replica.Version()), Counters: n.Fields(),
	}
	switch {
	case n.persistErr != nil:
		r.NotPersisted = n.persistErr.Error()
	case n.storage == nil:
		r.NotPersisted = errNoDir.Error()
	}
	ours := n.localDigest()
	r.Members = []MemberStatus{{Name: n.options.Self, MemberInfo: ours.Info, StoredEntries: ours.StoredEntries}}
	ago := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return time.Since(t)
	}
	for _, name := range slices.Sorted(slices.Values(n.options.Peers)) {
		m, p := n.peers[name], n.traffic[name]
		missing := ours.ObservedEntries - m.observedEntries
		if m.lastContact.IsZero() {
			missing = ours.ObservedEntries
		}
		r.Members = append(r.Members, MemberStatus{name, m.info, ago(m.lastContact), ago(m.lastInSync), missing, m.storedEntries, p.messages, p.bytesOut, p.bytesIn})
	}
	for _, name := range n.replica.Names(replication.KindOverride) {
		all := n.replica.Get(replication.KindOverride, name)
		w := OverrideStatus{Worker: name, Disabled: replication.IsDisabled(all), Conflict: replication.InConflict(all)}
		for _, e := range all {
			w.Writes = append(w.Writes, OverrideWrite{e.Disabled, e.Member, time.UnixMilli(e.WrittenAt)})
		}
		slices.SortFunc(w.Writes, func(a, b OverrideWrite) int { return a.At.Compare(b.At) })
		r.Overrides = append(r.Overrides, w)
	}
	return r
}

// Fields are the counters, for log and status.
func (n *Node) Fields() map[string]int64 {
	c := &n.Counters
	return map[string]int64{
		"words_rounds": c.Rounds.Load(), "words_pieces": c.Chunks.Load(), "words_taken": c.Merged.Load(),
		"words_dropped": c.Removed.Load(), "words_refused": c.Rejected.Load(), "words_unkept": c.PersistFailures.Load(),
	}
}
