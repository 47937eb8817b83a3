package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// pair is two members; what the second takes is kept.
type pair struct {
	a, b *Links
	peer []Peer
	mu   sync.Mutex
	got  []string
	lost int
}

func newPair(t *testing.T, who Sender, change func(*Options)) *pair {
	t.Helper()
	p := &pair{}
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peer = []Peer{{Name: "a", Link: "127.0.0.1:1"}, {Name: "b", Link: on.Addr().String()}}
	o := Options{
		Group: "g", Self: "a", Peers: p.peer, Who: func() Sender { return who }, Old: func(string, string) bool { return false },
		Lost: func(string) { p.mu.Lock(); p.lost++; p.mu.Unlock() },
	}
	there := o
	there.Self, there.Who = "b", func() Sender { return Sender{"b", "1", "f"} }
	there.Old = func(name, life string) bool { return name == "a" && life == "0" }
	change(&o)
	p.a, p.b = Open(o), Open(there)
	p.b.Handle("/x", func(_ context.Context, from Sender, body []byte) ([]byte, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.got = append(p.got, string(body))
		if string(body) == "no" {
			return nil, errors.New("not now")
		}
		return []byte("yes " + from.Name), nil
	})
	p.b.Serve(on)
	t.Cleanup(func() { p.a.Close(); p.b.Close(); http.DefaultClient.CloseIdleConnections() })
	return p
}

// A message of another group, founding, life or name is refused by name, and counted.
func TestForeignMessagesAreRefusedByName(t *testing.T) {
	same := func(*Options) {}
	for _, c := range []struct {
		who    Sender
		change func(*Options)
		want   string // of the refusal; empty: taken
	}{
		{Sender{"a", "1", "f"}, same, ""},
		{Sender{"a", "1", ""}, same, ""}, // in no founding yet
		{Sender{"a", "1", "other"}, same, "another founding"},
		{Sender{"a", "0", "f"}, same, "an earlier life of a"},
		{Sender{"z", "1", "f"}, same, `"z" is no member`},
		{Sender{"a", "1", "f"}, func(o *Options) { o.Group = "h" }, "another group"},
	} {
		p := newPair(t, c.who, c.change)
		out, err := p.a.Ask(context.Background(), "b", "/x", []byte("m"))
		var no *Refused
		switch {
		case c.want == "" && (err != nil || string(out) != "yes a"):
			t.Errorf("%+v: %q, %v", c.who, out, err)
		case c.want != "" && (!errors.As(err, &no) || !strings.Contains(no.Text, c.want) || p.b.Counters.Refused.Load() != 1 || len(p.got) > 0):
			t.Errorf("%+v: %v, want %q", c.who, err, c.want)
		}
	}
}

// A peer that does not answer holds nobody up: its queue is bounded, what does not fit is dropped and counted, and one whole
// answer that says no costs that message alone.
func TestAStalledPeerHoldsNobodyUp(t *testing.T) {
	p := newPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	stalled, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	for _, name := range []string{"c", "d"} { // both before the first Post: links read their peers as they run
		p.a.o.Peers = append(p.a.o.Peers, Peer{Name: name, Link: stalled.Addr().String()})
	}
	for range 2 * queueMost {
		p.a.Post("c", "/x", []byte("m"))
	}
	if n := p.a.Counters.Dropped.Load(); n < queueMost-1 {
		t.Errorf("%d dropped", n)
	}
	was := p.a.Counters.Dropped.Load()
	for range 4 { // one is on its way, one waits
		p.a.Post("d", "/x", make([]byte, queueBytes/2+1))
	}
	if n := p.a.Counters.Dropped.Load() - was; n < 2 {
		t.Errorf("%d dropped of four that are over the bound on bytes", n)
	}
	for _, m := range []string{"1", "no", "2"} {
		p.a.Post("b", "/x", []byte(m))
	}
	for end := time.Now().Add(10 * time.Second); p.a.Counters.Sent.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Join(p.got, " ") != "1 no 2" || p.a.Counters.Lost.Load() != 1 || p.lost != 0 {
		t.Errorf("came: %q; %d lost, told of %d", p.got, p.a.Counters.Lost.Load(), p.lost)
	}
}

// A message over the bound is refused, and more connections than the bound wait.
func TestBounds(t *testing.T) {
	p := newPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	if _, err := p.a.Ask(context.Background(), "b", "/x", make([]byte, bodyMost+1)); err == nil || p.b.Counters.Refused.Load() != 1 || len(p.got) > 0 {
		t.Errorf("a message that is too long: %v", err)
	}
	p.a.client.CloseIdleConnections()
	var held []net.Conn
	for range 2*connsEach + connsSpare {
		c, err := net.Dial("tcp", p.peer[1].Link)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), headWait/4)
	defer cancel()
	if _, err := p.a.Ask(ctx, "b", "/x", []byte("m")); err == nil {
		t.Error("one connection over the bound was served")
	}
	for _, c := range held {
		c.Close()
	}
	if _, err := p.a.Ask(context.Background(), "b", "/x", []byte("m")); err != nil {
		t.Errorf("once they are gone: %v", err)
	}
}

// Hostile bytes cost a counter, and nothing stays behind.
func TestHostileBytes(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := newPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	defer func() { p.a.Close(); p.b.Close() }()
	for _, raw := range []string{
		"\x00\xff\x16\x03\x01", "POST /x HTTP/1.1\r\n\r\n", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "POST /none HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", "POST /x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9999) + "\r\n",
	} {
		c, err := net.Dial("tcp", p.peer[1].Link)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, raw)
		c.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(c)
		c.Close()
		if strings.HasPrefix(string(answer), "HTTP/1.1 200") {
			t.Errorf("%.40q was taken", raw)
		}
	}
	if len(p.got) > 0 {
		t.Errorf("taken: %q", p.got)
	}
}
