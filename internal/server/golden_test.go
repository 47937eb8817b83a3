package server

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"birchfork/internal/engine"
)

// updateGolden tells that the files of testdata/golden are to be written, by UPDATE_GOLDEN=1 in the environment. Do so only where a
// form is meant to change: operators, their scripts and other builds of this program read these forms.
func updateGolden() bool { return os.Getenv("UPDATE_GOLDEN") == "1" }

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// golden compares got with a file of testdata/golden.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if updateGolden() {
		if err := os.WriteFile(goldenPath(name), got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s\nwant:\n%s", name, got, want)
	}
}

// goldenConfig prints what a configuration comes to, under names of its own.
func goldenConfig(out io.Writer, c *Config) {
	line := func(name string, v any) { fmt.Fprintf(out, "%s: %v\n", name, v) }
	line("name", c.Name)
	line("listen", c.Listen)
	line("discovery", c.Discovery)
	line("operator", c.Admin)
	line("seed", fmt.Sprintf("%016x", c.Seed))
	line("limits.cores", c.Limits.Cores)
	line("limits.memory_mb", c.Limits.MemoryMB)
	line("limits.sockets", c.Limits.Sockets)
	line("known.index", c.Known.Index)
	line("known whole, stale", []bool{c.Known.Whole, c.Known.Stale})
	for i, e := range c.Known.Entries {
		line(fmt.Sprintf("known.%d", i), fmt.Sprintf("name %s, address %s, zone %s, type %s, group %d, weight %v, state %d, since_ms %d",
			e.Name, e.Address, e.Zone, e.Kind, e.Cell, e.Weight, int(e.State), e.Since))
	}
	line("policy_limits.open_cap", c.MostOpen)
	line("lists are pushed", c.Pushed)
	for i, u := range c.Unspoken {
		line(fmt.Sprintf("served without, %d", i), u)
	}
	s := &c.Settings
	for i := range s.Classes {
		k := &s.Classes[i]
		line(fmt.Sprintf("classes.%d", i), fmt.Sprintf(
			"aim %v, aim_stretch %v, deadline %v, worth %v, late_worth %v, effect %d, group %d, window %v, class_kind %v",
			int64(k.Aim), k.Stretch, int64(k.Deadline), k.Worth, k.LateWorth, int(k.Effect), int(k.Group), int64(k.Window), k.Kind))
	}
	line("classes' names", fmt.Sprintf("%q", c.Names.Classes()))
	for i, tenant := range s.Tenants {
		line(fmt.Sprintf("customers.%d.quota_rps", i), tenant.Quota)
	}
	line("customers' names", fmt.Sprintf("%q", c.Names.Tenants()))
	line("over_share_worth", s.OverShareWorth)
	line("zones, machine_types", []int{s.Zones, s.Kinds})
	line("zone", s.Zone)
	line("group_size, ordinal", []int{s.GroupSize, s.Ordinal})
	line("peers, list on request", []bool{s.CanTell, s.ListOnRequest})
	line("tick", int64(s.Tick))
	line("policy_limits.attempts_cap", s.MaxAttempts)
	line("policy_limits.cancel, second_copies, retry_after", []bool{s.CanCancel, s.SecondCopies, s.RetryAfter})
	line("policy_limits.max_retry_after, connect_timeout, idle_close", []int64{int64(s.MaxRetryAfter), int64(s.ConnectTimeout), int64(s.IdleClose)})
	line("sized, weights move, tells_start", []bool{s.Sized, s.WeightsMove, s.TellsStart})
	line("extra.progress", int64(s.Progress))
	line("safety.ask_within, stop_sending_within, warm_within, fall", []int64{int64(s.AskWithin), int64(s.DrainGrace), int64(s.WarmWithin), int64(s.FallWindow)})
	line("safety.cold_from, fall_multiple", []float64{s.ColdFrom, s.FallMultiple})
	line("prices.waste, origin, late_fail, cross_zone", []float64{s.PriceWaste, s.PriceFetch, s.PriceLateFail, s.PriceCross})

	line("longest deadline", c.longest())
	line("until an attempt has arrived", c.arrive())
	line("until a worker is warm", c.warm())
	line("connections of operators", c.doors())
	for _, processes := range []int{1, 2, 3} {
		runners, clients, hard := c.share(processes)
		line(fmt.Sprintf("connections in one of %d processes, to workers and from clients", processes), []int{runners, clients, hard})
	}
	line("idle connections to workers", idleLife(c.Settings))
	n := &node{config: c}
	line("until all is answered after a signal", n.grace())
	line("until all is taken as before after a signal", n.accept(n.grace()))
	line("digest of the settings", c.digest)
}

// TestGolden_Platform has what the platform's configuration comes to, with every key set and with as few as there may be.
func TestGolden_Platform(t *testing.T) {
	for _, name := range []string{"reports", "probes", "least"} {
		var out bytes.Buffer
		c, err := Load(goldenPath("platform-"+name+".json"), "")
		if err != nil {
			t.Fatal(err)
		}
		goldenConfig(&out, c)
		golden(t, "platform-"+name+".txt", out.Bytes())
	}
	c, err := Load(goldenPath("platform-reports.json"), "127.0.0.1:4104")
	if err != nil || c.Admin != "127.0.0.1:4104" {
		t.Errorf("%v, %+v", err, c)
	}
}

// goldenChange replaces a part of a configuration; base is one of testdata/golden, or "" for a text of its own.
type goldenChange struct{ base, from, to string }

var goldenChanges = []goldenChange{
	{"", "", ``},
	{"", "", `{`},
	{"", "", `[]`},
	{"", "", `null`},
	{"", "", `{}`},
	{"", "", `{"name":1}`},
	{"", "", `{"limits":{"cores":"many"}}`},
	{"", "", `{"limits":{"sockets":1.5}}`},
	{"", "", `{"listen":"x","discovery":"y","operator":"z","limits":{"cores":-1,"memory_mb":1,"sockets":2}}`},
	{"least", `"127.0.0.1:4301"`, `""`},
	{"least", `"127.0.0.1:4302"`, `"127.0.0.1:85000"`},
	{"reports", `"127.0.0.1:4103"`, `"here"`},
	{"reports", `"127.0.0.1:4103"`, `"127.0.0.1:4101"`},
	{"reports", `"cores": 1.5`, `"cores": 0`},
	{"reports", `"memory_mb": 160`, `"memory_mb": 31`},
	{"reports", `"sockets": 900`, `"sockets": 63`},
	{"reports", `"status": "up"`, `"status": "odd"`},
	{"reports", `"snapshot": true`, `"snapshot": 3`},
	{"reports", `"index": 41`, `"index": -1`},
	{"reports", `"settings"`, `"other"`},
	{"least", `{"classes": [{"deadline": 1}]}`, `7`},
	{"least", `{"classes": [{"deadline": 1}]}`, `{}`},
	{"least", `"deadline": 1`, `"deadline": 0`},
	{"least", `"deadline": 1`, `"deadline": -2.5`},
	{"least", `"deadline": 1`, `"deadline": "long"`},
	{"least", `"deadline": 1`, ``},
	{"least", `"deadline": 1`, `"deadline": 1, "effect": "odd", "group": "odd"`},
	{"least", `"deadline": 1`, `"deadline": 1}, {"deadline": 2, "name": "a"}, {"deadline": 2, "name": "a"`},
	{"reports", `"name": "south"`, `"name": "north"`},
	{"reports", `"attempts_cap": 4`, `"attempts_cap": 0`},
	{"reports", `"attempts_cap": 4`, `"attempts_cap": "few"`},
	{"reports", `"cancel": true`, `"cancel": "maybe"`},
	{"reports", `"registry_mode": "subscribe"`, `"registry_mode": "odd"`},
	{"reports", `"how": "inline"`, `"how": "loud"`},
	{"reports", `"how": "inline"`, `"how": "off"`},
	{"reports", `"how": "inline"`, `"how": "on_probe"`},
	{"reports", `["pending", "x0", "x1"]`, `[]`},
	{"reports", `"report_x0": "free_slots", "report_x1": "queue", `, ``},
	{"probes", `"how": "on_probe", "names": ["cpu_share"]`, `"how": "off", "names": ["cpu_share", "a"]`},
	{"probes", `"weight_kind": "rough"`, `"weight_kind": "odd"`},
	{"probes", `"how": "on_probe", "names": ["cpu_share"]}`, `"how": "off"}, "weight_kind": "live"`},
	{"probes", `"probes": true`, `"probes": false`},
	{"probes", `"probe": 0.004`, `"probe": "dear"`},
	{"probes", `"probe": 0.004`, `"peer": 0.5`},
	{"reports", `"peers": true`, `"peers": false`},
	{"reports", `"zones": ["a", "b", "c"]`, `"zones": ["a", {"b": 1}]`},
}

// goType is what encoding/json says of our types: that is no text of ours, and goes by how they are called.
var goType = regexp.MustCompile(`(Go value of type|Go struct field) (?:node\.|server\.)?\w+`)

// TestGolden_Faults has each fault's message of a configuration.
func TestGolden_Faults(t *testing.T) {
	var out bytes.Buffer
	for _, c := range goldenChanges {
		raw, from := []byte(c.to), "itself"
		if c.base != "" {
			base, err := os.ReadFile(goldenPath("platform-" + c.base + ".json"))
			if err != nil {
				t.Fatal(err)
			}
			if raw = bytes.Replace(base, []byte(c.from), []byte(c.to), 1); bytes.Equal(raw, base) {
				t.Fatalf("%s has no %s", c.base, c.from)
			}
			from = c.base + ", " + c.from
		}
		_, err := Decode(raw)
		fmt.Fprintf(&out, "%s to %s\n", from, c.to)
		for line := range strings.SplitSeq(fmt.Sprint(err), "\n") {
			fmt.Fprintf(&out, "    %s\n", goType.ReplaceAllString(line, "$1 TYPE"))
		}
	}
	fmt.Fprintln(&out, "a file that is missing")
	_, err := Load("testdata/golden/none.json", "")
	fmt.Fprintf(&out, "    %v\n", err)
	golden(t, "faults.txt", out.Bytes())
}

// TestGolden_ReloadFaults has each message on what a file lacks that was in force.
func TestGolden_ReloadFaults(t *testing.T) {
	old, err := os.ReadFile(goldenPath("platform-reports.json"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, now := range []string{`{}`, `{"settings":{}}`, `{"settings":{"classes":[{}],"zones":7,"policy_limits":[]},"limits":{"cores":1}}`} {
		fmt.Fprintf(&out, "%s\n", now)
		for line := range strings.SplitSeq(fmt.Sprint(lacks(old, []byte(now))), "\n") {
			fmt.Fprintf(&out, "    %s\n", line)
		}
	}
	golden(t, "reload-faults.txt", out.Bytes())
}

var loopbackPort = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// TestGolden_Free has the messages on addresses that are in use.
func TestGolden_Free(t *testing.T) {
	c := &Config{}
	for _, address := range []*string{&c.Listen, &c.Admin} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	golden(t, "free.txt", loopbackPort.ReplaceAll(fmt.Appendln(nil, c.Free()), []byte("127.0.0.1:PORT")))
	if err := (&Config{Listen: "127.0.0.1:0"}).Free(); err != nil {
		t.Error(err)
	}
}

// TestGolden_OperatorCalls has what a dispatcher answers its operators.
func TestGolden_OperatorCalls(t *testing.T) {
	t.Setenv("TMPDIR", "")
	w := newWorld(t)
	n := w.withDoor(t)
	close(w.release)
	var out bytes.Buffer
	call := func(when, method, path string) {
		t.Helper()
		status, text := n.call(t, method, path)
		fmt.Fprintf(&out, "%s: %s %s: %d %q\n", when, method, path, status, text)
	}
	await(t, "it can serve", func() bool { s, _ := n.call(t, "GET", "/-/ready"); return s == 200 })
	call("it serves", "GET", "/-/ready")
	call("it serves", "POST", "/-/runners/nobody/disable")
	call("it serves", "POST", "/-/runners/nobody/enable")
	call("it serves", "POST", "/-/runners/w/disable")
	call("it serves", "POST", "/-/runners/w/enable")
	f := &fakeCopies{behind: true}
	n.copies = f
	call("in a group, at its start", "GET", "/-/ready")
	f.behind = false
	call("in a group", "GET", "/-/ready")
	call("in a group", "POST", "/-/runners/w/disable")
	f.full = fmt.Errorf("no room")
	call("in a group that is full", "POST", "/-/runners/w/enable")
	n.copies = nil
	listening := n.listening
	n.listening = make(chan struct{})
	call("it waits for the list", "GET", "/-/ready")
	n.listening = listening
	n.front.Leave()
	call("it leaves", "GET", "/-/ready")
	call("it leaves", "POST", "/-/runners/w/enable")
	golden(t, "operator-calls.txt", out.Bytes())
	if err := n.stop(); err != nil {
		t.Error(err)
	}
}

// fieldNames are the names of the fields of a line of the counters, in order.
func fieldNames(t *testing.T, n *node, message string) []byte {
	t.Helper()
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(hookFunc(func(e *logrus.Entry) {
		if e.Message == message {
			fmt.Fprintf(&out, "level=%v msg=%s\n", e.Level, e.Message)
			for _, name := range slices.Sorted(maps.Keys(e.Data)) {
				fmt.Fprintf(&out, "%s %T\n", name, e.Data[name])
			}
		}
	}))
	was := n.log
	n.log = log
	n.tell(message)
	n.log = was
	return out.Bytes()
}

type hookFunc func(*logrus.Entry)

func (hookFunc) Levels() []logrus.Level       { return logrus.AllLevels }
func (f hookFunc) Fire(e *logrus.Entry) error { f(e); return nil }

// TestGolden_Counters has the names of all counters, of a dispatcher with limits by an operator's file.
func TestGolden_Counters(t *testing.T) {
	w := newWorld(t)
	close(w.release)
	dir := t.TempDir()
	path, operator := dir+"/config.json", dir+"/operator.toml"
	for path, text := range map[string]string{
		path: configText(w.discovery, w.worker, "5"), operator: "[[route]]\nname = 'all'\nconcurrent = 1\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c, err := LoadAll(path, operator, "")
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(c, quiet(), nil)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "counters.txt", fieldNames(t, n, "counters"))
	if err := n.stop(); err != nil {
		t.Error(err)
	}
}

// asDispatcher in the environment makes this test's own binary a dispatcher with that configuration.
const asDispatcher = "NODE_TEST_CONFIG"

func TestMain(m *testing.M) {
	path := os.Getenv(asDispatcher)
	if path == "" {
		os.Exit(m.Run())
	}
	c, err := Load(path, "")
	if err == nil {
		log := logrus.New()
		log.SetOutput(os.Stderr)
		err = Run(c, log, nil)
	}
	fmt.Fprintf(os.Stderr, "run: %v\n", err)
}

// TestGolden_Ends has the lines by which the end of a dispatcher is told from a log: in order, and by a fault of its listener.
func TestGolden_Ends(t *testing.T) {
	w := newWorld(t)
	close(w.release)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	var out bytes.Buffer
	play := func(raw string, during func(log *lines, process *os.Process)) {
		t.Helper()
		if err := os.WriteFile(config, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		var log lines
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asDispatcher+"="+config, "TMPDIR="+dir, "GORACE=atexit_sleep_ms=0")
		cmd.Stderr = &log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		during(&log, cmd.Process)
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		for line := range strings.SplitSeq(log.all.String(), "\n") {
			if m := regexp.MustCompile(`level=\S+ msg=("[^"]*"|\S+)`).FindString(line); m != "" {
				fmt.Fprintln(&out, m)
			} else if strings.HasPrefix(line, "run: ") {
				fmt.Fprintln(&out, loopbackPort.ReplaceAllString(line, "127.0.0.1:PORT"))
			}
		}
	}
	play(configText(w.discovery, w.worker, "0.7"), func(log *lines, process *os.Process) {
		for _, step := range []struct {
			sig  syscall.Signal
			want string
		}{{0, "msg=serving"}, {syscall.SIGUSR1, "msg=counters"}, {syscall.SIGTERM, "msg=stopped"}} {
			if err := process.Signal(step.sig); err != nil {
				t.Fatal(err)
			}
			await(t, step.want, func() bool { return log.has(step.want) })
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0") // shared with nobody
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("TMPDIR", dir)
	sibling := w.withDoor(t) // so that the other one waits until it knows the workers
	raw := strings.Replace(configText(w.discovery, w.worker, "0.7"), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"operator":"127.0.0.1:0","listen":%q`, l.Addr()), 1)
	play(raw, func(log *lines, _ *os.Process) {
		await(t, "it ends", func() bool { return log.has("run: ") })
	})
	if err := sibling.stop(); err != nil {
		t.Error(err)
	}
	golden(t, "ends.txt", out.Bytes())
}

// TestGolden_HotRestart starts a dispatcher beside the files that an earlier build left: they are as it writes them itself, and it
// begins with the list and the overrides that they hold.
func TestGolden_HotRestart(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	raw := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:9", "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	const shared = "birchfork-n1"
	if updateGolden() {
		n := startWith(t, raw, func(*Config) {})
		n.wants(t, "POST", "/-/runners/w/disable", 200)
		left := filepath.Join(dir, shared)
		await(t, "the list is left", func() bool { _, err := os.Stat(filepath.Join(left, "list")); return err == nil })
		if err := os.MkdirAll(goldenPath(shared), 0o700); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"hand", "list"} {
			b, err := os.ReadFile(filepath.Join(left, name))
			if err == nil {
				err = os.WriteFile(filepath.Join(goldenPath(shared), name), b, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if err := n.stop(); err != nil {
			t.Fatal(err)
		}
		if err := os.RemoveAll(left); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.CopyFS(filepath.Join(dir, shared), os.DirFS(goldenPath(shared))); err != nil {
		t.Fatal(err)
	}
	left, err := os.Stat(filepath.Join(dir, shared, "list"))
	if err != nil {
		t.Fatal(err)
	}
	// Its own list is older, and names another worker.
	older := strings.Replace(strings.Replace(raw, `"index":41`, `"index":40`, 1), `"name":"w"`, `"name":"other"`, 1)
	n := startWith(t, older, func(*Config) {})
	l, _ := n.store.List()
	want := []engine.Entry{{Name: "w", Address: "127.0.0.1:9", Zone: "a", Kind: "big", Weight: 1}}
	if l.Index != 41 || !l.Stale || !slices.Equal(l.Entries, want) {
		t.Errorf("it begins with %+v, want %+v", l, want)
	}
	if out := n.store.Out(); !slices.Equal(out, []string{"w"}) {
		t.Errorf("out: %v", out)
	}
	await(t, "it leaves the list for others", func() bool {
		now, err := os.Stat(filepath.Join(dir, shared, "list"))
		return err == nil && !os.SameFile(left, now)
	})
	got, err := os.ReadFile(filepath.Join(dir, shared, "list"))
	if err != nil {
		t.Fatal(err)
	}
	golden(t, filepath.Join(shared, "list"), got)
	n.wants(t, "POST", "/-/runners/w/enable", 200)
	if err := n.stop(); err != nil {
		t.Error(err)
	}
}
