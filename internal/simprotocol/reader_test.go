package simprotocol

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

const startLine = "POWER_ON\t42\tclasses.count=2\tclasses.0.aim=0.4\tclasses.0.deadline=10.0\tclasses.0.effect=free\t" +
	"classes.0.name=search\tclasses.1.deadline=5\tclasses.1.effect=guarded\tclasses.1.group=zone\tclasses.1.window=2.5\t" +
	"classes.1.name=book\tcustomers.count=1\tcustomers.0.name=acme\tcustomers.0.quota_rps=14.0\t" +
	"extra.class_stretch=1.75,2.0\textra.class_kind=-1,0\textra.report_x1=free_slots\textra.tells_start=true\t" +
	"machine_types=big\tzones=a,b\tzone=b\ttick=0.002\tsafety.warm_within=24.0\tregistry_mode=subscribe\tnew.key=1\n"

const poolLines = "POOL\t0\t2\nROW\t10.0.0.1:7\ta\tbig\t3\thealthy\t1.5\t-\nROW\t10.0.0.2:7\tb\tbig\t-\tcordoned\t1\t99.5\n"

func batch(lines ...string) string {
	return "BATCH\t100.5\nON\t0\n" + strings.Join(lines, "") + "FLUSH\n"
}

// readAll reads messages until the input ends or a line is malformed. It copies each event, since the reader reuses it.
func readAll(in string) ([]Message, *Reader, error) {
	r := NewReader(strings.NewReader(in))
	var out []Message
	for {
		var m Message
		err := r.Read(&m)
		if errors.Is(err, io.EOF) {
			return out, r, nil
		}
		if err != nil {
			return out, r, err
		}
		if m.Event != nil {
			e := *m.Event
			e.Workers = append([]dispatch.Worker(nil), e.Workers...)
			m.Event = &e
		}
		out = append(out, m)
	}
}

func TestReader_Settings(t *testing.T) {
	msgs, _, err := readAll(batch(startLine))
	if err != nil {
		t.Fatal(err)
	}
	m := msgs[1]
	s := m.Settings
	if m.Kind != InstanceStart || m.Seed != 42 || len(s.Classes) != 2 || len(s.Tenants) != 1 || s.Zone != 1 || s.ZoneCount != 2 {
		t.Fatalf("message %+v, want the start of an instance with seed 42, 2 classes, 1 tenant and zone 1 of 2", m)
	}
	c := s.Classes[1]
	if c.Idempotency != dispatch.Deduplicated || c.DedupScope != dispatch.DedupZone || c.DedupWindow != 2500*dispatch.Millisecond || c.WorkerKind != 0 ||
		c.ObjectiveStretch != 2 || s.Classes[0].WorkerKind != -1 || !s.EndpointsOnRequest || s.Tick != 2*dispatch.Millisecond {
		t.Fatalf("settings %+v, want class 1 deduplicated by zone within 2.5 s, endpoints on request and a tick of 2 ms", s)
	}
}

func TestReader_Events(t *testing.T) {
	q := "QUERY\tr-1\t1\tacme\tbook\t0.25\t4.5\t-\t0\t0\t1.5\t2\n"
	for _, c := range []struct {
		name  string
		lines []string
		want  dispatch.Event
	}{
		{"query", []string{q}, dispatch.Event{Kind: dispatch.RequestArrived, Class: 1, ExpectedWork: 250 * dispatch.Millisecond, Retry: true,
			TimeLeft: 4500 * dispatch.Millisecond, Slots: 2, Memory: 1.5}},
		{"request with affinity key 0", []string{"QUERY\tr-1\t0\t-\tsearch\t-\t4.5\t0\t-\t-\t-\t-\n"},
			dispatch.Event{Kind: dispatch.RequestArrived, Tenant: -1, TimeLeft: 4500 * dispatch.Millisecond, Slots: 1, AffinityKey: 1}},
		{"request without expected work, tenant and slots", []string{"QUERY\tr-1\t0\t-\tsearch\t-\t4.5\t-\t-\t-\t-\t-\n"},
			dispatch.Event{Kind: dispatch.RequestArrived, Tenant: -1, TimeLeft: 4500 * dispatch.Millisecond, Slots: 1}},
		{"start", []string{poolLines, "MEMBERSHIP\twhole\t0\t7\n", q, "CHANGE\tr-1\t1\t10.0.0.2:7\t0\t-\n"},
			dispatch.Event{Kind: dispatch.AttemptStarted, Worker: 1, Tenant: -1}},
		{"progress", []string{q, "CHANGE\tr-1\t2\tx:1\t1\t0.5\n"},
			dispatch.Event{Kind: dispatch.AttemptProgressed, Attempt: 1, Progress: 0.5, Tenant: -1}},
		{"attempt ended, with load report", []string{q, "CLOSED_ATTEMPT\tr-1\t0\tx:1\t2\t0.0185\t0\t-\tx1:3,pending:4.5,new:1\n"},
			dispatch.Event{Kind: dispatch.AttemptEnded, Result: dispatch.ResultOverloaded, Elapsed: 18500, Tenant: -1,
				Report: dispatch.LoadReport{Known: true, FreeSlots: 3, QueueLength: 4.5}}},
		{"attempt ended, unknown result", []string{q, "CLOSED_ATTEMPT\tr-1\t0\tx:1\t77\t1\t0\t-\t-\n"},
			dispatch.Event{Kind: dispatch.AttemptEnded, Result: dispatch.ResultUnknown, Elapsed: dispatch.Second, Tenant: -1,
				Report: dispatch.LoadReport{FreeSlots: -1, QueueLength: -1}}},
		{"response started", []string{q, "FIRST_BYTE\tr-1\t0\t0.5\tx:1\n"},
			dispatch.Event{Kind: dispatch.ResponseStarted, Elapsed: 500 * dispatch.Millisecond, Tenant: -1}},
		{"health check result is skipped", []string{"PROBE_DONE\t0.5\t0\tx:1\t-\n", q, "GONE\tr-1\n"},
			dispatch.Event{Kind: dispatch.RequestAbandoned, Tenant: -1}},
		{"gone", []string{q, "GONE\tr-1\n"}, dispatch.Event{Kind: dispatch.RequestAbandoned, Tenant: -1}},
		{"timer", []string{"WAKEUP\tsweep\n"}, dispatch.Event{Kind: dispatch.TimerFired, Tenant: -1}},
		{"endpoint watch lost", []string{"MEMBERSHIP\tbroken\t0\t9\n"}, dispatch.Event{Kind: dispatch.EndpointWatchLost, Version: 9, Tenant: -1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			msgs, _, err := readAll(batch(append([]string{startLine}, c.lines...)...))
			if err != nil {
				t.Fatal(err)
			}
			got := *msgs[len(msgs)-2].Event
			if len(got.Workers) != 0 {
				t.Fatalf("workers %v, want none", got.Workers)
			}
			got.Workers = nil
			if !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got  %+v\nwant %+v", got, c.want)
			}
		})
	}
}

func TestReader_ResolvesListsInEventOrder(t *testing.T) {
	second := "POOL\t0\t1\nROW\t10.0.0.3:7\tb\tnew-kind\t1\tderegistered\t1\t-\n"
	msgs, _, err := readAll(batch(startLine, poolLines, "MEMBERSHIP\tstale_copy\t0\t3\n", second, "MEMBERSHIP\tpatch\t0\t4\n"))
	if err != nil {
		t.Fatal(err)
	}
	first, next := msgs[2].Event, msgs[3].Event
	if first.Kind != dispatch.EndpointSnapshot || !first.Stale || first.Version != 3 || len(first.Workers) != 2 {
		t.Fatalf("first list: %+v, want a stale snapshot with version 3 and 2 workers", first)
	}
	w := first.Workers[1]
	if w.ID != 1 || w.Zone != 1 || w.Cell != -1 || w.State != dispatch.Draining || w.StartedAt != 99500*dispatch.Millisecond {
		t.Fatalf("worker %+v, want id 1 in zone 1, no cell, draining, started at 99.5 s", w)
	}
	if next.Kind != dispatch.EndpointUpdate || len(next.Workers) != 1 || next.Workers[0].ID != 2 ||
		next.Workers[0].Kind != -1 || next.Workers[0].State != dispatch.Gone {
		t.Fatalf("second list: %+v, want an update with worker 2 of unknown kind, gone", next)
	}
}

func TestWriter_Actions(t *testing.T) {
	msgs, r, err := readAll(batch(startLine, poolLines, "MEMBERSHIP\twhole\t0\t7\n",
		"QUERY\tr-1\t0\tacme\tsearch\t-\t1\t-\t0\t0\t-\t1\n", "QUERY\tr-2\t0\tacme\tsearch\t-\t1\t-\t0\t0\t-\t1\n"))
	if err != nil || len(msgs) == 0 {
		t.Fatal(err)
	}
	var out bytes.Buffer
	w := NewWriter(&out)
	n := r.NameTable(0)
	err = w.WriteActions(0, n, []dispatch.Action{
		{Kind: dispatch.Send, Request: 0, Worker: 1, Wait: 80 * dispatch.Millisecond},
		{Kind: dispatch.Cancel, Request: 0},
		{Kind: dispatch.Reject, Request: 0, Wait: 1234567},
		{Kind: dispatch.Fail, Request: 1},
		{Kind: dispatch.SetTimer, Wait: 500},
		{Kind: dispatch.WatchEndpoints}, {Kind: dispatch.FetchEndpoints},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.WriteCrash(3, "it\nbroke")
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "BY\t0\nCALL_OUT\tr-1\t10.0.0.2:7\t0.08\nRETRACT\tr-1\t0\nREFUSE\tr-1\t1.234567\nGIVE_UP\tr-2\n" +
		"ARM\tt\t0.0005\nWATCH\t1\nLOOKUP\nBY\t3\nDIE\tit broke\nEOR\n"
	if out.String() != want {
		t.Fatalf("got\n%swant\n%s", out.String(), want)
	}
	if err := w.WriteActions(0, n, []dispatch.Action{{Kind: 99}}); err == nil {
		t.Fatal("WriteActions accepted an unknown action kind")
	}
}

func TestSeconds_RoundTrip(t *testing.T) {
	for _, us := range []dispatch.Time{0, 1, 10, 999999, 1000000, 1000001, 123456789, 457526232643} {
		got, ok := settings.ParseDecimal(appendSeconds(nil, us))
		if !ok || settings.FromSeconds(got) != us {
			t.Errorf("%d us: encoded as %s, decoded as %v", us, appendSeconds(nil, us), got)
		}
	}
}

// malformedInput is an input with one malformed line. want lists substrings, separated by |, one of which the error contains.
type malformedInput struct {
	name, in string
	line     int
	want     string
}

// malformedInputs returns one input for each error that the reader reports.
func malformedInputs() []malformedInput {
	q := "QUERY\tr-1\t0\tacme\tsearch\t-\t1\t-\t0\t0\t-\t1\n"
	return []malformedInput{
		{"outside a batch", "ON\t0\n", 1, "outside a batch"},
		{"unknown message", batch("WHAT\t1\n"), 3, "no instance|not started|unknown"},
		{"unknown message to a started instance", batch(startLine, "WHAT\t1\n"), 4, "unknown"},
		{"no instance", "BATCH\t1\nWAKEUP\tx\nFLUSH\n", 2, "no instance"},
		{"not started", batch("WAKEUP\tx\n"), 3, "not started"},
		{"started twice", batch(startLine, startLine), 4, "already running"},
		{"truncated", "BATCH\t1\nON\t0\n", 2, "ended inside a batch"},
		{"truncated pool", "BATCH\t1\nPOOL\t0\t3\nROW\ta\tb\tc\t1\thealthy\t1\t-\n", 3, "ended inside a pool"},
		{"batch in a batch", "BATCH\t1\nBATCH\t2\n", 2, "has not ended"},
		{"bad clock", "BATCH\tsoon\n", 1, "clock"},
		{"clock out of range", "BATCH\t1e300\n", 1, "out of range"},
		{"infinite clock", "BATCH\tInf\n", 1, "clock"},
		{"bad seed", batch("POWER_ON\tx\ta=1\n"), 3, "prng"},
		{"bad setting", batch("POWER_ON\t1\tclasses.count=many\n"), 3, "classes.count"},
		{"huge count", batch("POWER_ON\t1\tclasses.count=999999999\n"), 3, "classes.count"},
		{"setting without value", batch("POWER_ON\t1\tnonsense\n"), 3, "path=value"},
		{"bad flag", batch("POWER_ON\t1\textra.tells_start=maybe\n"), 3, "extra.tells_start"},
		{"bad effect", batch("POWER_ON\t1\tclasses.count=1\tclasses.0.effect=odd\n"), 3, "classes.0.effect"},
		{"unknown pool", batch(startLine, "MEMBERSHIP\twhole\t5\t1\n"), 4, "pool 5"},
		{"pool number out of range", batch(startLine, "MEMBERSHIP\twhole\t16\t1\n"), 4, "page"},
		{"membership mode", batch(startLine, poolLines, "MEMBERSHIP\tnew\t0\t1\n"), 7, "mode"},
		{"worker mode", "BATCH\t1\nPOOL\t0\t1\nROW\ta\tb\tc\t1\tasleep\t1\t-\n", 3, "asleep"},
		{"pool line", "BATCH\t1\nPOOL\t0\t1\nFLUSH\n", 3, "must be ROW"},
		{"missing value", batch(startLine, "QUERY\tr-1\t0\n"), 4, "missing"},
		{"extra value", batch(startLine, "WAKEUP\tx\ty\n"), 4, "too many values"},
		{"unknown class", batch(startLine, strings.Replace(q, "search", "nap", 1)), 4, "nap"},
		{"unknown tenant", batch(startLine, strings.Replace(q, "acme", "emca", 1)), 4, "emca"},
		{"duplicate request", batch(startLine, q, q), 5, "already open"},
		{"negative time", batch(startLine, strings.Replace(q, "\t1\t-\t0", "\t-5\t-\t0", 1)), 4, "left"},
		{"bad report", batch(startLine, q, "CLOSED_ATTEMPT\tr-1\t0\tx:1\t0\t1\t1\t-\tx0=4\n"), 5, "server_stats"},
		{"empty line", batch(startLine, "\n"), 4, "unknown"},
	}
}

func TestReader_RejectsMalformedInput(t *testing.T) {
	for _, c := range malformedInputs() {
		t.Run(c.name, func(t *testing.T) {
			_, r, err := readAll(c.in)
			if err == nil {
				t.Fatal("no error")
			}
			found := false
			for _, want := range strings.Split(c.want, "|") {
				found = found || strings.Contains(err.Error(), want)
			}
			if !found || r.Line() != c.line {
				t.Fatalf("line %d: %v; want line %d and %q", r.Line(), err, c.line, c.want)
			}
		})
	}
}

func TestReader_CrashForgetsInstance(t *testing.T) {
	msgs, r, err := readAll(batch(startLine, "CRASH_NOW\n", startLine))
	if err != nil || len(msgs) != 5 || msgs[2].Kind != InstanceStop || r.NameTable(0) == nil {
		t.Fatalf("messages %v, error %v, want a stop and another start of the instance", msgs, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(batch(startLine, poolLines, "MEMBERSHIP\twhole\t0\t7\n", "QUERY\tr-1\t0\tacme\tsearch\t-\t1\t-\t0\t0\t-\t1\n",
		"CLOSED_ATTEMPT\tr-1\t0\tx:1\t0\t1\t1\t-\tx1:4\n", "GONE\tr-1\n"))
	for _, report := range []string{"x0:-1", "x0:9e99", "cpu_share:,x0", "x0:1,x0:2", "odd:7"} {
		f.Add(batch(startLine, poolLines, "QUERY\tr-1\t0\tacme\tsearch\t-\t1\t18446744073709551616\t0\t0\t-\t1\n",
			"CLOSED_ATTEMPT\tr-1\t0\tx:1\t0\t1\t1\t-\t"+report+"\n"))
	}
	f.Add("BATCH\t1\nFLUSH\n")
	f.Add("BATCH\t-\nPOOL\t0\t0\nON\t-1\n")
	f.Fuzz(func(t *testing.T, in string) {
		_, r, err := readAll(in) // must not panic and must return
		if err != nil && (err.Error() == "" || r.Line() > strings.Count(in, "\n")+1) {
			t.Fatalf("line %d: %v", r.Line(), err)
		}
	})
}

func TestPeerMessage_RoundTrip(t *testing.T) {
	for _, n := range []dispatch.PeerMessage{
		{Kind: dispatch.LoadQuery, Tag: 0xfedcba98},
		{Kind: dispatch.LoadReply, Tag: 1, Slots: 2.5},
		{Kind: dispatch.UsageUpdate, Tag: 77, Slots: 31.875},
	} {
		got, known := decodePeerMessage(appendPeerMessage(nil, n))
		if !known || got != n {
			t.Errorf("got %+v, known %v, want %+v", got, known, n)
		}
	}
	if n, _ := decodePeerMessage(appendPeerMessage(nil, dispatch.PeerMessage{Kind: dispatch.UsageUpdate, Slots: 1e9})); n.Slots != 255.0/8 {
		t.Errorf("slots above the maximum were decoded as %v, want 31.875", n.Slots)
	}
	for _, raw := range []string{"", "-", "aGkgNw==", "/////////w==", "not base64!", "AAAAAAAAAAAAAAAAAAAAAAAAAAAA"} {
		if n, known := decodePeerMessage([]byte(raw)); known {
			t.Errorf("malformed message %q was decoded as %+v", raw, n)
		}
	}
}

func TestReaderWriter_PeerMessages(t *testing.T) {
	encoded := string(appendPeerMessage(nil, dispatch.PeerMessage{Kind: dispatch.LoadReply, Tag: 9, Slots: 3}))
	msgs, _, err := readAll(batch(startLine, "DATAGRAM\t4\t"+encoded+"\n", "DATAGRAM\t5\taGkgNw==\n"))
	if err != nil {
		t.Fatal(err)
	}
	var received []dispatch.Event
	for _, message := range msgs {
		if message.Kind == InstanceEvent && message.Event.Kind == dispatch.PeerMessageReceived {
			received = append(received, *message.Event)
		}
	}
	want := dispatch.PeerMessage{Kind: dispatch.LoadReply, Tag: 9, Slots: 3}
	if len(received) != 1 || received[0].Peer != 4 || received[0].Message != want {
		t.Fatalf("got %+v, want one message from peer 4: unknown messages must be skipped", received)
	}
	var out bytes.Buffer
	w := NewWriter(&out)
	if err := w.WriteActions(3, settings.NewNameTable(), []dispatch.Action{{Kind: dispatch.SendToPeer, Peer: 12, Message: want}}); err != nil {
		t.Fatal(err)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "BY\t3\nWRITE_PEER\t12\t"+encoded+"\nEOR\n" {
		t.Fatalf("reply %q, want one WRITE_PEER line for peer 12", got)
	}
}
