package config

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"birchfork/dispatch"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// testPlatform has an idempotent class, one that must never run twice, and one whose repeats workers drop.
func testPlatform() Platform {
	return Platform{
		Settings: dispatch.Settings{
			Classes: []dispatch.Class{
				{LatencyObjective: 400 * dispatch.Millisecond, ObjectiveStretch: 1.75, Deadline: 10 * dispatch.Second, PriorityWeight: 5, Idempotency: dispatch.Idempotent, WorkerKind: -1},
				{LatencyObjective: 400 * dispatch.Millisecond, ObjectiveStretch: 2, Deadline: 5 * dispatch.Second, PriorityWeight: 3, Idempotency: dispatch.NonIdempotent, WorkerKind: -1},
				{LatencyObjective: 400 * dispatch.Millisecond, Deadline: 8 * dispatch.Second, PriorityWeight: 1, Idempotency: dispatch.Deduplicated, DedupWindow: 5 * dispatch.Second, WorkerKind: -1},
			},
			Tenants:   make([]dispatch.Tenant, 4),
			GroupSize: 1, Zone: -1, MaxAttempts: 6, CanHedge: true, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2 * dispatch.Second, ReportsStart: true,
			ConnectTimeout: 250 * dispatch.Millisecond, DrainGrace: 500 * dispatch.Millisecond, SlowStartMinFactor: 0.12,
			SlowStartWindow: 24 * dispatch.Second, OverloadMultiple: 2.5, OverloadWindow: dispatch.Second, Tick: dispatch.Millisecond,
		},
		ClassNames:           []string{"journey-search", "ticket-issue", "booking"},
		TenantNames:          []string{"linee-urbane", "bus-provincia", "ferrovia-valle", "navetta-lago"},
		MaxClientConnections: 400, MemoryBytes: 64 << 20,
	}
}

// The sample in deploy is valid, and its values are in force and explained.
func TestDecode_AcceptsSample(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	config, err := Decode("operator.toml", raw, testPlatform())
	if err != nil {
		t.Fatal(err)
	}
	routeOf := func(class, tenant string) *routes.Route {
		return config.Routes.Route(config.Routes.Find(&routes.Request{Class: class, Path: "/" + class + "/x", Tenant: tenant, Method: "POST"}))
	}
	if r := routeOf("journey-search", "navetta-lago"); r.Name != "lake-search" || !r.Limits.NoHedging || r.Limits.MaxAttempts != 2 || r.Admission.Rate != 20 || !r.Admission.RetryBudgeted {
		t.Errorf("lake searches take %+v", r)
	}
	if r := routeOf("ticket-issue", "navetta-lago"); r.Name != "class ticket-issue" || r.Limits.Timeout != 4500*dispatch.Millisecond || r.Admission.Priority != 9 {
		t.Errorf("tickets take %+v", r)
	}
	var out strings.Builder
	if err := config.Explain(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"route lake-search, journey-search", "retry_budget     0.2                                          default",
		"attempts         4                                            class ticket-issue", "second_copies    false                                        route lake-search",
		"timeout          the client's own, 10s at the most            platform"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("explained without %q:\n%s", want, out.String())
		}
	}
}

// invalidFile is an operator's file with an error, and what the error's text contains.
type invalidFile struct{ file, want string }

// routeR returns a file with a route named r, and further lines of it.
func routeR(lines string) string { return "[[route]]\nname = \"r\"\n" + lines }

// invalidFiles returns a file for each kind of fault.
func invalidFiles() []invalidFile {
	return slices.Concat(invalidIdempotency(), invalidAttempts(), invalidRoutes(), invalidLimits())
}

// invalidIdempotency returns a file for each use of hedging and retries that the classes do not allow.
func invalidIdempotency() []invalidFile {
	r := routeR
	return []invalidFile{
		{r("class = \"ticket-issue\"\nsecond_copies = true"), "f:4: route[0].second_copies: ticket-issue, which goes by route r, must never run twice"},
		{r("second_copies = true"), "f:3: route[0].second_copies: ticket-issue, which goes by route r, must never run twice"},
		{r("path = \"/\"\nsecond_copies = true"), "f:4: route[0].second_copies: ticket-issue"},
		{r("path = \"/t\"\nsecond_copies = true"), "route[0].second_copies: ticket-issue"},
		{r("tenant = \"navetta-lago\"\nsecond_copies = true"), "route[0].second_copies: ticket-issue"},
		{"[default]\nsecond_copies = true", "f:2: default.second_copies: ticket-issue, which goes by rest, must never run twice"},
		{"[[class]]\nname='ticket-issue'\nsecond_copies = true", "f:3: class[0].second_copies: ticket-issue"},
		{"[[tenant]]\nname='navetta-lago'\nsecond_copies = true", "f:3: tenant[0].second_copies: ticket-issue"},
		{"[[class]]\nname='booking'\nsecond_copies = true", "class[0].second_copies: booking"},
		{"[[class]]\nname='ticket-issue'\nhedge_after = '100ms'", "class[0].hedge_after: ticket-issue"},
		{"[[class]]\nname='ticket-issue'\nrepeat = 'any'", "class[0].repeat: ticket-issue, which goes by rest, must never run twice: what may have run is not sent again"},
		{r("repeat = 'any'"), "route[0].repeat: ticket-issue"},
		{"[[class]]\nname='booking'\nrepeat_within = '6s'", "class[0].repeat_within: 6s is past the window of booking, 5s"},
		{"[[class]]\nname='journey-search'\nrepeat_within = '1s'", "class[0].repeat_within: journey-search, which goes by rest, is not keyed"},
	}
}

// invalidAttempts returns a file for each fault in attempts, times and retry budgets.
func invalidAttempts() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[default]\nattempts = 7", "default.attempts: 7 is not from 1 to the platform's 6"},
		{"[default]\nattempts = 0", "default.attempts: 0 is not from 1"},
		{"[[class]]\nname='ticket-issue'\ntimeout = '6s'", "class[0].timeout: 6s is longer than clients of ticket-issue wait, 5s"},
		{r("timeout = '9s'"), "route[0].timeout: 9s is longer than clients of ticket-issue wait, 5s"},
		{"[[class]]\nname='ticket-issue'\nattempt_timeout = '6s'", "class[0].attempt_timeout: 6s is longer than clients"},
		{"[[class]]\nname='ticket-issue'\nhold = '6s'", "class[0].hold: 6s is longer than clients"},
		{"[default]\ntimeout = '200ms'", "default.timeout: 200ms is no longer than a connection to a worker may take, 250ms"},
		{"[default]\nattempt_timeout = '250ms'", "default.attempt_timeout: 250ms is no longer than a connection"},
		{"[default]\ntimeout = '1s'\nattempt_timeout = '2s'", "default.attempt_timeout: 2s is longer than the whole may take, 1s"},
		{"[default]\ntimeout = '1s'\nhold = '2s'", "default.hold: 2s is longer than the whole"},
		{"[default]\nretry_budget = 0.6", "default.retry_budget: 0.6 is not from 0 to 0.5: more repeats than that keep a storm alive"},
		{"[default]\nretry_budget = 0.3\nattempts = 5", "default.retry_budget: 5 attempts for each request and 0.3 repeats"},
		{"[default]\nretry_floor = 3", "default.retry_floor: it goes with retry_budget"},
		{"[default]\nretry_budget = 0.1\nretry_floor = 30\nrate = 20", "default.retry_floor: 30 repeats a second are more than the rate of all, 20"},
	}
}

// invalidRoutes returns a file for each fault in the platform's rules, in routes and in fallbacks.
func invalidRoutes() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[platform]\ndrain_grace = '600ms'", "platform.drain_grace: 600ms is beyond the platform's 500ms"},
		{"[platform]\nwarm_within = '5s'", "platform.warm_within: 5s is less than the platform's 24s"},
		{"[platform]\nfall_multiple = 3.0", "platform.fall_multiple: 3 is not from 1 to the platform's 2.5"},
		{"[platform]\ncold_from = 0.5", "platform.cold_from: 0.5"},
		{r("class = \"tickets\""), "route[0].class: no request can go by this route: the platform has no class \"tickets\"; it has journey-search"},
		{r("tenant = \"x\""), "route[0].tenant: no request can go by this route"},
		{r("method = \"GET\""), "route[0].method: no request can go by this route: jobs come by POST"},
		{r("path = \"ticket\""), "route[0].path: no request can go by this route: a path begins with /"},
		{r("class = \"ticket-issue\"\npath = \"/journey-search/\""), "route[0].path: no request can go by this route: a path begins with the request's class"},
		{r("path = \"/nothing\""), "route[0].path: no request can go by this route"},
		{r("class=\"ticket-issue\"\n") + "[[route]]\nname='s'\ntenant=\"navetta-lago\"", "f:4: route[1]: a request could go by this route and by \"r\", and neither is more exact"},
		{r("class=\"ticket-issue\"\n") + "[[route]]\nname='s'\nclass='ticket-issue'", "route[1]: a request could go by this route"},
		{r("path=\"/ticket-issue/a\"\n") + "[[tenant]]\nname='navetta-lago'\npriority=3", "route[0]: a request could go by this route and by the figures of class ticket-issue, tenant navetta-lago"},
		{r("attempts = 3\nclass='journey-search'\npath='/journey-search/a'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='journey-search'\nattempts=4", "route[0].fallback: r and its fallbacks allow 7 attempts together"},
		{r("class='journey-search'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='ticket-issue'", "route[0].fallback: "},
		{r("fallback='none'"), "route[0].fallback: there is no route \"none\""},
		{r("fallback='r'"), "route[0].fallback: a route cannot fall back on itself"},
		{r("attempts=1\nclass='booking'\npath='/booking/a'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='booking'\nattempts=1\nfallback='r'", "fallbacks go in a circle"},
	}
}

// invalidLimits returns a file for each fault in the limits, and in keys and names.
func invalidLimits() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[total]\nconcurrent = 500", "total.concurrent: 500 are more than the 400 clients' connections"},
		{"[total]\nconcurrent = 0", "total.concurrent: 0 is less than 1"},
		{"[total]\nadaptive = true", "total.adaptive: it lowers total.concurrent, which is missing"},
		{"[total]\nconcurrent = 10\nadaptive = true\nleast = 20", "total.least: 20 is not from 1 to total.concurrent"},
		{"[total]\nkeys = 100000", "total.keys: 100000 keys take about 19 MB, more than an eighth"},
		{"[total]\nconcurrent = 10\n" + r("concurrent = 20"), "route[0].concurrent: 20 are more than total.concurrent, 10"},
		{r("concurrent = 300\npath='/ticket-issue/'") + "\n[[route]]\nname='s'\nconcurrent=300\npath='/booking/'", "route: the routes' concurrent figures add up to 600, more than the 400"},
		{"[default]\nconcurrent = 5\nqueue = 6", "default.queue: 6 are more than concurrent, 5"},
		{"[default]\nrate = -1", "default.rate: -1 is not from 0"},
		{"[default]\nburst = 5", "default.burst: it goes with rate"},
		{"[default]\nrate = 5\nrate_by = 'user'", `default.rate_by: "user" is not one of route, tenant, key`},
		{"[default]\njitter = 0.5", "default.jitter: it spreads backoff, which is missing"},
		{"[default]\nbackoff = '1s'\nbackoff_most = '100ms'", "default.backoff_most: 100ms is less than backoff, 1s"},
		{"[default]\nretry_after = '5s'", "default.retry_after: 5s is more than the platform lets clients be told, 2s"},
		{"[default]\npriority = 10", "default.priority: 10 is not from 0 to 9"},
		{"[default]\nsecnd_copies = true", "f:2: default.secnd_copies: unknown key: did you mean second_copies?"},
		{"[[class]]\nname='ticket'", `class[0].name: the platform has no class "ticket"`},
		{"[[tenant]]\nname='navetta-lago'\nweight=0", "tenant[0].weight: 0 is not above 0"},
		{r("") + "\n" + r("class='booking'"), `route[1].name: "r" stands twice`},
	}
}

// Each error is reported with its line, key and reason.
func TestDecode_RejectsInvalidFile(t *testing.T) {
	for _, c := range invalidFiles() {
		config, err := Decode("f", []byte(c.file), testPlatform())
		if err == nil || config != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\n  gives: %v\n  not: %s", strings.ReplaceAll(c.file, "\n", "; "), err, c.want)
		}
	}
}

// All errors of a file are reported at once.
func TestDecode_NamesAllErrors(t *testing.T) {
	_, err := Decode("f", []byte("[default]\nattempts = 9\nrate = -1\n[platform]\ndrain_grace = '1h'\n[[route]]\nname='r'\nclass='x'\nsecond_copies=true\n"), testPlatform())
	if err == nil || strings.Count(err.Error(), "\n") != 3 {
		t.Errorf("the errors: %v", err)
	}
	if _, err := Load("./nothing.toml", testPlatform()); err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("[[route]]\nname='r'\nfallback='r'\n[[class]]\nname='booking'\nrepeat_within='1s'"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		config, err := Decode("f", raw, testPlatform())
		if (config == nil) == (err == nil) {
			t.Fatalf("plan %v, error %v", config, err)
		}
		var invalid tomlfile.Error
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("an error that is none of the file: %v", err)
		}
		if err == nil {
			for i := range config.Routes.Len() {
				if n := config.Routes.RouteLimits(i, 6).MaxAttempts; n > 6 {
					t.Fatalf("route %d allows %d attempts", i, n)
				}
			}
		}
	})
}
