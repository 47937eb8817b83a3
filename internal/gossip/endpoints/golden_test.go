package endpoints

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/goldentest"
	"birchfork/internal/peer/peertest"
)

// goldenSource is an endpoint list that never changes.
type goldenSource struct {
	statuses []Status
	fresh    bool
	excluded chan []string
}

func (s *goldenSource) Statuses() ([]Status, bool) { return s.statuses, s.fresh }
func (s *goldenSource) Revision() uint64           { return 1 }
func (s *goldenSource) WatchUptime() time.Duration { return -1 }
func (s *goldenSource) ExcludeOutdated(names []string) {
	select {
	case s.excluded <- names:
	default:
	}
}

func goldenBroadcaster(statuses []Status, fresh bool) (*Broadcaster, *goldenSource) {
	source := &goldenSource{statuses: statuses, fresh: fresh, excluded: make(chan []string, 9)}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return NewBroadcaster([]string{"b"}, source, log), source
}

// goldenStatuses returns a status of each state. The first two have all fields.
func goldenStatuses() []Status {
	return []Status{{Name: "w1", StartedAt: 1700000000001, State: Draining}, {Name: "w2", StartedAt: 1700000000002, State: Gone}, {Name: "w3", State: Up}}
}

// TestGolden_Statuses verifies that statuses have the same encoding as in earlier builds. UPDATE_GOLDEN=1 writes the golden files.
func TestGolden_Statuses(t *testing.T) {
	peertest.GoldenJSON(t, "statuses.json", goldenStatuses()[:2])
}

// TestGolden_Requests verifies that a member's messages have the same path, headers and body as in earlier builds.
func TestGolden_Requests(t *testing.T) {
	b := peertest.NewRecorder(t, func(path string, _ []byte) []byte {
		if path != "/group/list/all" {
			return nil
		}
		raw, err := os.ReadFile(peertest.GoldenPath("statuses.json"))
		if err != nil {
			t.Error(err)
		}
		return raw
	})
	transport, _ := peertest.NewTransport(t, b.Address())
	broadcaster, source := goldenBroadcaster([]Status{{Name: "w1"}, {Name: "w2"}}, true)
	if updates := broadcaster.updateLocal(); len(updates) > 0 {
		t.Errorf("updates from the first list: %v, want none", updates)
	}
	broadcaster.broadcast(transport, goldenStatuses())
	for end := time.Now().Add(10 * time.Second); len(b.Requests()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	broadcaster.initialSync(context.Background(), transport)
	goldentest.Check(t, "requests.txt", b.Text())
	if names := <-source.excluded; len(names) != 2 || names[0] != "w1" || names[1] != "w2" {
		t.Errorf("excluded %v, want w1, w2", names)
	}
}

// TestGolden_Answers verifies that messages of a member of an earlier build are accepted and have the same answers as in that build.
func TestGolden_Answers(t *testing.T) {
	broadcaster, source := goldenBroadcaster(goldenStatuses(), true)
	transport, listener := peertest.NewTransport(t, "127.0.0.1:1")
	broadcaster.Attach(transport)
	defer broadcaster.Detach()
	transport.Serve(listener)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) { // until the list has been read
		broadcaster.mu.Lock()
		_, fresh := broadcaster.table.Local()
		broadcaster.mu.Unlock()
		if fresh {
			break
		}
	}
	address := listener.Addr().String()
	out := peertest.Post(t, address, "/group/list/all", peertest.Headers(), nil)
	out += peertest.Post(t, address, "/group/list/news", peertest.Headers(), []byte(`[{"name":"w3","start":7,"state":1},{"name":"","state":2}]`))
	out += peertest.Post(t, address, "/group/list/news", peertest.Headers(), []byte(`[`))
	if names := <-source.excluded; len(names) != 1 || names[0] != "w3" {
		t.Errorf("excluded %v, want w3", names)
	}
	if f := broadcaster.Fields(); f["list_taken"] != 1 || f["list_refused"] != 2 || f["list_held"] != 1 {
		t.Errorf("counters %v, want 1 status accepted, 2 rejected and 1 worker excluded", f)
	}
	waiting, _ := goldenBroadcaster(nil, false)
	transport, listener = peertest.NewTransport(t, "127.0.0.1:1")
	waiting.Attach(transport)
	defer waiting.Detach()
	transport.Serve(listener)
	out += peertest.Post(t, listener.Addr().String(), "/group/list/all", peertest.Headers(), nil)
	goldentest.Check(t, "answers.txt", []byte(out))
}

// TestGolden_Counters verifies that the counters have the same names in the log as in earlier builds.
func TestGolden_Counters(t *testing.T) {
	broadcaster, _ := goldenBroadcaster(nil, false)
	peertest.GoldenCounters(t, "counters.txt", broadcaster.Fields())
}
