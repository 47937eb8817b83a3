package consensus

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
)

var whoever = Identity{Group: "g", Name: "a", Life: "first", ID: 7}

// folderOf is a folder whose disk has a vote and three entries.
func folderOf(t *testing.T) (folder string, raw []byte) {
	t.Helper()
	folder = t.TempDir()
	d, err := OpenDisk(folder, whoever)
	if err != nil {
		t.Fatal(err)
	}
	if err := Found(d, "f", []byte("state")); err != nil {
		t.Fatal(err)
	}
	var entries []*raftpb.Entry
	for i := uint64(2); i < 5; i++ {
		entries = append(entries, &raftpb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(3), Data: bytes.Repeat([]byte{byte(i)}, 40)})
	}
	if err := d.save(&raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(9), Commit: proto.Uint64(4)}, entries, nil); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if raw, err = os.ReadFile(filepath.Join(folder, diskFile)); err != nil {
		t.Fatal(err)
	}
	return folder, raw
}

// What a disk has is there again under its first life; another member's is refused by name, and stays as it is.
func TestADiskIsItsMembers(t *testing.T) {
	folder, raw := folderOf(t)
	d, err := OpenDisk(folder, Identity{Group: "g", Name: "a", Life: "second", ID: 8})
	if err != nil {
		t.Fatal(err)
	}
	hard, _, _ := d.cache.InitialState()
	if d.Who().Life != "first" || d.Who().Founded != "f" || d.Mark() != (Mark{Term: 3, Last: 4, LastTerm: 3}) || hard.GetVote() != 9 || d.Empty() {
		t.Errorf("%+v, mark %+v, %v", d.Who(), d.Mark(), hard)
	}
	if _, err := OpenDisk(folder, whoever); !errors.Is(err, boltstore.ErrTaken) {
		t.Errorf("a second owner: %v", err)
	}
	d.Close()
	for _, other := range []Identity{{Group: "h", Name: "a"}, {Group: "g", Name: "b"}} {
		if _, err := OpenDisk(folder, other); !errors.Is(err, boltstore.ErrForeign) {
			t.Errorf("%+v: %v", other, err)
		}
	}
	if now, _ := os.ReadFile(filepath.Join(folder, diskFile)); !bytes.Equal(now, raw) {
		t.Error("a disk that was refused was changed")
	}
}

// A file that is torn or has a flipped bit either tells what it had, or is put aside for another life: never a part of a vote.
func TestATornDiskIsAnotherLife(t *testing.T) {
	_, raw := folderOf(t)
	whole, aside := 0, 0
	try := func(what string, at int, raw []byte) {
		folder := t.TempDir()
		path := filepath.Join(folder, diskFile)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := OpenDisk(folder, Identity{Group: "g", Name: "a", Life: "second", ID: 8})
		switch {
		case errors.Is(err, boltstore.ErrForeign): // its name has the flipped bit
			return
		case err != nil:
			t.Errorf("%s at %d: %v", what, at, err)
			return
		}
		defer d.Close()
		hard, _, _ := d.cache.InitialState()
		same := true
		if d.Mark().Last == 4 {
			entries, err := d.cache.Entries(2, 5, 1<<20)
			for i, e := range entries {
				same = same && err == nil && bytes.Equal(e.GetData(), bytes.Repeat([]byte{byte(2 + i)}, 40))
			}
		}
		switch {
		case d.Who().Life == "first" && d.Mark() == Mark{Term: 3, Last: 4, LastTerm: 3} && hard.GetVote() == 9 && same:
			whole++
		case d.Who().Life == "second" && d.Empty():
			aside++
		case d.Who().Life == "first" && d.Mark().Last < 4: // a state that it had, on its older root
		default:
			t.Errorf("%s at %d: %+v, mark %+v, %v", what, at, d.Who(), d.Mark(), hard)
		}
	}
	for n := 0; n < len(raw); n += 509 {
		try("torn", n, raw[:n])
	}
	flip := func(n int) {
		flipped := bytes.Clone(raw)
		flipped[n] ^= 4
		try("flipped", n, flipped)
	}
	for n := 3; n < len(raw); n += 211 {
		flip(n)
	}
	entry := bytes.Repeat([]byte{3}, 40) // every copy of it, wherever the file has it
	for at := bytes.Index(raw, entry); at >= 0; {
		flip(at + 7)
		next := bytes.Index(raw[at+len(entry):], entry)
		if next < 0 {
			break
		}
		at += len(entry) + next
	}
	if whole == 0 || aside == 0 {
		t.Errorf("%d read whole, %d put aside", whole, aside)
	}
}

// Entries of another leader's go, on the disk too, where others stand in their place.
func TestEntriesGiveWay(t *testing.T) {
	folder, _ := folderOf(t)
	for i := range 2 {
		d, err := OpenDisk(folder, whoever)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := d.save(nil, []*raftpb.Entry{{Index: proto.Uint64(3), Term: proto.Uint64(4)}}, nil); err != nil {
				t.Fatal(err)
			}
		}
		if term, err := d.cache.Term(3); d.Mark().Last != 3 || term != 4 || err != nil {
			t.Errorf("mark %+v, entry 3 of term %d, %v", d.Mark(), term, err)
		}
		d.Close()
	}
}

// What is for another life is refused, and how far a member has come is told by what it promises alone.
func TestReceive(t *testing.T) {
	d, err := OpenDisk("", whoever)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, err := Start(Options{Disk: d, Machine: &chain{t: t}, Log: log, Send: func(uint64, []byte, bool) {}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	for _, c := range []struct {
		kind   raftpb.MessageType
		to     uint64
		reject bool
		want   Mark
		bad    bool
	}{
		{raftpb.MsgAppResp, 7, false, Mark{Term: 5, Last: 9}, false}, {raftpb.MsgAppResp, 7, true, Mark{Term: 5, Last: 0}, false},
		{raftpb.MsgVote, 7, false, Mark{Term: 5, Last: 0}, false}, {raftpb.MsgPreVote, 7, false, Mark{}, false},
		{raftpb.MsgPreVoteResp, 7, false, Mark{}, false}, {raftpb.MsgVote, 8, false, Mark{}, true},
	} {
		raw, err := proto.Marshal(&raftpb.Message{
			Type: &c.kind, To: &c.to, From: proto.Uint64(3), Term: proto.Uint64(5), Index: proto.Uint64(9), Reject: &c.reject,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, mark, err := a.Receive(raw); mark != c.want || (err != nil) != c.bad {
			t.Errorf("%v to %d: %+v, %v", c.kind, c.to, mark, err)
		}
	}
	if _, _, err := a.Receive([]byte{0xff}); err == nil {
		t.Error("bytes that are no message were taken")
	}
}

func TestMarks(t *testing.T) {
	for _, c := range []struct {
		disk, said Mark
		behind     bool
	}{{Mark{Term: 3, Last: 9}, Mark{Term: 3, Last: 9}, false}, {Mark{Term: 3, Last: 9}, Mark{Term: 4, Last: 2}, true}, {Mark{Term: 5, Last: 9}, Mark{Term: 4, Last: 10}, true}, {Mark{Term: 5, Last: 9}, Mark{}, false}} {
		if c.disk.Behind(c.said) != c.behind {
			t.Errorf("%+v behind %+v is %t", c.disk, c.said, !c.behind)
		}
	}
}
