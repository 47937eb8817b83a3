package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/settings"
)

const basic = `{"classes":[{"name":"search","deadline":5,"aim":0.4,"effect":"free"},
	{"name":"quick","deadline":0.06,"aim":0.05,"effect":"free"},{"name":"book","deadline":5,"aim":0.4,"effect":"single_shot"}],"zones":["a"],"zone":"a","machine_types":["big"],
	"customers":[{"name":"acme","quota_rps":900}],
	"policy_limits":{"attempts_cap":1,"connect_timeout":0.25,"retry_after":true,"max_retry_after":2}}`

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newStore(t testing.TB, mostOpen int) *engine.Store {
	t.Helper()
	return newStoreOf(t, mostOpen, basic)
}

func newStoreOf(t testing.TB, mostOpen int, text string) *engine.Store {
	t.Helper()
	names := settings.NewNames()
	set, _, err := settings.DecodeJSON([]byte(text), names)
	if err != nil {
		t.Fatal(err)
	}
	s, err := engine.New(engine.Options{Settings: set, Names: names, Seed: 1, MostOpen: mostOpen, Log: quiet()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// fakeRunner is a worker whose answers a test writes by hand.
type fakeRunner struct {
	addr string
	mu   sync.Mutex
	seen []*http.Request
	body []string
	conn int
}

// runner starts a fake worker. answer writes what it likes for each request; the connection ends when it returns false.
func runner(t testing.TB, answer func(c net.Conn, r *http.Request) bool) *fakeRunner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeRunner{addr: l.Addr().String()}
	var conns sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		conns.Wait()
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conn++
			f.mu.Unlock()
			conns.Add(1)
			go func() {
				defer conns.Done()
				defer c.Close()
				defer context.AfterFunc(ctx, func() { c.Close() })()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					f.mu.Lock()
					f.seen, f.body = append(f.seen, r), append(f.body, string(body))
					f.mu.Unlock()
					if !answer(c, r) {
						return
					}
				}
			}()
		}
	}()
	return f
}

func (f *fakeRunner) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

func (f *fakeRunner) conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func line(id, state, more string) string {
	return fmt.Sprintf(`{"id":%q,"from":"w","state":%q%s}`+"\n", id, state, more)
}

// serves is a worker's whole good answer.
func serves(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	io.WriteString(c, okHead+chunk(line(id, "started", ""))+chunk(line(id, "running", `,"share":0.4`))+
		chunk(line(id, "done", `,"result":"made \"it\""`))+"0\r\n\r\n")
	return true
}

// rig is a front with its store and one worker.
type rig struct {
	store *engine.Store
	pool  *engine.Pool
	front *Front
	url   string

	server *http.Server
}

func newRig(t testing.TB, worker string, most int) *rig {
	t.Helper()
	g := &rig{store: newStore(t, most)}
	d := net.Dialer{Timeout: 250 * time.Millisecond}
	g.pool = engine.NewPool(func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
		&g.store.Counters, 8, time.Minute)
	g.store.OnNews(func(w engine.WorkerNews) { g.pool.Drop(w.Address) })
	if worker != "" {
		g.store.News(upAt(worker))
	}
	clients := &Clients{Most: 50, Counters: &g.store.Counters}
	g.front = NewFront(g.store, &Runners{Pool: g.pool, Counters: &g.store.Counters}, clients)
	g.front.Bodies.Set(1 << 20)
	s := httptest.NewUnstartedServer(nil)
	s.Listener = clients.Listen(s.Listener)
	s.Config = g.front.Server()
	s.Start()
	g.server = s.Config
	t.Cleanup(func() {
		s.Close()
		g.pool.Close()
	})
	g.url = s.URL
	return g
}

func upAt(addr string) engine.List {
	return engine.List{Index: 1, Whole: true, Entries: []engine.Entry{
		{Name: "w", Address: addr, Zone: "a", Kind: "big", Cell: -1, State: dispatch.Ready}}}
}

func request(t testing.TB, url, class, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", url+"/"+class+"/x%20y?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "acme", "X-Deadline-Ms": "5000"} {
		r.Header.Set(k, v)
	}
	return r
}

func do(t testing.TB, r *http.Request) (int, string, http.Header) {
	t.Helper()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(b), res.Header
}

// settled waits until no attempt is out and no connection is in use, which every end must bring about.
func (g *rig) settled(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		var ended int64
		for i := range g.store.Counters.Outcomes {
			ended += g.store.Counters.Outcomes[i].Load()
		}
		open, idle := g.pool.Open()
		if ended == g.store.Counters.Sent.Load() && open == idle && g.store.Pending() == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d attempts ended, %d connections in use", ended, g.store.Counters.Sent.Load(), open-idle)
		}
	}
}
