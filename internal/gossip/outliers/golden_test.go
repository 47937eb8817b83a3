package outliers

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
)

// goldenLinks are member a's of the group g, whose member b has the address.
func goldenLinks(t *testing.T, b string) (l *peer.Links, on net.Listener) {
	t.Helper()
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = peer.Open(peer.Options{
		Group: "g", Self: "a", Peers: []peer.Peer{{Name: "a", Link: on.Addr().String()}, {Name: "b", Link: b}}, Log: logrus.New(),
		Who: func() peer.Sender { return peer.Sender{Name: "a", Life: "l", Founded: "f"} }, Old: func(string, string) bool { return false },
		Lost: func(string) {},
	})
	t.Cleanup(l.Close)
	return l, on
}

// A report keeps its path, headers and body, and one that an earlier build has sent is read. UPDATE_GOLDEN=1 writes the files.
func TestGolden_Report(t *testing.T) {
	peertest.GoldenJSON(t, "report.json", message{Worker: "w1"})
	b := peertest.NewRecorder(t, func(string, []byte) []byte { return nil })
	heard := make(chan string, 1)
	w := New([]string{"b"}, func(worker string) { heard <- worker })
	l, on := goldenLinks(t, b.Address())
	w.Enter(l)
	defer w.Leave()
	l.Serve(on)
	w.Warn("w1")
	for end := time.Now().Add(10 * time.Second); len(b.Requests()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	peertest.Golden(t, "request.txt", b.Text())
	raw, err := json.Marshal(message{Worker: "w2"})
	if err != nil {
		t.Fatal(err)
	}
	out := peertest.Post(t, on.Addr().String(), "/group/warn", peertest.Headers(), raw)
	out += peertest.Post(t, on.Addr().String(), "/group/warn", peertest.Headers(), []byte(`{"worker":""}`))
	peertest.Golden(t, "answers.txt", []byte(out))
	if name := <-heard; name != "w2" {
		t.Errorf("reported: %s", name)
	}
	if out, err := w.hear(context.Background(), peer.Sender{Name: "b"}, raw); len(out) > 0 || err != nil {
		t.Errorf("%q, %v", out, err)
	}
}

// Counters keep the names that the log shows.
func TestGolden_Counters(t *testing.T) {
	peertest.GoldenCounters(t, "counters.txt", New(nil, nil).Fields())
}
