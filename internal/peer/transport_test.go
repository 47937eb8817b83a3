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

// transportPair has the transports of two members and the messages that the second has received.
type transportPair struct {
	a, b        *Transport
	members     []Member
	mu          sync.Mutex
	received    []string // by b
	unreachable int      // number of OnUnreachable calls at a
}

// newTransportPair returns the transports of members a and b of group g. Only b serves. change changes the options of a.
func newTransportPair(t *testing.T, sender Sender, change func(*Options)) *transportPair {
	t.Helper()
	p := &transportPair{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.members = []Member{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: listener.Addr().String()}}
	o := Options{
		Group: "g", Self: "a", Members: p.members, Identity: func() Sender { return sender }, IsPastIncarnation: func(string, string) bool { return false },
		OnUnreachable: func(string) { p.mu.Lock(); p.unreachable++; p.mu.Unlock() },
	}
	remote := o
	remote.Self, remote.Identity = "b", func() Sender { return Sender{"b", "1", "f"} }
	remote.IsPastIncarnation = func(name, incarnation string) bool { return name == "a" && incarnation == "0" }
	change(&o)
	p.a, p.b = NewTransport(o), NewTransport(remote)
	p.b.Handle("/x", func(_ context.Context, from Sender, body []byte) ([]byte, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.received = append(p.received, string(body))
		if string(body) == "no" {
			return nil, errors.New("not now")
		}
		return []byte("yes " + from.Name), nil
	})
	p.b.Serve(listener)
	t.Cleanup(func() { p.a.Close(); p.b.Close(); http.DefaultClient.CloseIdleConnections() })
	return p
}

// TestTransport_RejectsMismatchedSenders verifies that a message from another group, cluster, incarnation or name is rejected with the
// reason and counted.
func TestTransport_RejectsMismatchedSenders(t *testing.T) {
	unchanged := func(*Options) {}
	for _, c := range []struct {
		sender Sender
		change func(*Options)
		want   string // in the reason; empty: accepted
	}{
		{Sender{"a", "1", "f"}, unchanged, ""},
		{Sender{"a", "1", ""}, unchanged, ""}, // not joined yet
		{Sender{"a", "1", "other"}, unchanged, `cluster ID mismatch: got "other", want "f"`},
		{Sender{"a", "0", "f"}, unchanged, `past incarnation of a: "0"`},
		{Sender{"z", "1", "f"}, unchanged, `"z" is not a member in the operator's file`},
		{Sender{"a", "1", "f"}, func(o *Options) { o.Group = "h" }, `group mismatch: got "h", want "g"`},
	} {
		p := newTransportPair(t, c.sender, c.change)
		out, err := p.a.Request(context.Background(), "b", "/x", []byte("m"))
		var rejected *RejectedError
		switch {
		case c.want == "" && (err != nil || string(out) != "yes a"):
			t.Errorf("%+v: answer %q, error %v; want \"yes a\" and no error", c.sender, out, err)
		case c.want != "" && (!errors.As(err, &rejected) || !strings.Contains(rejected.Reason, c.want) || p.b.Counters.Rejected.Load() != 1 || len(p.received) > 0):
			t.Errorf("%+v: %v, want %q", c.sender, err, c.want)
		}
	}
}

// TestTransport_StalledPeerBlocksNobody verifies that a peer that does not answer does not block the senders. Its queue is bounded, messages
// for a full queue are dropped and counted, and an answer with an error loses only the message that it answers.
func TestTransport_StalledPeerBlocksNobody(t *testing.T) {
	p := newTransportPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	stalled, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	for _, name := range []string{"c", "d"} { // both before the first Send, because the transport's goroutines read the members
		p.a.options.Members = append(p.a.options.Members, Member{Name: name, Address: stalled.Addr().String()})
	}
	for range 2 * maxQueuedMessages {
		p.a.Send("c", "/x", []byte("m"))
	}
	if n := p.a.Counters.Dropped.Load(); n < maxQueuedMessages-1 {
		t.Errorf("%d messages dropped from the full queue, want at least maxQueuedMessages-1", n)
	}
	droppedBefore := p.a.Counters.Dropped.Load()
	for range 4 { // one is in flight, one is queued
		p.a.Send("d", "/x", make([]byte, maxQueuedBytes/2+1))
	}
	if n := p.a.Counters.Dropped.Load() - droppedBefore; n < 2 {
		t.Errorf("%d dropped of four messages that exceed the limit on bytes together, want at least 2", n)
	}
	for _, m := range []string{"1", "no", "2"} {
		p.a.Send("b", "/x", []byte(m))
	}
	for end := time.Now().Add(10 * time.Second); p.a.Counters.Sent.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Join(p.received, " ") != "1 no 2" || p.a.Counters.Lost.Load() != 1 || p.unreachable != 0 {
		t.Errorf("received %q; %d lost, %d calls of OnUnreachable; want 1, no, 2 received, 1 lost, no call", p.received, p.a.Counters.Lost.Load(), p.unreachable)
	}
}

// TestTransport_Limits verifies that a message over the size limit is rejected and that connections over the limit wait.
func TestTransport_Limits(t *testing.T) {
	p := newTransportPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	if _, err := p.a.Request(context.Background(), "b", "/x", make([]byte, maxBodyBytes+1)); err == nil || p.b.Counters.Rejected.Load() != 1 || len(p.received) > 0 {
		t.Errorf("message over the size limit: %v; want one rejection and no call of the handler", err)
	}
	p.a.client.CloseIdleConnections()
	conns := make([]net.Conn, 0, 2*maxConnsPerMember+maxOperatorConns)
	for range cap(conns) {
		c, err := net.Dial("tcp", p.members[1].Address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout/4)
	defer cancel()
	if _, err := p.a.Request(ctx, "b", "/x", []byte("m")); err == nil {
		t.Error("a connection over the limit was served")
	}
	for _, c := range conns {
		c.Close()
	}
	if _, err := p.a.Request(context.Background(), "b", "/x", []byte("m")); err != nil {
		t.Errorf("request after the connections were closed: %v", err)
	}
}

// TestTransport_RejectsMalformedRequests verifies that malformed requests do not reach a handler and leak no goroutine.
func TestTransport_RejectsMalformedRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := newTransportPair(t, Sender{"a", "1", "f"}, func(*Options) {})
	defer func() { p.a.Close(); p.b.Close() }()
	for _, raw := range []string{
		"\x00\xff\x16\x03\x01", "POST /x HTTP/1.1\r\n\r\n", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "POST /none HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", "POST /x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9999) + "\r\n",
	} {
		c, err := net.Dial("tcp", p.members[1].Address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, raw)
		_ = c.(*net.TCPConn).CloseWrite() // the server may have closed the connection already
		answer, _ := io.ReadAll(c)
		c.Close()
		if strings.HasPrefix(string(answer), "HTTP/1.1 200") {
			t.Errorf("%.40q was accepted", raw)
		}
	}
	if len(p.received) > 0 {
		t.Errorf("messages passed to the handler: %q, want none", p.received)
	}
}
