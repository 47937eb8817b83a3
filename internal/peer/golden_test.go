package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"birchfork/internal/goldentest"
	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
)

// The golden files contain the requests and answers of earlier builds. UPDATE_GOLDEN=1 writes them.

// goldenTransport returns the transport of member a and its address. The transport serves one path for members and one for operators.
func goldenTransport(t *testing.T, b string) (transport *peer.Transport, address string) {
	t.Helper()
	transport, listener := peertest.NewTransport(t, b)
	transport.Handle("/group/x", func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		switch string(body) {
		case "reject":
			return nil, &peer.RejectedError{Reason: "rejected, as requested"}
		case "fail":
			return nil, errors.New("failed, as requested")
		}
		return fmt.Appendf(nil, "%s of %s, %s in %s", body, from.Name, from.Incarnation, from.ClusterID), nil
	})
	transport.HandleOperator("/group/y", func(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
		return append([]byte("operator: "), body...), nil
	})
	transport.Serve(listener)
	return transport, listener.Addr().String()
}

// TestGolden_Requests verifies that requests of members and operators have the same method, path, headers and body as in earlier builds.
func TestGolden_Requests(t *testing.T) {
	b := peertest.NewRecorder(t, func(string, []byte) []byte { return []byte(`"yes"`) })
	transport, _ := goldenTransport(t, b.Address())
	if out, err := transport.Request(context.Background(), "b", "/group/x", []byte("request")); err != nil || string(out) != `"yes"` {
		t.Errorf("answer to a member %q, error %v; want \"yes\" with its quotes", out, err)
	}
	transport.Send("b", "/group/x", []byte("queued"))
	for end := time.Now().Add(10 * time.Second); transport.Counters.Sent.Load() < 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	var answer string
	if err := peer.CallMember(context.Background(), b.Address(), "/group/y", map[string]string{"from": "operator"}, &answer); err != nil || answer != "yes" {
		t.Errorf("answer to an operator %q, error %v; want yes, decoded", answer, err)
	}
	goldentest.Check(t, "requests.txt", b.Text())
}

// TestGolden_Answers verifies the status, content type and text of each kind of answer, rejections included.
func TestGolden_Answers(t *testing.T) {
	_, address := goldenTransport(t, "127.0.0.1:1")
	var out strings.Builder
	for _, c := range []struct{ name, header, value, path, body string }{
		{name: "accepted", path: "/group/x", body: "m"},
		{name: "rejected by the handler", path: "/group/x", body: "reject"},
		{name: "failed", path: "/group/x", body: "fail"},
		{name: "sender without a cluster", header: "X-Birchfork-Founded", path: "/group/x", body: "m"},
		{name: "another group", header: "X-Birchfork-Group", value: "h", path: "/group/x", body: "m"},
		{name: "for another member", header: "X-Birchfork-To", value: "c", path: "/group/x", body: "m"},
		{name: "from no member", header: "X-Birchfork-From", value: "z", path: "/group/x", body: "m"},
		{name: "another cluster", header: "X-Birchfork-Founded", value: "e", path: "/group/x", body: "m"},
		{name: "an earlier incarnation", header: "X-Birchfork-Life", value: "0", path: "/group/x", body: "m"},
		{name: "too long", path: "/group/x", body: strings.Repeat("m", 8<<20+1)},
		{name: "no such path", path: "/group/z", body: "m"},
		{name: "from an operator", header: "X-Birchfork-Group", value: "any", path: "/group/y", body: "m"},
	} {
		headers := maps.Clone(peertest.Headers())
		if c.header != "" {
			headers[c.header] = c.value
		}
		fmt.Fprintf(&out, "%s: %s----\n", c.name, peertest.Post(t, address, c.path, headers, []byte(c.body)))
	}
	goldentest.Check(t, "answers.txt", []byte(out.String()))
}

// TestGolden_Errors verifies the result or error that callers get for each kind of answer.
func TestGolden_Errors(t *testing.T) {
	_, other := goldenTransport(t, "127.0.0.1:1")
	transport, address := goldenTransport(t, other) // the transport at b's address belongs to a member named a, so that it rejects messages to b
	var out strings.Builder
	for _, to := range []string{"a", "b", "c"} {
		for _, body := range []string{"m", "reject", "fail"} {
			answer, err := transport.Request(context.Background(), to, "/group/x", []byte(body))
			var rejected *peer.RejectedError
			fmt.Fprintf(&out, "%s to %s: %q, %v, rejected %t\n", body, to, answer, err, errors.As(err, &rejected))
		}
	}
	var text json.RawMessage
	err := peer.CallMember(context.Background(), address, "/group/y", "m", &text)
	fmt.Fprintf(&out, "operator: %s\n", strings.ReplaceAll(fmt.Sprint(err), address, "HOST"))
	goldentest.Check(t, "errors.txt", []byte(out.String()))
}

// TestGolden_Counters verifies that the counters have the same names in log and status as in earlier builds.
func TestGolden_Counters(t *testing.T) {
	var c peer.Counters
	peertest.GoldenCounters(t, "counters.txt", c.Values())
}
