package coordinator

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
	"birchfork/internal/consensus"
	"birchfork/internal/goldentest"
	"birchfork/internal/maintenance"
)

// Patterns of the parts of an answer that depend on the time or on texts of the standard library.
var (
	timeDependent = regexp.MustCompile(`-?[0-9]+|true|false`)
	libraryText   = regexp.MustCompile(`invalid character .*`)
	contentLength = regexp.MustCompile(`Content-Length: [0-9]+`)
)

// memberHeader contains the headers of messages from member d1 to d0 in the group that startGroupOfOne starts.
var memberHeader = map[string]string{
	"X-Birchfork-Group": "g", "X-Birchfork-Founded": "f0", "X-Birchfork-From": "d1", "X-Birchfork-Life": "l1", "X-Birchfork-To": "d0",
}

// exchange is a message sent to a path.
type exchange struct {
	path, body    string
	timeDependent bool // mask numbers and booleans in the answer
}

// memberExchanges are messages from a member.
var memberExchanges = []exchange{
	{"/group/join", `{"name":"d1","life":"l1","id":9}`, false},
	{"/group/relay/group/join", `{"name":"d1","life":"l1","id":9}`, false},
	{"/group/join", `{"name":"d9","life":"l1","id":9}`, false},
	{"/group/join", `{"name":"d1"}`, false},
	{"/group/join", `no JSON`, false},
	{"/group/report", `{"name":"d1","life":"l1","applied":1,"alone":true,"bound":1,"warm":1,"plans":true,"level":2}`, true},
	{"/group/relay/group/report", `{"name":"d1","life":"l1","applied":1,"alone":true,"bound":1,"warm":1,"plans":true,"level":2}`, true},
	{"/group/report", `{"name":"d1","life":"l1","bound":9000000000000}`, false},
	{"/group/report", `{"name":"d1","life":"l9"}`, false},
	{"/group/report", `no JSON`, false},
	{"/group/recall", `{"term":9,"last":9,"last_term":9}`, true},
	{"/group/recall", `no JSON`, false},
	{"/group/call", `{"command":{"id":"1","kind":"retire","name":"nobody"}}`, false},
	{"/group/relay/group/call", `{"command":{"id":"2","kind":"retire","name":"nobody"}}`, false},
	{"/group/call", `{}`, false},
	{"/group/call", `no JSON`, false},
	{"/group/raft", ``, false},
}

// operatorExchanges are calls from an operator.
var operatorExchanges = []exchange{
	{"/group/staff", `{"found":true}`, false},
	{"/group/staff", `{"vouch":true}`, false},
	{"/group/staff", `no JSON`, false},
	{"/group/staff", `{"command":{"id":"3","kind":"retire","name":"nobody"}}`, false},
	{"/group/staff", `{"command":{"id":"3","kind":"pause","name":"p"}}`, false},
	{"/group/staff", `{}`, false},
	{"/group/staff", `{"command":{"id":"4","kind":"start","name":"p"}}`, false},
	{"/group/staff", `{"status":true}`, true},
	{"/group/staff", `{"status":true,"local":true}`, true},
}

// TestGolden_Exchanges verifies that the paths for members and operators accept the same messages and return the same answers as in an
// earlier build, and that the entry of a joining member is the same.
func TestGolden_Exchanges(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	startGroupOfOne(t, g)
	var out bytes.Buffer
	for _, e := range memberExchanges {
		e.write(t, &out, g.addresses[0], memberHeader)
	}
	for _, e := range operatorExchanges {
		e.write(t, &out, g.addresses[0], nil)
	}
	goldentest.Check(t, "exchanges.txt", out.Bytes())
	g.close()
	g.coordinators[0] = nil
	goldentest.Check(t, "join-entry.json", joinEntry(t, filepath.Join(g.dirs[0], "group.db")))
}

// startGroupOfOne starts the first member as the only voter, on storage with a known identity, and waits until it has a lease. The second
// member is not started.
func startGroupOfOne(t *testing.T, g *testGroup) {
	t.Helper()
	g.group.Members = g.group.Members[:2]
	g.group.Members[1].Voter = false
	storage, err := consensus.OpenStorage(g.dirs[0], consensus.Identity{Group: "g", Name: "d0", Incarnation: "l0", RaftID: 7})
	if err != nil {
		t.Fatal(err)
	}
	state := maintenance.New()
	state.AppliedIndex = 1
	state.Members["d0"] = &maintenance.Member{Name: "d0", Incarnation: "l0", RaftID: 7, Voter: true}
	raw, err := state.Encode()
	if err == nil {
		err = consensus.Bootstrap(storage, "f0", raw)
	}
	if err == nil {
		err = storage.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	c := g.start(0)
	for end := time.Now().Add(20 * time.Second); !c.isLeader(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after 20 s: the first member does not lead")
		}
		if c.node() == nil { // only a confirmation can verify its disk
			post(t, g.addresses[0], "/group/staff", `{"vouch":true}`, nil)
		}
	}
	g.eventually("the first member has a lease", g.dispatchers[0].hasLease)
}

// write sends the message, and writes the message and its answer to out.
func (e exchange) write(t *testing.T, out io.Writer, address string, header map[string]string) {
	t.Helper()
	status, answer := post(t, address, e.path, e.body, header)
	if e.timeDependent {
		answer = timeDependent.ReplaceAllString(answer, "#")
	}
	answer = libraryText.ReplaceAllString(answer, "...")
	fmt.Fprintf(out, "%s %s\n  %d %s\n", e.path, e.body, status, answer)
}

// post sends a message and returns the status and body of the answer.
func post(t *testing.T, address, path, body string, header map[string]string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, strings.TrimSpace(string(raw))
}

// joinEntry returns the command in the first membership change of a stored log.
func joinEntry(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var found []byte
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte("log")).ForEach(func(k, v []byte) error {
			raw, err := boltstore.VerifyChecksum(v)
			if err != nil {
				return err
			}
			var e raftpb.Entry
			if err := proto.Unmarshal(raw, &e); err != nil {
				return err
			}
			if e.GetIndex() != binary.BigEndian.Uint64(k) {
				t.Errorf("entry %d is stored at key %x", e.GetIndex(), k)
			}
			if e.GetType() != raftpb.EntryConfChangeV2 || found != nil {
				return nil
			}
			var change raftpb.ConfChangeV2
			if err := proto.Unmarshal(e.GetData(), &change); err != nil {
				return err
			}
			found = bytes.Clone(change.GetContext())
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
