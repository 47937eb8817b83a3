package invariant

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func terms() Terms {
	return Terms{
		Classes: []Class{{Name: "search", Safe: true}, {Name: "ticket"}, {Name: "book", Keyed: true, Group: "cell", Window: time.Second},
			{Name: "note", Keyed: true, Group: "all", Window: time.Second}},
		Workers:  []Worker{{"w1", "a", 0}, {"w2", "a", 0}, {"w3", "b", 1}},
		Attempts: 3, DrainGrace: 500 * ms, Slack: 50 * ms, PropagationDeadline: 6 * time.Second,
	}
}

// servedTry returns a served try with its only attempt.
func servedTry(class int) (*Try, *Attempt) {
	t := &Try{ID: "a", Class: class, Sent: 1000 * ms, Due: 3000 * ms, Ended: 1200 * ms, Outcome: Served, Status: 200, Result: 7}
	return t, &Attempt{ID: "a", First: 1010 * ms, Last: 1010 * ms, Ended: 1190 * ms, End: Done, Ran: true, Result: 7}
}

// secondAttempt returns a further attempt of the same request, at a worker and a time.
func secondAttempt(worker int, at time.Duration) *Attempt {
	return &Attempt{ID: "a", Worker: worker, First: at, Last: at, Ended: at + 100*ms, End: Done, Ran: true, Result: 7}
}

// checkCase is a change of a valid record, with the violations that the check must find.
type checkCase struct {
	name   string
	class  int
	change func(l *Ledger, t *Try, a *Attempt) // changes a served try and its attempt, or adds records
	want   string                              // rule/kind, separated by spaces; empty: none
}

func checkCases(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger()
			try, a := servedTry(c.class)
			l.Try(try)
			l.Attempt(a)
			c.change(l, try, a)
			verdict := Check(l, terms())
			got := make([]string, 0, len(verdict.Violations))
			for _, v := range verdict.Violations {
				got = append(got, v.Rule+"/"+v.Kind)
				if len(v.Lines) == 0 || !slices.Contains(Rules, v.Rule) || !strings.Contains(v.String(), v.Lines[0]) {
					t.Errorf("violation without evidence: %+v", v)
				}
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("violations %q, want %q", strings.Join(got, " "), c.want)
			}
		})
	}
}

// Each kind of violation of Answers is reported, and borderline cases are not.
func TestCheck_Answers(t *testing.T) {
	checkCases(t, []checkCase{
		{"a served request", 1, func(*Ledger, *Try, *Attempt) {}, ""},
		{"an answer within the slack", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Ended = t.Due + 50*ms }, ""},
		{"a late answer", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Ended = t.Due + 51*ms }, "answers/late"},
		{"a late refusal", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome, t.Ended = Refused, t.Due+60*ms }, "answers/late"},
		{"no answer", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = NoAnswer }, "answers/lost"},
		{"a connection closed after forwarding", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = Closed }, "answers/lost"},
		{"a connection closed without forwarding", 0, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.ID = Closed, "b" }, "answers/made-up-request"},
		{"a connection closed by a kill of the testbed", 1, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{At: 1100 * ms, Kind: Killed})
		}, ""},
		{"a connection closed while another dispatcher was killed", 0, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{Dispatcher: 1, At: 1100 * ms, Kind: Killed})
		}, "answers/lost"},
		{"a connection closed long after a kill", 0, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{At: 500 * ms, Kind: Killed})
		}, "answers/lost"},
		{"a client that left", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = Left }, ""},
		{"a result that no worker returned", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Result = 8 }, "answers/made-up-answer"},
		{"the result of an attempt that failed", 0, func(_ *Ledger, _ *Try, a *Attempt) { a.End = Errored }, "answers/made-up-answer"},
		{"two answers", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.ExtraData = true }, "answers/answered-twice"},
		{"an attempt after the answer", 0, func(l *Ledger, t *Try, _ *Attempt) { l.Attempt(secondAttempt(1, t.Ended+60*ms)) }, "answers/sent-after-final"},
		{"an attempt after the answer, within the slack", 0, func(l *Ledger, t *Try, _ *Attempt) { l.Attempt(secondAttempt(1, t.Ended+40*ms)) }, ""},
		{"a changed body", 0, func(_ *Ledger, _ *Try, a *Attempt) { a.Changed = "shorter" }, "answers/changed"},
		{"input that a worker cannot parse", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.ProtocolFault(ProtocolFault{What: "junk"}) }, "answers/nonsense"},
	})
}

// Each kind of violation of Effects is reported, and borderline cases are not.
func TestCheck_Effects(t *testing.T) {
	checkCases(t, []checkCase{
		{"a safe request sent twice", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(secondAttempt(1, 1100*ms)) }, ""},
		{"a safe request with too many attempts", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			for i := range 3 {
				l.Attempt(secondAttempt(1, 1100*ms+time.Duration(i)))
			}
		}, "effects/too-many-attempts"},
		{"an unsafe request sent twice", 1, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(secondAttempt(1, 1100*ms)) }, "effects/sent-again effects/ran-twice"},
		{"an unsafe request retried after a rejection", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Rejected, false, 1050*ms
			l.Attempt(secondAttempt(1, 1100*ms))
		}, ""},
		{"an unsafe request retried before its return from the queue", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Returned, false, 1150*ms
			l.Attempt(secondAttempt(1, 1100*ms))
		}, "effects/sent-again"},
		{"an unsafe request retried after a failure", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ended = Errored, 1050*ms
			l.Attempt(secondAttempt(1, 1100*ms))
		}, "effects/sent-again effects/ran-twice"},
		{"an unsafe request retried after its cancellation in the queue", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Dropped, false, 1050*ms
			l.Attempt(secondAttempt(1, 1100*ms))
		}, "effects/sent-again"},
		{"refusal of an unsafe request that ran", 1, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, "effects/refused-what-may-have-run"},
		{"refusal of an unsafe request that was returned from the queue", 1, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End, a.Ran = Refused, Returned, false }, ""},
		{"refusal of a safe request that ran", 0, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, ""},
		{"a keyed request retried within its cell", 2, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(secondAttempt(1, 1100*ms)) }, ""},
		{"a keyed request retried outside its cell", 2, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(secondAttempt(2, 1100*ms)) }, "effects/sent-again effects/ran-twice"},
		{"a keyed request retried after its window", 2, func(l *Ledger, t *Try, _ *Attempt) { t.Ended = 2500 * ms; l.Attempt(secondAttempt(1, 2200*ms)) }, "effects/sent-again effects/ran-twice"},
		{"refusal of a keyed request with deduplication by all workers", 3, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, ""},
		{"refusal of a keyed request with deduplication by cell", 2, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, "effects/refused-what-may-have-run"},
	})
}

// Each kind of violation of Drains is reported, and borderline cases are not.
func TestCheck_Drains(t *testing.T) {
	checkCases(t, []checkCase{
		{"an attempt within the drain grace", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 470 * ms})
		}, ""},
		{"an attempt after the drain grace", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 450 * ms})
		}, "drains/sent-after-drain"},
		{"a drain, then a removal: the drain counts", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 400 * ms})
			l.Delivery(&Delivery{State: Removed, AtAgent: 900 * ms, Written: 900 * ms})
		}, "drains/sent-after-drain"},
		{"a drain, then a new incarnation", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.Delivery(&Delivery{State: Up, Incarnation: 2, AtAgent: 900 * ms, Written: 900 * ms})
		}, ""},
		{"a drain of another worker", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{Worker: 1, State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
		}, ""},
		{"a notification of another dispatcher", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{Dispatcher: 1, State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
		}, ""},
		{"a notification of a previous process", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.ProcessEvent(ProcessEvent{At: 900 * ms, Kind: Started})
		}, ""},
		{"an update that was not written, after the propagation deadline", 0, func(l *Ledger, t *Try, a *Attempt) {
			a.First, a.Last, a.Ended = 9000*ms, 9000*ms, 9100*ms
			t.Sent, t.Due, t.Ended = 8990*ms, 12000*ms, 9100*ms
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms})
		}, "drains/sent-after-drain"},
		{"an update that was not written, superseded by a written one", 0, func(l *Ledger, t *Try, a *Attempt) {
			a.First, a.Last, a.Ended = 9000*ms, 9000*ms, 9100*ms
			t.Sent, t.Due, t.Ended = 8990*ms, 12000*ms, 9100*ms
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms})
			l.Delivery(&Delivery{State: Up, Incarnation: 2, AtAgent: 800 * ms, Written: 800 * ms})
		}, ""},
		{"an older update written after a newer one", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.Delivery(&Delivery{State: Up, AtAgent: 200 * ms, Written: 900 * ms})
		}, "drains/sent-after-drain"},
	})
}

// An overload of a worker that is warming up is a violation of SlowStart.
func TestCheck_SlowStart(t *testing.T) {
	checkCases(t, []checkCase{
		{"a worker overloaded while it warms up", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.Overload(Overload{Sent: 3, Allowed: 1}) }, "cold/pushed-over"},
	})
}

// Open requests of a killed dispatcher are excused, those of a crashed one are lost.
func TestCheck_CountsLostAndExcused(t *testing.T) {
	l := NewLedger()
	for i, d := range []int{0, 0, 1} {
		id := string(rune('a' + i))
		l.Try(&Try{ID: id, Dispatcher: d, Sent: 900 * ms, Due: 3000 * ms, Ended: 1000 * ms, Outcome: Closed})
		l.Attempt(&Attempt{ID: id, Dispatcher: d, First: 910 * ms, Last: 910 * ms, End: Dropped})
	}
	l.ProcessEvent(ProcessEvent{Dispatcher: 0, At: 1000 * ms, Kind: Killed})
	l.ProcessEvent(ProcessEvent{Dispatcher: 1, At: 1000 * ms, Kind: Crashed})
	v := Check(l, terms())
	if v.Lost != 1 || v.Excused != 2 || len(v.Crashes) != 1 || v.Count()[Answers] != 1 {
		t.Errorf("lost %d, excused %d, crashes %v, violations %v; want 1 lost, 2 excused, 1 crash, 1 violation of answers", v.Lost, v.Excused, v.Crashes, v.Count())
	}
}
