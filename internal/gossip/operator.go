package gossip

import (
	"context"
	"fmt"
	"time"

	"birchfork/internal/peer"
)

// OverridesPath is the path of operators' calls on overrides.
const OverridesPath = "/group/words"

// Call is an operator's call at a member: it sets an override, or only requests a report.
type Call struct {
	Worker   string `json:"runner,omitempty"` // of the override; empty: none is set
	Disabled bool   `json:"out,omitempty"`
}

// Reply is the answer to a Call.
type Reply struct {
	Member       string           `json:"told"` // that has answered
	Text         string           `json:"text,omitempty"`
	Invalid      bool             `json:"wrong,omitempty"` // the call was rejected; Text has the reason
	CaughtUp     bool             `json:"caught_up"`
	NotPersisted string           `json:"unkept,omitempty"` // why overrides do not survive a restart; empty: they do
	Digest       string           `json:"digest"`           // equal for members with the same overrides
	Incarnations int              `json:"lives"`            // that have written entries
	Overrides    []OverrideStatus `json:"words"`            // by worker
	Members      []MemberStatus   `json:"members"`          // the member that has answered comes first
	Counters     map[string]int64 `json:"counters"`
}

// OverrideStatus is the override of a worker.
type OverrideStatus struct {
	Worker   string          `json:"runner"`
	Disabled bool            `json:"out"`
	Conflict bool            `json:"conflict,omitempty"` // concurrent writes differ; a new write resolves the conflict
	Writes   []OverrideWrite `json:"said"`               // the concurrent ones, by time
}

// OverrideWrite is an operator's write at a member.
type OverrideWrite struct {
	Disabled bool      `json:"out"`
	Member   string    `json:"member"`
	At       time.Time `json:"at"` // by that member's clock
}

// MemberStatus is the status of a member as known to the one that reports it.
type MemberStatus struct {
	Name string `json:"name"`
	MemberInfo
	LastContact    time.Duration `json:"met"`    // time since then; below 0: never
	LastInSync     time.Duration `json:"same"`   // time since it had the same entries; below 0: never
	MissingEntries int           `json:"behind"` // number of entries that the reporting member has observed, minus that of this one
	StoredEntries  int           `json:"held"`
	Messages       int64         `json:"messages"` // number of requests that were sent to it
	BytesOut       int64         `json:"bytes_out"`
	BytesIn        int64         `json:"bytes_in"`
}

// CallMember makes a call at the member that listens at address (host:port).
func CallMember(ctx context.Context, address string, call Call) (*Reply, error) {
	reply := &Reply{}
	if err := peer.CallMember(ctx, address, OverridesPath, call, reply); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return reply, nil
}

// handleOperatorCall serves a Call.
func (n *Node) handleOperatorCall(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return peer.ServeJSON(body, malformedCall, n.serveCall)
}

func malformedCall(decodeErr error) (*Reply, error) {
	return &Reply{Invalid: true, Text: "no call: " + decodeErr.Error()}, nil
}

// serveCall sets the override that a call names, as a call of the admin server would, and reports.
func (n *Node) serveCall(call *Call) (reply *Reply, err error) {
	text := ""
	if call.Worker != "" {
		note, err := n.options.SetOverride(call.Worker, call.Disabled)
		if err != nil {
			return &Reply{Member: n.options.Self, Invalid: true, Text: err.Error()}, nil
		}
		text = "yes"
		if note != "" {
			text = "yes; " + note
		}
	}
	err = n.withReplica(func() error {
		reply = n.statusLocked()
		reply.Text = text
		return nil
	})
	return reply, err
}
