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

// testPlatform has an idempotent class, a non-idempotent one, and one whose retries workers deduplicate.
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

// The sample file in deploy is valid, and its values are in force and shown by Explain.
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
		t.Errorf("route of lake searches: %+v", r)
	}
	if r := routeOf("ticket-issue", "navetta-lago"); r.Name != "class ticket-issue" || r.Limits.Timeout != 4500*dispatch.Millisecond || r.Admission.Priority != 9 {
		t.Errorf("route of tickets: %+v", r)
	}
	var out strings.Builder
	if err := config.Explain(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"route lake-search, journey-search", "retry_budget     0.2                                          default",
		"attempts         4                                            class ticket-issue", "second_copies    false                                        route lake-search",
		"timeout          the client's own, 10s at the most            platform"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("explanation lacks %q:\n%s", want, out.String())
		}
	}
}

// invalidFile is an operator's file with an error, and a part of the error's text.
type invalidFile struct{ file, want string }

// routeR returns a file with a route named r that has further lines.
func routeR(lines string) string { return "[[route]]\nname = \"r\"\n" + lines }

// invalidFiles returns a file for each kind of error.
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
		{"[[class]]\nname='ticket-issue'\nrepeat = 'any'", "class[0].repeat: ticket-issue, which goes by rest, must never run twice: attempts that may have run are not retried"},
		{r("repeat = 'any'"), "route[0].repeat: ticket-issue"},
		{"[[class]]\nname='booking'\nrepeat_within = '6s'", "class[0].repeat_within: invalid value 6s: must be at most the deduplication window of class booking, 5s"},
		{"[[class]]\nname='journey-search'\nrepeat_within = '1s'", "class[0].repeat_within: journey-search, which goes by rest, is not keyed"},
	}
}

// invalidAttempts returns a file for each error in attempts, timeouts and retry budgets.
func invalidAttempts() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[default]\nattempts = 7", "default.attempts: invalid value 7: must be between 1 and the platform's limit of 6"},
		{"[default]\nattempts = 0", "default.attempts: invalid value 0: must be between 1"},
		{"[[class]]\nname='ticket-issue'\ntimeout = '6s'", "class[0].timeout: invalid value 6s: must be at most the deadline of class ticket-issue, 5s"},
		{r("timeout = '9s'"), "route[0].timeout: invalid value 9s: must be at most the deadline of class ticket-issue, 5s"},
		{"[[class]]\nname='ticket-issue'\nattempt_timeout = '6s'", "class[0].attempt_timeout: invalid value 6s: must be at most the deadline"},
		{"[[class]]\nname='ticket-issue'\nhold = '6s'", "class[0].hold: invalid value 6s: must be at most the deadline"},
		{"[default]\ntimeout = '200ms'", "default.timeout: invalid value 200ms: must be longer than the connect timeout, 250ms"},
		{"[default]\nattempt_timeout = '250ms'", "default.attempt_timeout: invalid value 250ms: must be longer than the connect timeout"},
		{"[default]\ntimeout = '1s'\nattempt_timeout = '2s'", "default.attempt_timeout: invalid value 2s: must be at most the timeout of the request, 1s"},
		{"[default]\ntimeout = '1s'\nhold = '2s'", "default.hold: invalid value 2s: must be at most the timeout of the request"},
		{"[default]\nretry_budget = 0.6", "default.retry_budget: invalid value 0.6: must be between 0 and 0.5; with a larger budget a retry storm sustains itself"},
		{"[default]\nretry_budget = 0.3\nattempts = 5", "default.retry_budget: 5 attempts per request and 0.3 client retries"},
		{"[default]\nretry_floor = 3", "default.retry_floor: requires retry_budget"},
		{"[default]\nretry_budget = 0.1\nretry_floor = 30\nrate = 20", "default.retry_floor: invalid value 30: must be at most rate, 20"},
	}
}

// invalidRoutes returns a file for each error in the platform's rules, in routes and in fallbacks.
func invalidRoutes() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[platform]\ndrain_grace = '600ms'", "platform.drain_grace: invalid value 600ms: must be between 0s and the platform's 500ms"},
		{"[platform]\nwarm_within = '5s'", "platform.warm_within: invalid value 5s: must be between the platform's 24s"},
		{"[platform]\nfall_multiple = 3.0", "platform.fall_multiple: invalid value 3: must be between 1 and the platform's 2.5"},
		{"[platform]\ncold_from = 0.5", "platform.cold_from: invalid value 0.5"},
		{r("class = \"tickets\""), "route[0].class: no request can match this route: unknown class \"tickets\"; the platform has journey-search"},
		{r("tenant = \"x\""), "route[0].tenant: no request can match this route"},
		{r("method = \"GET\""), "route[0].method: no request can match this route: requests have the method POST"},
		{r("path = \"ticket\""), "route[0].path: no request can match this route: paths begin with /"},
		{r("class = \"ticket-issue\"\npath = \"/journey-search/\""), "route[0].path: no request can match this route: paths begin with the request's class"},
		{r("path = \"/nothing\""), "route[0].path: no request can match this route"},
		{r("class=\"ticket-issue\"\n") + "[[route]]\nname='s'\ntenant=\"navetta-lago\"", "f:4: route[1]: a request could match both this route and \"r\", and neither is more specific"},
		{r("class=\"ticket-issue\"\n") + "[[route]]\nname='s'\nclass='ticket-issue'", "route[1]: a request could match both this route"},
		{r("path=\"/ticket-issue/a\"\n") + "[[tenant]]\nname='navetta-lago'\npriority=3", "route[0]: a request could match both this route and the limits of class ticket-issue, tenant navetta-lago"},
		{r("attempts = 3\nclass='journey-search'\npath='/journey-search/a'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='journey-search'\nattempts=4", "route[0].fallback: r and its fallbacks allow 7 attempts together"},
		{r("class='journey-search'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='ticket-issue'", "route[0].fallback: "},
		{r("fallback='none'"), "route[0].fallback: unknown route \"none\""},
		{r("fallback='r'"), "route[0].fallback: a route cannot fall back to itself"},
		{r("attempts=1\nclass='booking'\npath='/booking/a'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='booking'\nattempts=1\nfallback='r'", "fallbacks form a cycle"},
	}
}

// invalidLimits returns a file for each error in limits, keys and names.
func invalidLimits() []invalidFile {
	r := routeR
	return []invalidFile{
		{"[total]\nconcurrent = 500", "total.concurrent: invalid value 500: must be at most 400, the number of client connections"},
		{"[total]\nconcurrent = 0", "total.concurrent: invalid value 0: must be at least 1"},
		{"[total]\nadaptive = true", "total.adaptive: requires total.concurrent, the limit that it lowers"},
		{"[total]\nconcurrent = 10\nadaptive = true\nleast = 20", "total.least: invalid value 20: must be between 1 and total.concurrent"},
		{"[total]\nkeys = 100000", "total.keys: 100000 keys take about 19 MB, more than an eighth"},
		{"[total]\nconcurrent = 10\n" + r("concurrent = 20"), "route[0].concurrent: invalid value 20: must be at most total.concurrent, 10"},
		{r("concurrent = 300\npath='/ticket-issue/'") + "\n[[route]]\nname='s'\nconcurrent=300\npath='/booking/'", "route: the concurrent limits of the routes add up to 600, more than the 400"},
		{"[default]\nconcurrent = 5\nqueue = 6", "default.queue: invalid value 6: must be at most concurrent, 5"},
		{"[default]\nrate = -1", "default.rate: invalid value -1: must be between 0"},
		{"[default]\nburst = 5", "default.burst: requires rate"},
		{"[default]\nrate = 5\nrate_by = 'user'", `default.rate_by: invalid value "user": must be one of route, tenant, key`},
		{"[default]\njitter = 0.5", "default.jitter: requires backoff, which is missing"},
		{"[default]\nbackoff = '1s'\nbackoff_most = '100ms'", "default.backoff_most: invalid value 100ms: must be at least backoff, 1s, and backoff must be set"},
		{"[default]\nretry_after = '5s'", "default.retry_after: invalid value 5s: must be at most 2s, the longest Retry-After that the platform allows"},
		{"[default]\npriority = 10", "default.priority: invalid value 10: must be between 0 and 9"},
		{"[default]\nsecnd_copies = true", "f:2: default.secnd_copies: unknown key: did you mean second_copies?"},
		{"[[class]]\nname='ticket'", `class[0].name: unknown class "ticket"; the platform has`},
		{"[[tenant]]\nname='navetta-lago'\nweight=0", "tenant[0].weight: invalid value 0: must be greater than 0"},
		{r("") + "\n" + r("class='booking'"), `route[1].name: duplicate name "r"`},
	}
}

// Each error is reported with its line, key and reason.
func TestDecode_RejectsInvalidFile(t *testing.T) {
	for _, c := range invalidFiles() {
		config, err := Decode("f", []byte(c.file), testPlatform())
		if err == nil || config != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\n  got error: %v\n  want: %s", strings.ReplaceAll(c.file, "\n", "; "), err, c.want)
		}
	}
}

// All errors of a file are reported at once, one per line. The error for a missing file wraps os.ErrNotExist.
func TestDecode_NamesAllErrors(t *testing.T) {
	_, err := Decode("f", []byte("[default]\nattempts = 9\nrate = -1\n[platform]\ndrain_grace = '1h'\n[[route]]\nname='r'\nclass='x'\nsecond_copies=true\n"), testPlatform())
	if err == nil || strings.Count(err.Error(), "\n") != 3 {
		t.Errorf("errors: %v, want 4 lines", err)
	}
	if _, err := Load("./nothing.toml", testPlatform()); err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v, want %v", err, os.ErrNotExist)
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
			t.Fatalf("configuration %v, error %v; want either a configuration or an error", config, err)
		}
		var invalid tomlfile.Error
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("error %v, want a tomlfile.Error", err)
		}
		if err == nil {
			for i := range config.Routes.Len() {
				if n := config.Routes.RouteLimits(i, 6).MaxAttempts; n > 6 {
					t.Fatalf("route %d allows %d attempts, want at most 6", i, n)
				}
			}
		}
	})
}
