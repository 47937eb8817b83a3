package gossip

import (
	"context"
	"fmt"
	"time"

	"birchfork/internal/peer"
)

// OverridesPath is the path of operators' calls on overrides.
const OverridesPath = "/group/words"

// Call is an operator's call to a member. It sets an override, or only requests a report.
type Call struct {
	Worker   string `json:"runner,omitempty"` // whose override is set; empty: no override is set
	Disabled bool   `json:"out,omitempty"`
}

// Reply is the answer to a Call.
type Reply struct {
	Member       string           `json:"told"` // name of the member that answered
	Text         string           `json:"text,omitempty"`
	Invalid      bool             `json:"wrong,omitempty"` // the call was rejected; Text contains the reason
	CaughtUp     bool             `json:"caught_up"`
	NotPersisted string           `json:"unkept,omitempty"` // why overrides do not survive a restart; empty: they do
	Digest       string           `json:"digest"`           // equal for members with the same overrides
	Incarnations int              `json:"lives"`            // number of incarnations that have written entries
	Overrides    []OverrideStatus `json:"words"`            // by worker
	Members      []MemberStatus   `json:"members"`          // the member that answered comes first
	Counters     map[string]int64 `json:"counters"`
}

// OverrideStatus is the override of a worker.
type OverrideStatus struct {
	Worker   string          `json:"runner"`
	Disabled bool            `json:"out"`
	Conflict bool            `json:"conflict,omitempty"` // concurrent writes differ; a new write resolves the conflict
	Writes   []OverrideWrite `json:"said"`               // the concurrent writes, ordered by time
}

// OverrideWrite is an operator's write at a member.
type OverrideWrite struct {
	Disabled bool      `json:"out"`
	Member   string    `json:"member"`
	At       time.Time `json:"at"` // by that member's clock
}

// MemberStatus is the status of a member as known to the reporting member.
type MemberStatus struct {
	Name string `json:"name"`
	MemberInfo
	LastContact    time.Duration `json:"met"`    // time since the last contact; negative: never
	LastInSync     time.Duration `json:"same"`   // time since it had the same entries; negative: never
	MissingEntries int           `json:"behind"` // entries observed by the reporting member minus those observed by this one
	StoredEntries  int           `json:"held"`
	Messages       int64         `json:"messages"` // number of requests sent to it
	BytesOut       int64         `json:"bytes_out"`
	BytesIn        int64         `json:"bytes_in"`
}

// CallMember makes a call to the member that listens at address (host:port).
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
	return &Reply{Invalid: true, Text: "malformed call: " + decodeErr.Error()}, nil
}

// serveCall sets the override of a call in the same way as the admin server, and returns the report.
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
