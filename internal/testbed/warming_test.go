package testbed

import (
	"testing"
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Guards against a burst being passed on to workers that are warming up (incident 6b9c04). Each dispatcher sent them a share of the arrivals,
// which assumed that no more arrives than the fleet can run. In rolling replacements with 177 and with 191 dispatchers, workers that
// had started 7.7 s and 7.2 s before were sent more than their budget and failed. Late lists and workers taken for warmed up were
// ruled out: all dispatchers had had the workers on their lists for 5 s. With that fault this scenario breaks the rule if there is
// a burst, at ages of 6 to 10 s, with one restart or three, with or without client retries and their marks. Without the burst it
// keeps the rule.
func TestRun_WarmingWorkersKeepBudgetInBurst(t *testing.T) {
	r, err := Run(t.Context(), Options{Scenario: burstOnReplacements(t), Seed: 1, Policy: PolicyRules, Launch: launchTest(PolicyRules)})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("%s at %v: %v", v.Rule, v.At, v.Lines)
	}
	if r.Broken() || r.Rules[invariant.SlowStart] > 0 {
		t.Errorf("violations by rule %v, crashes %v, want none", r.Rules, r.CrashNotes)
	}
	if want := len(burstOnReplacements(t).Generate(1, false).Requests); r.Requests != want || r.Served < want/2 {
		t.Errorf("%d of %d requests, %d served; want all of them, at least half served", r.Requests, want, r.Served)
	}
}

// burstOnReplacements returns a scenario that reproduces the incident.
func burstOnReplacements(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Decode("burst-on-replacements", []byte(`
name = "burst-on-replacements"
about = "Workers are replaced, dispatchers restarted and reloaded, and a burst comes on the replacements."
for = "15s"
rate = 135.0
dispatchers = 60
zones = ["one"]

[terms]
cold_from = 0.12
warm_within = "24s"

[list]
lag = "300ms"
jitter = "200ms"

[clients]
retries = 3
retry_wait = "100ms"
mark = false

[[class]]
name = "search"
effect = "safe"
share = 1
work = "200ms"
spread = 0.35
aim = "400ms"
stretch = 2.0
patience = "5s"
late_worth = 0.3

[[workers]]
kind = "a"
count = 18
cores = 2
speed = [1.0, 1.0]

[[fault]]
kind = "worker-kill"
at = "1s"
for = "1s"
workers = 3

[[fault]]
kind = "dispatcher-term"
at = "3s"
dispatchers = [0, 1, 2]

[[fault]]
kind = "dispatcher-hup"
at = "5s"

[[fault]]
kind = "jump"
at = "7s"
for = "6s"
factor = 2.6
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.For != 15*time.Second {
		t.Fatalf("the scenario lasts %v, want 15s", s.For)
	}
	return s
}
