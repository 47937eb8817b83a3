package agree

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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
	if d.Who().Life != "first" || d.Who().Founded != "f" || d.Mark() != (Mark{3, 4}) || hard.GetVote() != 9 || d.Empty() {
		t.Errorf("%+v, mark %+v, %v", d.Who(), d.Mark(), hard)
	}
	if _, err := OpenDisk(folder, whoever); !errors.Is(err, ErrTaken) {
		t.Errorf("a second owner: %v", err)
	}
	d.Close()
	for _, other := range []Identity{{Group: "h", Name: "a"}, {Group: "g", Name: "b"}} {
		if _, err := OpenDisk(folder, other); !errors.Is(err, ErrForeign) {
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
		case errors.Is(err, ErrForeign): // its name has the flipped bit
			return
		case err != nil:
			t.Errorf("%s at %d: %v", what, at, err)
			return
		}
		defer d.Close()
		hard, _, _ := d.cache.InitialState()
		switch {
		case d.Who().Life == "first" && d.Mark() == Mark{3, 4} && hard.GetVote() == 9:
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
	for n := 3; n < len(raw); n += 211 {
		flipped := bytes.Clone(raw)
		flipped[n] ^= 4
		try("flipped", n, flipped)
	}
	if whole == 0 || aside == 0 {
		t.Errorf("%d read whole, %d put aside", whole, aside)
	}
}

func TestMarks(t *testing.T) {
	for _, c := range []struct {
		disk, said Mark
		behind     bool
	}{{Mark{3, 9}, Mark{3, 9}, false}, {Mark{3, 9}, Mark{4, 2}, true}, {Mark{5, 9}, Mark{4, 10}, true}, {Mark{5, 9}, Mark{}, false}} {
		if c.disk.Behind(c.said) != c.behind {
			t.Errorf("%+v behind %+v is %t", c.disk, c.said, !c.behind)
		}
	}
}
