package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Call is what staff ask for. A Command's ID makes it act once however often it comes.
type Call struct {
	Command       *maintenance.Command `json:"command,omitempty"`
	Check         bool                 `json:"check,omitempty"`  // only look whether a plan could be handed in
	Bootstrap     bool                 `json:"found,omitempty"`  // begin the group here
	AfterDataLoss bool                 `json:"again,omitempty"`  // ... which had a history that is lost: no plan begins before Trust
	ConfirmDisk   bool                 `json:"vouch,omitempty"`  // this member's disk is the last one that it had
	Status        bool                 `json:"status,omitempty"` // tell how things stand
	Local         bool                 `json:"local,omitempty"`  // ... by what this member knows
}

// Reply is the answer to a Call.
type Reply struct {
	Code   int     `json:"code"` // as outage.Answer's
	Text   string  `json:"text"`
	Status *Status `json:"status,omitempty"`
}

// NotCommittedText begins an answer where no leader could settle the call in time.
const NotCommittedText = "not settled yet, ask again"

// handleOperatorCall takes a call of staff at any member.
func (c *Coordinator) handleOperatorCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return json.Marshal(Reply{Code: maintenance.CodeInvalid, Text: "no call: " + err.Error()})
	}
	if call.Bootstrap {
		return json.Marshal(c.bootstrap(ctx, call.AfterDataLoss))
	}
	if call.ConfirmDisk {
		return json.Marshal(c.confirmDisk())
	}
	if call.Status && call.Local {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(false)})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := c.requestLeader(ctx, pathCall, body)
	if err == nil {
		return out, nil
	}
	reply := Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf("%s (%v)", NotCommittedText, err)}
	if call.Status {
		c.mu.Lock()
		reply.Status = c.status(false)
		c.mu.Unlock()
	}
	return json.Marshal(reply)
}

// handleCall takes a call at the leader.
func (c *Coordinator) handleCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, &peer.RejectedError{Reason: "no call: " + err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	index, err := node.ReadIndex(ctx)
	if err == nil {
		err = c.waitApplied(ctx, index)
	}
	if err != nil {
		return nil, err
	}
	if call.Status {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(true)})
	}
	if call.Command == nil {
		return nil, &peer.RejectedError{Reason: "a call for nothing"}
	}
	c.mu.Lock()
	reply := c.precheck(&call)
	c.mu.Unlock()
	if reply != nil {
		return json.Marshal(reply)
	}
	return c.commit(ctx, node, call.Command)
}

// commit proposes a command and waits for its answer.
func (c *Coordinator) commit(ctx context.Context, node *consensus.Node, command *maintenance.Command) ([]byte, error) {
	raw, err := encodeEntry(command)
	if err != nil {
		return nil, err
	}
	if failpoint.Enabled(failpoint.AnswerBeforeCommit) && command.Kind == maintenance.CommandClaimMachine {
		time.AfterFunc(time.Second, func() { node.Propose(context.Background(), raw) })
		return json.Marshal(Reply{Text: "yes"})
	}
	if err := node.Propose(ctx, raw); err != nil {
		return nil, err
	}
	var answer maintenance.Result
	err = c.waitForState(ctx, func(s *maintenance.State) (ok bool) {
		answer, ok = s.Result(command.ID)
		return ok
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(Reply{Code: answer.Code, Text: answer.Text})
}
