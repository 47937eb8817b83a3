package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// shapes are settings of the two shapes that one build serves: with probes, sizes and no reports, and without probes but
// with reports in answers, weights that move, prices of fetches, or one attempt at a time.
var shapes = map[string]string{
	"old": `"weight_kind":"rough","report":{"how":"off","names":[]},"prices":{"probe":0.004,"waste":0.04},
		"policy_limits":{"attempts_cap":4,"probes":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"hub": `"weight_kind":"live","report":{"how":"inline","names":["cpu_share","x0"]},"prices":{"origin":0.1,"waste":0.04,"peer":0.01},
		"extra":{"report_x0":"free_slots","tells_start":true},"group_size":3,
		"policy_limits":{"attempts_cap":4,"peers":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"errors": `"weight_kind":"off","report":{"how":"inline","names":["pending","x0"]},"prices":{"waste":0.036},
		"extra":{"report_x0":"free_slots","tells_start":true},"registry_mode":"subscribe",
		"policy_limits":{"attempts_cap":5,"cancel":true,"connect_timeout":0.25}`,
}

// shaped is a whole configuration with those settings.
func shaped(discovery, settings string) string {
	return `{"name":"n1","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1",
	"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
	"settings":{"classes":[{"name":"search","deadline":5,"aim":2,"effect":"free"}],"zones":["a"],"zone":"a",
		"machine_types":["big"],` + settings + `}}`
}

func TestEveryShapeIsServedAndWhatHasNoWordsIsNamed(t *testing.T) {
	for name, want := range map[string][]string{
		"old": nil, "hub": {"policy_limits.peers", "report.how"}, "errors": {"report.how"},
	} {
		c, err := Decode([]byte(shaped("127.0.0.1:8500", shapes[name])))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(c.Unspoken) != len(want) {
			t.Errorf("%s: named are %q, want %d lines", name, c.Unspoken, len(want))
			continue
		}
		for i, key := range want {
			if !strings.HasPrefix(c.Unspoken[i], key+": ") {
				t.Errorf("%s: %q does not begin with %s", name, c.Unspoken[i], key)
			}
		}
		if c.Settings.CanTell || c.Settings.ListOnRequest {
			t.Errorf("%s: the module is told of what sockets have no words for", name)
		}
		if hub := name == "hub"; (c.Settings.PriceFetch > 0) != hub || c.Settings.WeightsMove != hub {
			t.Errorf("%s: fetches cost %v, weights move %v", name, c.Settings.PriceFetch, c.Settings.WeightsMove)
		}
	}
}

func TestMixedShapesAreRefusedByKey(t *testing.T) {
	for _, c := range []struct{ shape, from, to, key string }{
		{"old", `"how":"off"`, `"how":"inline"`, "report.names"},
		{"old", `"how":"off"`, `"how":"loud"`, "report.how"},
		{"old", `"names":[]`, `"names":["pending"]`, "report.names"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"live"`, "weight_kind"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"odd"`, "weight_kind"},
		{"old", `"probes":true`, `"probes":false`, "prices.probe"},
		{"old", `"probe":0.004`, `"peer":0.01`, "prices.peer"},
		{"hub", `"how":"inline"`, `"how":"on_probe"`, "report.how"},
		{"hub", `"how":"inline"`, `"how":"off"`, "report.names"},
		{"hub", `"peers":true`, `"peers":false`, "prices.peer"},
		{"hub", `"report_x0":"free_slots",`, ``, "report.names"},
		{"old", `"probe":0.004`, `"probe":"dear"`, "prices.probe"},
		{"old", `"probes":true`, `"probes":"maybe"`, "policy_limits.probes"},
		{"errors", `["pending","x0"]`, `[]`, "report.names"},
	} {
		raw := strings.Replace(shapes[c.shape], c.from, c.to, 1)
		if raw == shapes[c.shape] {
			t.Fatalf("%s has no %s", c.shape, c.from)
		}
		_, err := Decode([]byte(shaped("127.0.0.1:8500", raw)))
		if err == nil || !strings.Contains(err.Error(), "setting "+c.key+": ") {
			t.Errorf("%s with %s: %v, want a fault of %s", c.shape, c.to, err, c.key)
		}
	}
	both := strings.Replace(strings.Replace(shapes["hub"], `"peers":true`, `"peers":false`, 1), `"how":"inline"`, `"how":"off"`, 1)
	if _, err := Decode([]byte(shaped("127.0.0.1:8500", both))); err == nil || strings.Count(err.Error(), "setting ") != 3 {
		t.Errorf("not all three faults are named: %v", err)
	}
	// A malformed setting must not hide a mixture, nor be named twice because two have read it.
	both = strings.Replace(strings.Replace(shapes["old"], `"probes":true`, `"probes":true,"peers":"some"`, 1), `"how":"off"`, `"how":"inline"`, 1)
	if _, err := Decode([]byte(shaped("127.0.0.1:8500", both))); err == nil || strings.Count(err.Error(), "setting ") != 2 ||
		!strings.Contains(err.Error(), "policy_limits.peers") || !strings.Contains(err.Error(), "report.names") {
		t.Errorf("want a fault of policy_limits.peers and one of report.names: %v", err)
	}
	odd := strings.Replace(shapes["errors"], `"pending"`, `"new_value"`, 1)
	if _, err := Decode([]byte(shaped("127.0.0.1:8500", odd))); err != nil {
		t.Errorf("a value of reports that we do not know: %v", err)
	}
}

// crew is a discovery and workers. A worker tells that a job has started and is done, or, where it is lazy, takes the
// request and says nothing; got lists who got which request, left which lazy worker lost its connection.
type crew struct {
	discovery string
	got, left chan string
}

func newCrew(t *testing.T, lazy ...bool) *crew {
	t.Helper()
	w := &crew{got: make(chan string, 1000), left: make(chan string, 1000)}
	standIn := standIns(t)
	var entries []string
	for i, slow := range lazy {
		name := fmt.Sprintf("w%d", i)
		addr := standIn(func(c net.Conn, in *bufio.Reader, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			w.got <- id + " " + name
			io.WriteString(c, answerHead)
			if slow {
				in.Peek(1) // until the dispatcher closes the connection
				w.left <- name
				return
			}
			for _, s := range []string{`"started"`, `"done","result":"r"`} {
				io.WriteString(c, chunk(fmt.Sprintf(`{"id":%q,"state":%s}`, id, s)+"\n"))
			}
			io.WriteString(c, "0\r\n\r\n")
		})
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"big","group":0,"status":"up","weight":1.0}`, name, addr))
	}
	list := `{"index":41,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}` + "\n"
	w.discovery = standIn(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(c, answerHead+chunk(list)+"0\r\n\r\n")
			return
		}
		io.WriteString(c, answerHead+chunk(`{"index":41,"snapshot":false,"endpoints":[]}`+"\n"))
	})
	return w
}

// serve starts a dispatcher of a shape and waits until it knows the workers.
func (w *crew) serve(t *testing.T, shape string, log *logrus.Logger) *node {
	t.Helper()
	keepLimits(t)
	c, err := Decode([]byte(shaped(w.discovery, shape)))
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(c, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.stop() })
	await(t, "the list is known", func() bool { _, fresh := n.store.Ready(); return fresh })
	return n
}

// job asks for one job about a key and returns the status.
func job(t *testing.T, n *node, id, key string) int {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+n.address.String()+"/search", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "search", "X-Deadline-Ms": "5000", "X-Key": key} {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestKeysMeetTheirWorkersWhereFetchesCost plays one job after the other, so that the first pick always has room.
func TestKeysMeetTheirWorkersWhereFetchesCost(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	for shape, most := range map[string]int{"hub": 2, "old": 12} {
		w := newCrew(t, make([]bool, 12)...)
		n := w.serve(t, shapes[shape], quiet())
		met := map[string]bool{}
		for i := range 40 {
			if s := job(t, n, fmt.Sprintf("%s%d", shape, i), "pipe-7"); s != 200 {
				t.Fatalf("%s: status %d", shape, s)
			}
			_, name, _ := strings.Cut(<-w.got, " ")
			met[name] = true
		}
		if len(met) > most || shape == "old" && len(met) < 4 {
			t.Errorf("%s: jobs about one key met %d of 12 workers, want up to %d", shape, len(met), most)
		}
	}
}

// TestWaitingJobMovesOneAtATimeOnSockets has one worker that starts and one that takes jobs and never starts them: what
// waits there is taken back by closing its connection, and only then sent to the other.
func TestWaitingJobMovesOneAtATimeOnSockets(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	w := newCrew(t, true, false)
	n := w.serve(t, shapes["errors"], quiet())
	moved := 0
	for i := range 20 {
		if s := job(t, n, fmt.Sprintf("m%d", i), ""); s != 200 {
			t.Fatalf("status %d", s)
		}
		if _, name, _ := strings.Cut(<-w.got, " "); name == "w0" {
			moved++
			select {
			case <-w.left:
			case <-time.After(10 * time.Second):
				t.Fatal("what waited was not taken back")
			}
			if _, to, _ := strings.Cut(<-w.got, " "); to != "w1" {
				t.Fatalf("it moved to %s", to)
			}
		}
	}
	if moved == 0 {
		t.Fatal("no job met the worker that starts none")
	}
	if n.store.Counters.Unspoken.Load() != 0 {
		t.Error("the module ordered what sockets have no words for")
	}
}

func TestFirstLinesOfTheLogNameWhatHasNoWords(t *testing.T) {
	w := newCrew(t, false)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	w.serve(t, shapes["hub"], log)
	var said []string
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var l struct{ Level, Msg string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Level == "warning" {
			said = append(said, l.Msg)
		}
	}
	if len(said) < 2 || !strings.HasPrefix(said[0], "policy_limits.peers") || !strings.HasPrefix(said[1], "report.how") {
		t.Errorf("the log says %q", said)
	}
}
