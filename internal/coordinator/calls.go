package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Call is an operator's call. Exactly one of Command, Bootstrap, ConfirmDisk and Status is set.
type Call struct {
	Command       *maintenance.Command `json:"command,omitempty"` // executed once per ID, even if received repeatedly
	Check         bool                 `json:"check,omitempty"`   // with a Command that submits a plan: only validate the plan
	Bootstrap     bool                 `json:"found,omitempty"`   // create the group at this member
	AfterDataLoss bool                 `json:"again,omitempty"`   // with Bootstrap: the group existed before and its log is lost
	ConfirmDisk   bool                 `json:"vouch,omitempty"`   // the operator confirms that this member's disk has its latest state
	Status        bool                 `json:"status,omitempty"`
	Local         bool                 `json:"local,omitempty"` // with Status: return what this member knows, without contacting the leader
}

// Reply is the reply to a Call.
type Reply struct {
	Code   maintenance.Code `json:"code"`
	Text   string           `json:"text"`
	Status *Status          `json:"status,omitempty"`
}

// NotCommittedText is the beginning of the reply's text if no leader could commit a call in time.
const NotCommittedText = "not settled yet, ask again"

// OutcomeUnknownText is the beginning of the text of a Client's reply if no member has answered whether the call was committed.
const OutcomeUnknownText = "no member could commit the call"

// noMembershipText is the reply's text for a call that this process could only serve if it had the membership.
const noMembershipText = "this process does not have its dispatcher's membership in the group"

// malformedCallPrefix is the beginning of the answer to a malformed call. The decoding error follows.
const malformedCallPrefix = "malformed call: "

// isNotCommitted reports whether the member could not get the call committed. Another member may succeed.
func (r *Reply) isNotCommitted() bool {
	return r.Code == maintenance.CodeRetryLater && strings.HasPrefix(r.Text, NotCommittedText)
}

// invalid returns the reply to a call that fails again if it is repeated.
func invalid(format string, args ...any) *Reply {
	return &Reply{Code: maintenance.CodeInvalid, Text: fmt.Sprintf(format, args...)}
}

// retryLater returns the reply to a call that cannot be executed at present.
func retryLater(format string, args ...any) *Reply {
	return &Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf(format, args...)}
}

// handleOperatorCall serves an operator's call at any member. It does not use peer.ServeJSON because it returns the leader's answer as
// received: decoding would drop the fields that only a newer build knows, and encoding again could change the bytes.
func (c *Coordinator) handleOperatorCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return json.Marshal(invalid("%s%v", malformedCallPrefix, err))
	}
	switch {
	case call.Bootstrap:
		return json.Marshal(c.bootstrap(ctx, call.AfterDataLoss))
	case call.ConfirmDisk:
		return json.Marshal(c.confirmDisk())
	case call.Status && call.Local:
		return json.Marshal(&Reply{Status: c.localStatus()})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	answer, err := c.requestLeader(ctx, pathCall, body)
	if err == nil {
		return answer, nil
	}
	reply := retryLater("%s (%v)", NotCommittedText, err)
	if call.Status {
		reply.Status = c.localStatus()
	}
	return json.Marshal(reply)
}

// localStatus returns the status known to this member.
func (c *Coordinator) localStatus() *Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status(false)
}

// handleCall serves an operator's call at the leader.
func (c *Coordinator) handleCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return peer.ServeJSON(body, peer.RejectMalformed[*Reply](malformedCallPrefix), func(call *Call) (*Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return c.serveCall(ctx, call)
	})
}

// serveCall executes an operator's call at the leader, after a quorum has confirmed that this member is the leader.
func (c *Coordinator) serveCall(ctx context.Context, call *Call) (*Reply, error) {
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	if _, err := c.readBarrier(ctx, node); err != nil {
		return nil, err
	}
	c.mu.Lock()
	reply, err := c.replyWithoutEntry(call)
	c.mu.Unlock()
	isServed := err != nil || reply != nil
	if isServed {
		return reply, err
	}
	return c.commit(ctx, node, call.Command)
}

// replyWithoutEntry returns the reply to a call that needs no log entry, or nil if the call needs one. c.mu must be held.
func (c *Coordinator) replyWithoutEntry(call *Call) (*Reply, error) {
	if call.Status {
		return &Reply{Status: c.status(true)}, nil
	}
	if call.Command == nil {
		return nil, &peer.RejectedError{Reason: "call requests no action"}
	}
	return c.precheck(call), nil
}

// commit proposes a command as an entry, waits until the entry is applied, and returns the command's result.
func (c *Coordinator) commit(ctx context.Context, node *consensus.Node, command *maintenance.Command) (*Reply, error) {
	raw, err := encodeEntry(command)
	if err != nil {
		return nil, err
	}
	if failpoint.Enabled(failpoint.AnswerBeforeCommit) && command.Kind == maintenance.CommandClaimMachine {
		uncancelled := context.WithoutCancel(ctx)
		time.AfterFunc(time.Second, func() { _ = node.Propose(uncancelled, raw) })
		return &Reply{Text: "yes"}, nil
	}
	if err := node.Propose(ctx, raw); err != nil {
		return nil, err
	}
	var result maintenance.Result
	err = c.waitForState(ctx, func(state *maintenance.State) (ok bool) {
		result, ok = state.Result(command.ID)
		return ok
	})
	if err != nil {
		return nil, err
	}
	return &Reply{Code: result.Code, Text: result.Text}, nil
}
