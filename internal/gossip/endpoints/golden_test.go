package endpoints

import (
	"context"
	"net"
	"os"
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

// goldenSource is a list that never changes.
type goldenSource struct {
	facts []Fact
	fresh bool
	heed  chan []string
}

func (s *goldenSource) Facts() ([]Fact, bool) { return s.facts, s.fresh }
func (s *goldenSource) Count() uint64         { return 1 }
func (s *goldenSource) Alive() time.Duration  { return -1 }
func (s *goldenSource) Heed(names []string) {
	select {
	case s.heed <- names:
	default:
	}
}

func goldenTeller(facts []Fact, fresh bool) (*Teller, *goldenSource) {
	source := &goldenSource{facts: facts, fresh: fresh, heed: make(chan []string, 9)}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return NewTeller([]string{"b"}, source, log), source
}

// goldenFacts are of each state; the first has all fields.
func goldenFacts() []Fact {
	return []Fact{{Name: "w1", Start: 1700000000001, State: Draining}, {Name: "w2", Start: 1700000000002, State: Gone}, {Name: "w3", State: Up}}
}

// Statuses of endpoints keep their encoding, by field and by value of the state. UPDATE_GOLDEN=1 writes the files.
func TestGolden_Statuses(t *testing.T) {
	peertest.GoldenJSON(t, "statuses.json", goldenFacts()[:2])
}

// What a member sends keeps path, headers and body.
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
	l, _ := goldenLinks(t, b.Address())
	teller, source := goldenTeller([]Fact{{Name: "w1"}, {Name: "w2"}}, true)
	if news := teller.own(); len(news) > 0 {
		t.Errorf("%v", news)
	}
	teller.tell(l, goldenFacts())
	for end := time.Now().Add(10 * time.Second); len(b.Requests()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	teller.ask(context.Background(), l)
	peertest.Golden(t, "requests.txt", b.Text())
	if names := <-source.heed; len(names) != 2 || names[0] != "w1" || names[1] != "w2" {
		t.Errorf("excluded: %v", names)
	}
}

// What a member of an earlier build sends is read, and what it is answered stays.
func TestGolden_Answers(t *testing.T) {
	teller, source := goldenTeller(goldenFacts(), true)
	l, on := goldenLinks(t, "127.0.0.1:1")
	teller.Enter(l)
	defer teller.Leave()
	l.Serve(on)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) { // its list is read
		teller.mu.Lock()
		_, fresh := teller.roster.All()
		teller.mu.Unlock()
		if fresh {
			break
		}
	}
	address := on.Addr().String()
	out := peertest.Post(t, address, "/group/list/all", peertest.Headers(), nil)
	out += peertest.Post(t, address, "/group/list/news", peertest.Headers(), []byte(`[{"name":"w3","start":7,"state":1},{"name":"","state":2}]`))
	out += peertest.Post(t, address, "/group/list/news", peertest.Headers(), []byte(`[`))
	if names := <-source.heed; len(names) != 1 || names[0] != "w3" {
		t.Errorf("excluded: %v", names)
	}
	if f := teller.Fields(); f["list_taken"] != 1 || f["list_refused"] != 2 || f["list_held"] != 1 {
		t.Errorf("%v", f)
	}
	waiting, _ := goldenTeller(nil, false)
	l, on = goldenLinks(t, "127.0.0.1:1")
	waiting.Enter(l)
	defer waiting.Leave()
	l.Serve(on)
	out += peertest.Post(t, on.Addr().String(), "/group/list/all", peertest.Headers(), nil)
	peertest.Golden(t, "answers.txt", []byte(out))
}

// Counters keep the names that the log shows.
func TestGolden_Counters(t *testing.T) {
	teller, _ := goldenTeller(nil, false)
	peertest.GoldenCounters(t, "counters.txt", teller.Fields())
}
