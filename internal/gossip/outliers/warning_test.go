package outliers

import (
	"context"
	"net"
	"testing"

	"github.com/sirupsen/logrus"

	"birchfork/internal/peer"
)

// A warning reaches the others, a worker's next one not at once; nonsense does not.
func TestWarningsReachTheOthers(t *testing.T) {
	heard := make(chan string, 9)
	a, b := New([]string{"b"}, nil), New([]string{"a"}, func(worker string) { heard <- worker })
	var peers []peer.Peer
	var on []net.Listener
	for _, name := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		on, peers = append(on, l), append(peers, peer.Peer{Name: name, Link: l.Addr().String()})
	}
	for i, w := range []*Warner{a, b} {
		l := peer.Open(peer.Options{
			Group: "g", Self: peers[i].Name, Peers: peers, Log: logrus.New(), Lost: func(string) {}, Old: func(string, string) bool { return false },
			Who: func() peer.Sender { return peer.Sender{Name: peers[i].Name, Life: "1"} },
		})
		w.Enter(l)
		l.Serve(on[i])
		defer l.Close()
		defer w.Leave()
	}
	for _, worker := range []string{"r", "r", "q"} {
		a.Warn(worker)
	}
	if first, second := <-heard, <-heard; first != "r" || second != "q" || len(heard) > 0 {
		t.Errorf("heard of %s, %s", first, second)
	}
	for _, body := range []string{"", "{}", `{"worker":""}`} {
		if _, err := b.hear(context.Background(), peer.Sender{Name: "a"}, []byte(body)); err == nil {
			t.Errorf("%q was taken", body)
		}
	}
	if a.Told.Load() != 2 || b.Refused.Load() != 3 {
		t.Errorf("%v, %v", a.Fields(), b.Fields())
	}
}
