package etcd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"birchfork/dispatch"
	"birchfork/internal/endpointsource"
	"birchfork/internal/etcdtest"
)

// gapRounds is how often the watch is broken: go test ./internal/endpointsource/etcd -run Gaps -gap-rounds 1000
var gapRounds = flag.Int("gap-rounds", 60, "how often the watch is broken")

// harness is an etcd test server, a source that follows it, and a view that receives its updates.
type harness struct {
	t      *testing.T
	etcd   *etcdtest.Server
	client *clientv3.Client // writes the workers' keys
	source *Source

	mu         sync.Mutex
	view       *endpointsource.View
	start      time.Time
	drained    map[string]bool // incarnations that were received as draining or gone
	violations []string        // incarnations that were published as ready afterwards
	lostCount  int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	e, err := etcdtest.Start()
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := func() *clientv3.Client {
		c, err := clientv3.New(clientv3.Config{
			Endpoints:          []string{e.Address()},
			DialTimeout:        time.Second,
			Logger:             zap.NewNop(),
			BackoffWaitBetween: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	h := &harness{t: t, etcd: e, client: client(), view: endpointsource.NewView(endpointsource.Config{SourceCount: 1}), start: time.Now(), drained: map[string]bool{}}
	h.source = &Source{Client: client(), Prefix: "/workers/", Log: log, OnUpdate: h.update, OnLost: func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lostCount++
		h.view.MarkLost(time.Since(h.start), 0)
	}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.source.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		e.SetHanging(false)
		<-done
		for _, c := range []*clientv3.Client{h.source.Client, h.client} {
			if err := c.Close(); err != nil {
				t.Errorf("closing the etcd client: %v", err)
			}
		}
		e.Close()
	})
	return h
}

// incarnationKey is the key of an incarnation in harness.drained.
func incarnationKey(name string, since int64) string { return fmt.Sprint(name, "/", since) }

func (h *harness) update(received endpointsource.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.view.Update(time.Since(h.start), 0, received) {
		for _, e := range l.Endpoints {
			if e.State != dispatch.Ready {
				h.drained[incarnationKey(e.Name, e.StartedAtMillis)] = true
			} else if h.drained[incarnationKey(e.Name, e.StartedAtMillis)] {
				h.violations = append(h.violations, incarnationKey(e.Name, e.StartedAtMillis))
			}
		}
	}
}

func (h *harness) state(name string) dispatch.WorkerState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.view.Endpoints()[name]; ok {
		return e.State
	}
	return dispatch.Gone
}

// await waits until ok returns true, and fails the test after 30 seconds.
func (h *harness) await(what string, ok func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out after 30s waiting for: %s", what)
		}
	}
}

func (h *harness) put(name, state string, since int64) {
	h.t.Helper()
	raw, err := json.Marshal(Value{Version: SchemaVersion, Address: "127.0.0.1:9", State: state, StartedAtMillis: since})
	if err == nil {
		_, err = h.client.Put(context.Background(), "/workers/"+name, string(raw))
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// Watches are dropped at random times and history is compacted, while workers drain, leave and restart in the gap. An incarnation that
// drained is never published as ready again, and at rest the view equals etcd's content.
func TestSource_KeepsDrainsAcrossGaps(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	rounds := *gapRounds
	t.Run("rounds", func(t *testing.T) {
		h := newHarness(t)
		r := rand.New(rand.NewPCG(1, 2))
		since := int64(1)
		for i := range rounds {
			name := fmt.Sprint("w", r.IntN(4))
			since++
			h.put(name, StateUp, since)
			h.await("up", func() bool { return h.state(name) == dispatch.Ready })
			h.etcd.DropWatches()
			change := r.IntN(3)
			switch change {
			case 0:
				h.put(name, StateDraining, since)
			case 1:
				if _, err := h.client.Delete(context.Background(), "/workers/"+name); err != nil {
					t.Fatal(err)
				}
			case 2:
				h.put(name, StateDraining, since)
				since++
				h.put(name, StateUp, since)
			}
			if r.IntN(2) == 0 {
				h.etcd.CompactNow()
			}
			if r.IntN(3) == 0 {
				h.etcd.DropWatches()
			}
			want := [...]dispatch.WorkerState{dispatch.Draining, dispatch.Gone, dispatch.Ready}[change]
			h.await(fmt.Sprintf("round %d: %v", i, want), func() bool {
				h.mu.Lock()
				defer h.mu.Unlock()
				e, ok := h.view.Endpoints()[name]
				return !ok && want == dispatch.Gone || ok && e.State == want && e.StartedAtMillis == since
			})
		}
		if len(h.violations) > 0 {
			t.Errorf("published as ready after a drain: %v", h.violations)
		}
		if h.source.Counters.Changes.Load() == 0 {
			t.Error("the watch delivered no change, so its disconnects were not tested")
		}
	})
}

// After a worker drained while the watch was broken, and history was then compacted, the source reads the complete range again, and the
// worker is draining.
func TestSource_RebuildsAfterCompaction(t *testing.T) {
	h := newHarness(t)
	h.put("a", StateUp, 1)
	h.await("up", func() bool { return h.state("a") == dispatch.Ready })
	h.etcd.SetNoLeader(true) // no watch can be opened
	h.await("the watch is closed", func() bool { return h.etcd.OpenWatches() == 0 })
	h.etcd.SetNoLeader(false)
	h.etcd.SetHanging(true) // the source's read and the put of the drain are answered only after SetHanging(false)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		h.put("a", StateDraining, 1)
		h.etcd.CompactNow()
	}()
	time.Sleep(20 * time.Millisecond)
	h.etcd.SetHanging(false)
	<-stop
	h.await("draining", func() bool { return h.state("a") == dispatch.Draining })
	if len(h.violations) > 0 {
		t.Errorf("published as ready after a drain: %v", h.violations)
	}
}

// After etcd is restored from an older copy, a worker that drained since then stays drained, and the source does not read the range
// repeatedly.
func TestSource_KeepsDrainsAfterRestore(t *testing.T) {
	h := newHarness(t)
	h.put("a", StateUp, 1)
	h.await("up", func() bool { return h.state("a") == dispatch.Ready })
	old := h.etcd.Snapshot()
	h.put("a", StateDraining, 1)
	h.put("b", StateUp, 1)
	h.await("b", func() bool { return h.state("b") == dispatch.Ready && h.state("a") == dispatch.Draining })
	h.etcd.Restore(old)
	h.await("the restored list", func() bool { return h.state("b") == dispatch.Gone })
	if h.state("a") != dispatch.Draining || len(h.violations) > 0 {
		t.Errorf("after the restore a is %v; published as ready after a drain: %v", h.state("a"), h.violations)
	}
	if n := h.source.Counters.Restored.Load(); n != 1 {
		t.Errorf("%d restores counted, want 1", n)
	}
	h.put("c", StateUp, 1)
	h.await("c", func() bool { return h.state("c") == dispatch.Ready })
	if n := h.source.Counters.Reads.Load(); n > 4 {
		t.Errorf("the range was read %d times, want at most 4", n)
	}
}

// The end of a lease removes its worker, a put and a delete in one transaction are both applied although they have the same revision, and
// a burst of changes is applied completely.
func TestSource_FollowsLeasesTransactionsAndBursts(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	lease, err := h.client.Grant(ctx, 600)
	if err != nil {
		t.Fatal(err)
	}
	value := `{"v":1,"address":"127.0.0.1:9","later":{"unknown":true}}`
	if _, err := h.client.Put(ctx, "/workers/leased", value, clientv3.WithLease(lease.ID)); err != nil {
		t.Fatal(err)
	}
	h.await("leased", func() bool { return h.state("leased") == dispatch.Ready })
	if _, err := h.client.Txn(ctx).Then(clientv3.OpPut("/workers/new", value), clientv3.OpDelete("/workers/leased")).Commit(); err != nil {
		t.Fatal(err)
	}
	h.await("the transaction", func() bool { return h.state("new") == dispatch.Ready && h.state("leased") == dispatch.Gone })
	if _, err := h.client.Put(ctx, "/workers/leased", value, clientv3.WithLease(lease.ID)); err != nil {
		t.Fatal(err)
	}
	h.await("leased again", func() bool { return h.state("leased") == dispatch.Ready })
	h.etcd.Expire(int64(lease.ID))
	h.await("the end of the lease", func() bool { return h.state("leased") == dispatch.Gone })
	for i := range 2000 {
		h.put(fmt.Sprint("b", i%500), [...]string{StateUp, StateDraining}[i/1000%2], int64(i/1000+1))
	}
	h.await("the burst", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		n := 0
		for _, e := range h.view.Endpoints() {
			if e.State == dispatch.Draining && e.StartedAtMillis == 2 {
				n++
			}
		}
		return n == 500
	})
}

// A source whose etcd member has no leader counts as lost, and its list is kept.
func TestSource_KeepsListWithoutLeader(t *testing.T) {
	h := newHarness(t)
	h.put("a", StateUp, 1)
	h.await("up", func() bool { return h.state("a") == dispatch.Ready })
	h.etcd.SetNoLeader(true)
	h.await("lost", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.lostCount > 0 || h.etcd.OpenWatches() == 0
	})
	if h.state("a") != dispatch.Ready {
		t.Error("a source without a leader emptied the list")
	}
	h.etcd.SetNoLeader(false)
	h.put("b", StateUp, 1)
	h.await("b", func() bool { return h.state("b") == dispatch.Ready })
}

func TestDecode(t *testing.T) {
	for raw, want := range map[string]string{
		`{"v":1,"address":"127.0.0.1:9"}`: "", `{"v":1,"address":"h:1","state":"draining"}`: "", `x`: "malformed value", `{"v":2,"address":"h:1"}`: "version 2",
		`{"v":1,"address":"h"}`: "host:port", `{"v":1,"address":":9"}`: "host:port", `{"v":1,"address":"h:0"}`: "host:port", `{"v":1,"address":"h:1","state":"gone"}`: "must be up or draining",
	} {
		e, err := Decode("w", []byte(raw))
		if (err == nil) != (want == "") || err != nil && e.State == dispatch.Ready {
			t.Errorf("%s: %+v, %v", raw, e, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"address":"127.0.0.1:9","state":"draining","cell":3,"weight":-1,"since_ms":-5}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := Decode("w", raw)
		if err != nil && e.State == dispatch.Ready || err == nil && (e.Address == "" || e.Weight < 0 || e.StartedAtMillis < 0) || e.Name != "w" {
			t.Fatalf("%+v, %v", e, err)
		}
	})
}
