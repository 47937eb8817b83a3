package main

import (
	"bytes"
	"strings"
	"testing"

	"birchfork/dispatch"
)

const startLine = "POWER_ON\t42\tclasses.count=1\tclasses.0.aim=0.4\tclasses.0.deadline=5\tclasses.0.effect=free\t" +
	"classes.0.name=search\ttick=0.001\tpolicy_limits.attempts_cap=3\n"

const listLines = "POOL\t0\t1\nROW\t10.0.0.1:7\t-\t-\t0\thealthy\t1\t-\nMEMBERSHIP\tstale_copy\t0\t1\n"

const queryLine = "QUERY\tr-1\t0\t-\tsearch\t-\t5\t-\t0\t0\t-\t1\n"

func TestRun_SendsRequestToWorker(t *testing.T) {
	in := "BATCH\t1\nFLUSH\nBATCH\t2\nON\t4\n" + startLine + listLines + queryLine + "FLUSH\n" +
		"BATCH\t3\nON\t4\nCLOSED_ATTEMPT\tr-1\t0\t10.0.0.1:7\t0\t1\t1\t-\t-\nFLUSH\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "EOR\n")
	if len(replies) != 4 || replies[0] != "" || !strings.HasPrefix(replies[1], "BY\t4\nCALL_OUT\tr-1\t10.0.0.1:7\t0\n") {
		t.Fatalf("replies %q, want 3, the first without actions and the second with a CALL_OUT", replies)
	}
}

func TestRun_ErrorNamesLine(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"codec", "BATCH\t1\nON\tx\n", "line 2: ON: i"},
		{"module", "BATCH\t1\nON\t0\nPOWER_ON\t1\tx=1\n", "line 3: starting instance 0: settings: Classes"},
	} {
		err := run(strings.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want prefix %q", c.name, err, c.want)
		}
	}
}

// panickingDecider is a decider that panics at its first event.
type panickingDecider struct{}

func (panickingDecider) Handle(dispatch.Time, *dispatch.Event, []dispatch.Action) []dispatch.Action {
	panic("no such thing")
}

func TestHost_ReportsPanic(t *testing.T) {
	in := "BATCH\t2\nON\t4\n" + startLine + listLines + queryLine + "FLUSH\n"
	var out bytes.Buffer
	h := newHost(strings.NewReader(in), &out)
	h.newDecider = func(dispatch.Settings, uint64) (decider, error) { return panickingDecider{}, nil }
	for {
		if err := h.step(); err != nil {
			break
		}
	}
	if want := "BY\t4\nDIE\tno such thing\nEOR\n"; out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}
