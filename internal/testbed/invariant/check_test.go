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

// served returns a try that was served, with its one attempt.
func served(class int) (*Try, *Attempt) {
	t := &Try{ID: "a", Class: class, Sent: 1000 * ms, Due: 3000 * ms, Ended: 1200 * ms, Outcome: Served, Status: 200, Result: 7}
	return t, &Attempt{ID: "a", First: 1010 * ms, Last: 1010 * ms, Ended: 1190 * ms, End: Done, Ran: true, Result: 7}
}

// again returns a second attempt, at a worker and time.
func again(worker int, at time.Duration) *Attempt {
	return &Attempt{ID: "a", Worker: worker, First: at, Last: at, Ended: at + 100*ms, End: Done, Ran: true, Result: 7}
}

// checkCase is a record of a run with the violations that the check finds in it.
type checkCase struct {
	name   string
	class  int
	change func(l *Ledger, t *Try, a *Attempt) // of a served try and its attempt
	want   string                              // rule/kind, several with spaces between; empty: none
}

func checkCases(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger()
			try, a := served(c.class)
			l.Try(try)
			l.Attempt(a)
			c.change(l, try, a)
			verdict := Check(l, terms())
			got := make([]string, 0, len(verdict.Violations))
			for _, v := range verdict.Violations {
				got = append(got, v.Rule+"/"+v.Kind)
				if len(v.Lines) == 0 || !slices.Contains(Rules, v.Rule) || !strings.Contains(v.String(), v.Lines[0]) {
					t.Errorf("a violation without proof: %+v", v)
				}
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("found %q, not %q", strings.Join(got, " "), c.want)
			}
		})
	}
}

// Each violation of Answers is named, and what comes close to one is none.
func TestCheck_Answers(t *testing.T) {
	checkCases(t, []checkCase{
		{"a served request", 1, func(*Ledger, *Try, *Attempt) {}, ""},
		{"an answer in the slack", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Ended = t.Due + 50*ms }, ""},
		{"a late answer", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Ended = t.Due + 51*ms }, "answers/late"},
		{"a late refusal", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome, t.Ended = Refused, t.Due+60*ms }, "answers/late"},
		{"no answer", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = NoAnswer }, "answers/lost"},
		{"a close after sending on", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = Closed }, "answers/lost"},
		{"a close with nothing sent on", 0, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.ID = Closed, "b" }, "answers/made-up-request"},
		{"a close by a kill of ours", 1, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{At: 1100 * ms, Kind: Killed})
		}, ""},
		{"a close while we killed another", 0, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{Dispatcher: 1, At: 1100 * ms, Kind: Killed})
		}, "answers/lost"},
		{"a close long after a kill", 0, func(l *Ledger, t *Try, _ *Attempt) {
			t.Outcome = Closed
			l.ProcessEvent(ProcessEvent{At: 500 * ms, Kind: Killed})
		}, "answers/lost"},
		{"a client that left", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Outcome = Left }, ""},
		{"another result", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.Result = 8 }, "answers/made-up-answer"},
		{"the result of an attempt that failed", 0, func(_ *Ledger, _ *Try, a *Attempt) { a.End = Errored }, "answers/made-up-answer"},
		{"two answers", 0, func(_ *Ledger, t *Try, _ *Attempt) { t.AnsweredTwice = true }, "answers/answered-twice"},
		{"a send after the answer", 0, func(l *Ledger, t *Try, _ *Attempt) { l.Attempt(again(1, t.Ended+60*ms)) }, "answers/sent-after-final"},
		{"a send that crosses the answer", 0, func(l *Ledger, t *Try, _ *Attempt) { l.Attempt(again(1, t.Ended+40*ms)) }, ""},
		{"another body", 0, func(_ *Ledger, _ *Try, a *Attempt) { a.Changed = "shorter" }, "answers/changed"},
		{"what no worker can read", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.ProtocolFault(ProtocolFault{What: "junk"}) }, "answers/nonsense"},
	})
}

// Each violation of Effects is named, and what comes close to one is none.
func TestCheck_Effects(t *testing.T) {
	checkCases(t, []checkCase{
		{"a safe one twice", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(again(1, 1100*ms)) }, ""},
		{"a safe one too often", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			for i := range 3 {
				l.Attempt(again(1, 1100*ms+time.Duration(i)))
			}
		}, "effects/too-many-attempts"},
		{"a never-twice one twice", 1, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(again(1, 1100*ms)) }, "effects/sent-again effects/ran-twice"},
		{"after it was turned away", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Rejected, false, 1050*ms
			l.Attempt(again(1, 1100*ms))
		}, ""},
		{"before it was turned away", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Returned, false, 1150*ms
			l.Attempt(again(1, 1100*ms))
		}, "effects/sent-again"},
		{"after a failure", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ended = Errored, 1050*ms
			l.Attempt(again(1, 1100*ms))
		}, "effects/sent-again effects/ran-twice"},
		{"after a cancel in the queue", 1, func(l *Ledger, _ *Try, a *Attempt) {
			a.End, a.Ran, a.Ended = Dropped, false, 1050*ms
			l.Attempt(again(1, 1100*ms))
		}, "effects/sent-again"},
		{"a refusal of what ran", 1, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, "effects/refused-what-may-have-run"},
		{"a refusal of what was handed back", 1, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End, a.Ran = Refused, Returned, false }, ""},
		{"a refusal of a safe one that ran", 0, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, ""},
		{"a keyed one within its cell", 2, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(again(1, 1100*ms)) }, ""},
		{"a keyed one outside its cell", 2, func(l *Ledger, _ *Try, _ *Attempt) { l.Attempt(again(2, 1100*ms)) }, "effects/sent-again effects/ran-twice"},
		{"a keyed one past its window", 2, func(l *Ledger, t *Try, _ *Attempt) { t.Ended = 2500 * ms; l.Attempt(again(1, 2200*ms)) }, "effects/sent-again effects/ran-twice"},
		{"a refusal of a keyed one that all drop", 3, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, ""},
		{"a refusal of a keyed one that a cell drops", 2, func(_ *Ledger, t *Try, a *Attempt) { t.Outcome, a.End = Refused, Errored }, "effects/refused-what-may-have-run"},
	})
}

// Each violation of Drains is named, and what comes close to one is none.
func TestCheck_Drains(t *testing.T) {
	checkCases(t, []checkCase{
		{"a send within the grace", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 470 * ms})
		}, ""},
		{"a send past the grace", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 450 * ms})
		}, "drains/sent-after-drain"},
		{"a drain, then its end: the first counts", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 400 * ms, Written: 400 * ms})
			l.Delivery(&Delivery{State: Removed, AtAgent: 900 * ms, Written: 900 * ms})
		}, "drains/sent-after-drain"},
		{"a drain, then back", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.Delivery(&Delivery{State: Up, Incarnation: 2, AtAgent: 900 * ms, Written: 900 * ms})
		}, ""},
		{"another worker's drain", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{Worker: 1, State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
		}, ""},
		{"another dispatcher's news", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{Dispatcher: 1, State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
		}, ""},
		{"news that a process before was told", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.ProcessEvent(ProcessEvent{At: 900 * ms, Kind: Started})
		}, ""},
		{"news that nobody took counts as told later", 0, func(l *Ledger, t *Try, a *Attempt) {
			a.First, a.Last, a.Ended = 9000*ms, 9000*ms, 9100*ms
			t.Sent, t.Due, t.Ended = 8990*ms, 12000*ms, 9100*ms
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms})
		}, "drains/sent-after-drain"},
		{"news that nobody took, and newer that came", 0, func(l *Ledger, t *Try, a *Attempt) {
			a.First, a.Last, a.Ended = 9000*ms, 9000*ms, 9100*ms
			t.Sent, t.Due, t.Ended = 8990*ms, 12000*ms, 9100*ms
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms})
			l.Delivery(&Delivery{State: Up, Incarnation: 2, AtAgent: 800 * ms, Written: 800 * ms})
		}, ""},
		{"an older word written later than a newer one", 0, func(l *Ledger, _ *Try, _ *Attempt) {
			l.Delivery(&Delivery{State: Draining, AtAgent: 300 * ms, Written: 300 * ms})
			l.Delivery(&Delivery{State: Up, AtAgent: 200 * ms, Written: 900 * ms})
		}, "drains/sent-after-drain"},
	})
}

// An overload of a warming worker is a violation of SlowStart.
func TestCheck_SlowStart(t *testing.T) {
	checkCases(t, []checkCase{
		{"a cold worker pushed over", 0, func(l *Ledger, _ *Try, _ *Attempt) { l.Overload(Overload{Sent: 3, Allowed: 1}) }, "cold/pushed-over"},
	})
}

// What a killed dispatcher had open is excused, what another had is lost.
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
		t.Errorf("lost %d, excused %d, crashes %v, %v", v.Lost, v.Excused, v.Crashes, v.Count())
	}
}
