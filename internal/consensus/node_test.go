package consensus

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What is for another life is refused, and how far a member has come is told by what it promises alone.
func TestNode_Receive(t *testing.T) {
	storage, err := OpenStorage("", testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := Start(Options{Storage: storage, StateMachine: &hashChain{t: t}, Log: log, Send: func(uint64, []byte, bool) {}})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	for _, c := range []struct {
		kind   raftpb.MessageType
		to     uint64
		reject bool
		want   Position
		bad    bool
	}{
		{raftpb.MsgAppResp, 7, false, Position{Term: 5, LastIndex: 9}, false}, {raftpb.MsgAppResp, 7, true, Position{Term: 5, LastIndex: 0}, false},
		{raftpb.MsgVote, 7, false, Position{Term: 5, LastIndex: 0}, false}, {raftpb.MsgPreVote, 7, false, Position{}, false},
		{raftpb.MsgPreVoteResp, 7, false, Position{}, false}, {raftpb.MsgVote, 8, false, Position{}, true},
	} {
		raw, err := proto.Marshal(&raftpb.Message{
			Type: &c.kind, To: &c.to, From: proto.Uint64(3), Term: proto.Uint64(5), Index: proto.Uint64(9), Reject: &c.reject,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, position, err := node.Receive(raw); position != c.want || (err != nil) != c.bad {
			t.Errorf("%v to %d: %+v, %v", c.kind, c.to, position, err)
		}
	}
	if _, _, err := node.Receive([]byte{0xff}); err == nil {
		t.Error("bytes that are no message were taken")
	}
}
