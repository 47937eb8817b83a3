// Package peertest supports tests of the messages between members of a group. It has golden files, a server that records requests in
// place of a member, and requests with the literal headers of earlier builds.
package peertest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"birchfork/internal/goldentest"
	"birchfork/internal/peer"
)

// Updating reports whether this run writes golden files instead of comparing with them.
func Updating() bool { return os.Getenv("UPDATE_GOLDEN") == "1" }

// GoldenPath returns the path of a golden file of the package under test.
func GoldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// GoldenJSON compares the JSON encoding of value with the golden file, and value with the decoded file. It fails the test if a field of
// value is zero, because the encoding of an omitted field would not be checked.
func GoldenJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	requireNonZero(t, name, reflect.ValueOf(value))
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, name, append(raw, '\n'))
	file, err := os.ReadFile(GoldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(file, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, value)
	}
}

// requireNonZero fails the test if v or an exported field in it has its zero value.
func requireNonZero(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if !v.IsValid() || v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireNonZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				requireNonZero(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Struct {
				requireNonZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
		}
	}
}

// GoldenCounters compares the sorted names of counters with the golden file.
func GoldenCounters(t *testing.T, name string, counters map[string]int64) {
	t.Helper()
	goldentest.Check(t, name, []byte(strings.Join(slices.Sorted(maps.Keys(counters)), "\n")+"\n"))
}

// Recorder is an HTTP server that stands in for a member and records the requests to it. It is safe for concurrent use.
type Recorder struct {
	server *httptest.Server

	mu       sync.Mutex
	requests []string
}

// NewRecorder starts a server that answers each request with the result of answer. It is closed when the test ends.
func NewRecorder(t testing.TB, answer func(path string, body []byte) []byte) *Recorder {
	r := &Recorder{}
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Errorf("%s: %v", req.URL, err)
		}
		r.record(req, body)
		if _, err := w.Write(answer(req.URL.Path, body)); err != nil {
			t.Errorf("%s: %v", req.URL, err)
		}
	}))
	t.Cleanup(r.server.Close)
	return r
}

func (r *Recorder) record(req *http.Request, body []byte) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s\n", req.Method, req.URL, req.Proto)
	for _, name := range slices.Sorted(maps.Keys(req.Header)) {
		fmt.Fprintf(&text, "%s: %s\n", name, strings.Join(req.Header[name], " | "))
	}
	fmt.Fprintf(&text, "\n%s\n", body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, text.String())
}

// Address returns the server's address as host:port.
func (r *Recorder) Address() string { return r.server.Listener.Addr().String() }

// Requests returns the requests received so far, as text without the host.
func (r *Recorder) Requests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// Text returns all requests received so far, with a separator line between them.
func (r *Recorder) Text() []byte { return []byte(strings.Join(r.Requests(), "----\n")) }

// Headers returns the headers of a message from member b to member a of group g.
func Headers() map[string]string {
	return map[string]string{
		"X-Birchfork-Group": "g", "X-Birchfork-Founded": "f", "X-Birchfork-From": "b", "X-Birchfork-Life": "1", "X-Birchfork-To": "a",
	}
}

// NewTransport returns the transport of member a of group g, and a listener that it does not serve yet. The only other member, b, has
// the given address. The transport is closed when the test ends.
func NewTransport(t testing.TB, addressOfB string) (*peer.Transport, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport := peer.NewTransport(peer.Options{
		Group:             "g",
		Self:              "a",
		Members:           []peer.Member{{Name: "a", Address: listener.Addr().String()}, {Name: "b", Address: addressOfB}},
		Identity:          func() peer.Sender { return peer.Sender{Name: "a", Incarnation: "l", ClusterID: "f"} },
		IsPastIncarnation: func(name, incarnation string) bool { return name == "b" && incarnation == "0" },
		OnUnreachable:     func(string) {},
	})
	t.Cleanup(transport.Close)
	return transport, listener
}

// NewGroup returns the transports of the members of group g, and their listeners, which they do not serve yet. The transports are closed
// when the test ends.
func NewGroup(t testing.TB, names ...string) (transports []*peer.Transport, listeners []net.Listener) {
	t.Helper()
	members := make([]peer.Member, 0, len(names))
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		members = append(members, peer.Member{Name: name, Address: listener.Addr().String()})
	}
	for _, name := range names {
		transport := peer.NewTransport(peer.Options{
			Group:             "g",
			Self:              name,
			Members:           members,
			Identity:          func() peer.Sender { return peer.Sender{Name: name, Incarnation: "1"} },
			IsPastIncarnation: func(string, string) bool { return false },
			OnUnreachable:     func(string) {},
		})
		t.Cleanup(transport.Close)
		transports = append(transports, transport)
	}
	return transports, listeners
}

// Post sends a message to a member and returns the status, content type and body of the answer as text.
func Post(t testing.TB, address, path string, headers map[string]string, body []byte) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s\n%s\n%s\n", res.Status, res.Header.Get("Content-Type"), bytes.TrimSuffix(answer, []byte("\n")))
}
