package consensus

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// TestNode_Receive verifies that malformed messages and messages for another incarnation are rejected, and that Receive returns the
// position that the sender promises.
func TestNode_Receive(t *testing.T) {
	storage, err := OpenStorage("", testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	node, err := Start(Options{Storage: storage, StateMachine: &hashChain{t: t}, Log: discardLogger(), Send: func(uint64, []byte, bool) {}})
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, node)
	for _, c := range []struct {
		kind   raftpb.MessageType
		to     uint64
		reject bool
		want   Position
		err    error
	}{
		{raftpb.MsgAppResp, 7, false, Position{Term: 5, LastIndex: 9}, nil},
		{raftpb.MsgAppResp, 7, true, Position{Term: 5, LastIndex: 0}, nil},
		{raftpb.MsgVote, 7, false, Position{Term: 5, LastIndex: 0}, nil},
		{raftpb.MsgPreVote, 7, false, Position{}, nil},
		{raftpb.MsgPreVoteResp, 7, false, Position{}, nil},
		{raftpb.MsgVote, 8, false, Position{}, ErrWrongIncarnation},
	} {
		raw, err := proto.Marshal(&raftpb.Message{
			Type: &c.kind, To: &c.to, From: proto.Uint64(3), Term: proto.Uint64(5), Index: proto.Uint64(9), Reject: &c.reject,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, position, err := node.Receive(raw); position != c.want || !errors.Is(err, c.err) {
			t.Errorf("%v to %d: promised %+v, error %v, want %+v, %v", c.kind, c.to, position, err, c.want, c.err)
		}
	}
	if _, _, err := node.Receive([]byte{0xff}); err == nil {
		t.Error("malformed message accepted")
	}
}
