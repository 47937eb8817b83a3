package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// Whose rate a rate is, in the file.
const (
	byRoute  = "route"
	byTenant = "tenant"
	byKey    = "key"
)

// Bounds on what a file may ask for.
const (
	mostRoutes   = 256
	mostTimes    = time.Hour
	mostBudget   = 0.5
	bytesOfKey   = 200 // a remembered rate takes about so much
	bytesOfOpen  = 24 << 10
	keysShare    = 8 // one part in so many of the memory may hold keys
	openShare    = 2 // and one for what is open
	defaultKeys  = 10_000
	defaultLeast = 8
)

// checker turns a file into a plan and names what is wrong with it.
type checker struct {
	doc  *tomlfile.Doc
	file *file
	p    Platform
	out  *Plan
}

func (c *checker) fault(key, format string, v ...any) { c.doc.Fault(key, format, v...) }

// plan checks all and builds the plan; it is only good where no fault was noted.
func (c *checker) plan() *Plan {
	f := c.file
	plan := &Plan{Settings: c.p.Settings}
	c.out = plan
	c.names()
	c.platform(&plan.Settings)
	c.total(&plan.Limits)
	c.alone()
	plan.Group = c.group()
	if len(f.Routes) > mostRoutes {
		c.fault("route", "%d are more than %d", len(f.Routes), mostRoutes)
		return plan
	}
	all := make([]routes.Route, len(f.Routes))
	for i := range f.Routes {
		all[i] = c.route(i)
	}
	rest := routes.Route{Name: restName, Fallback: -1}
	var per []*effective // of the rest, by class
	for k := range c.p.Classes {
		e := c.over(c.defaults(), c.classLayer(c.p.Classes[k]))
		per = append(per, e)
		c.lawful(e, []int{k}, "rest")
		plan.Lines = append(plan.Lines, e.lines(c.p.Classes[k]+" on no route", &c.p, &c.p.Settings.Classes[k])...)
	}
	table, err := c.table(all, rest, per)
	if err != nil {
		return plan
	}
	plan.Table = table
	c.chains(table)
	plan.Limits.Routes = table.Limits()
	for _, n := range c.p.Tenants {
		t := admission.Tenant{Name: n, Weight: 1}
		for _, o := range f.Tenants {
			if o.Name == n && o.Weight > 0 {
				t.Weight = o.Weight
			}
		}
		plan.Limits.Tenants = append(plan.Limits.Tenants, t)
	}
	c.sums(plan)
	return plan
}

// table builds the routes. What matches no route of the operator's goes by a route for its class, so that classes and
// tenants with figures of their own are routes like any other.
func (c *checker) table(all []routes.Route, rest routes.Route, per []*effective) (*routes.Table, error) {
	for k, e := range per {
		if len(e.from) == 0 {
			continue
		}
		m := routes.Match{Class: c.p.Classes[k]}
		if !slices.ContainsFunc(all, func(r routes.Route) bool { return r.Match == m }) {
			all = append(all, c.compile("class "+c.p.Classes[k], m, e, []int{k}))
		}
	}
	for i := range c.file.Tenants {
		t := &c.file.Tenants[i]
		if !c.anyFigure(fmt.Sprintf("tenant[%d]", i)) {
			continue
		}
		for k, n := range c.p.Classes {
			m := routes.Match{Class: n, Tenant: t.Name}
			e := c.over(c.defaults(), c.classLayer(n), layer{fmt.Sprintf("tenant[%d]", i), "tenant " + t.Name, &t.Figures})
			c.lawful(e, []int{k}, "tenant "+t.Name)
			if !slices.ContainsFunc(all, func(r routes.Route) bool { return r.Match == m }) {
				all = append(all, c.compile("class "+n+", tenant "+t.Name, m, e, []int{k}))
			}
		}
	}
	table, err := routes.New(all, rest)
	if err == nil {
		return table, nil
	}
	for _, clash := range clashes(err) {
		if clash.B < len(c.file.Routes) {
			c.fault(fmt.Sprintf("route[%d]", clash.B), "a request could go by this route and by %q, and neither is more exact: give one a match of the other's besides, or write a third for what both match", all[clash.A].Name)
		} else if clash.A < len(c.file.Routes) {
			c.fault(fmt.Sprintf("route[%d]", clash.A), "a request could go by this route and by the figures of %s, and neither is more exact: name the class and the tenant in the route", all[clash.B].Name)
		}
	}
	return nil, err
}

func clashes(err error) (out []routes.Clash) {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, e := range joined.Unwrap() {
			var clash routes.Clash
			if errors.As(e, &clash) {
				out = append(out, clash)
			}
		}
	}
	return out
}

func (c *checker) defaults() layer { return layer{"default", "default", &c.file.Default} }

// classLayer is what the file says of a class.
func (c *checker) classLayer(name string) layer {
	for i := range c.file.Classes {
		if c.file.Classes[i].Name == name {
			return layer{fmt.Sprintf("class[%d]", i), "class " + name, &c.file.Classes[i].Figures}
		}
	}
	return layer{}
}

func (c *checker) tenantLayer(name string) layer {
	for i := range c.file.Tenants {
		if c.file.Tenants[i].Name == name {
			return layer{fmt.Sprintf("tenant[%d]", i), "tenant " + name, &c.file.Tenants[i].Figures}
		}
	}
	return layer{}
}

func (c *checker) anyFigure(key string) bool {
	return slices.ContainsFunc(figureKeys, func(k string) bool { return c.doc.Has(key + "." + k) })
}

// names checks that classes and tenants are the platform's, and that each stands once.
func (c *checker) names() {
	seen := map[string]bool{}
	one := func(kind string, i int, name string, known []string) {
		key := fmt.Sprintf("%s[%d].name", kind, i)
		switch {
		case name == "":
			c.fault(key, "it has no name")
		case seen[kind+" "+name]:
			c.fault(key, "%q stands twice", name)
		case known != nil && !slices.Contains(known, name):
			c.fault(key, "the platform has no %s %q; it has %s", kind, name, quoted(known))
		}
		seen[kind+" "+name] = true
	}
	for i, x := range c.file.Classes {
		one("class", i, x.Name, append([]string{}, c.p.Classes...))
	}
	for i, x := range c.file.Tenants {
		one("tenant", i, x.Name, append([]string{}, c.p.Tenants...))
		if c.doc.Has(fmt.Sprintf("tenant[%d].weight", i)) && !(x.Weight > 0 && x.Weight <= 1e6) {
			c.fault(fmt.Sprintf("tenant[%d].weight", i), "%v is not above 0", x.Weight)
		}
	}
	for i, x := range c.file.Routes {
		one("route", i, x.Name, nil)
		if x.Name == restName {
			c.fault(fmt.Sprintf("route[%d].name", i), "%q is what goes by no route: take another name", restName)
		}
	}
}

// platform narrows the rules' figures and refuses to widen them.
func (c *checker) platform(s *dispatch.Settings) {
	f := &c.file.Platform
	if c.doc.Has("platform.drain_grace") {
		if v := routes.Micro(f.DrainGrace); v > s.DrainGrace || v < 0 {
			c.fault("platform.drain_grace", "%v is beyond the platform's %v: nothing may be sent to a draining worker later than that", f.DrainGrace, micro(s.DrainGrace))
		} else {
			s.DrainGrace = v
		}
	}
	if c.doc.Has("platform.warm_within") {
		if v := routes.Micro(f.WarmWithin); v < s.WarmWithin || f.WarmWithin > mostTimes {
			c.fault("platform.warm_within", "%v is less than the platform's %v, or more than %v: a cold worker would be taken for a warm one", f.WarmWithin, micro(s.WarmWithin), mostTimes)
		} else {
			s.WarmWithin = v
		}
	}
	if c.doc.Has("platform.fall_multiple") {
		if !(f.FallMultiple >= 1 && f.FallMultiple <= s.FallMultiple) {
			c.fault("platform.fall_multiple", "%v is not from 1 to the platform's %v: a cold worker would be pushed over", f.FallMultiple, s.FallMultiple)
		} else {
			s.FallMultiple = f.FallMultiple
		}
	}
	if c.doc.Has("platform.cold_from") {
		if !(f.ColdFrom > 0 && f.ColdFrom <= s.ColdFrom) {
			c.fault("platform.cold_from", "%v is not above 0 and at most the platform's %v: a cold worker would be pushed over", f.ColdFrom, s.ColdFrom)
		} else {
			s.ColdFrom = f.ColdFrom
		}
	}
}

// total checks what holds over all routes.
func (c *checker) total(l *admission.Config) {
	t := &c.file.Total
	l.Open, l.Adaptive, l.Least, l.Keys = t.Concurrent, t.Adaptive, t.Least, t.Keys
	if c.doc.Has("total.concurrent") && t.Concurrent < 1 {
		c.fault("total.concurrent", "%d is less than 1: nothing could be taken; leave the key out for no limit", t.Concurrent)
	}
	if t.Concurrent > c.p.Clients && c.p.Clients > 0 {
		c.fault("total.concurrent", "%d are more than the %d clients' connections that the descriptors leave room for", t.Concurrent, c.p.Clients)
	}
	if c.p.Memory > 0 && int64(t.Concurrent) > c.p.Memory/openShare/bytesOfOpen {
		c.fault("total.concurrent", "%d open requests take up to %d MB, more than half of the %d MB that there are", t.Concurrent, int64(t.Concurrent)*bytesOfOpen>>20, c.p.Memory>>20)
	}
	if t.Adaptive && t.Concurrent == 0 {
		c.fault("total.adaptive", "it lowers total.concurrent, which is missing")
	}
	if !c.doc.Has("total.least") {
		l.Least = min(defaultLeast, max(t.Concurrent, 1))
	} else if t.Least < 1 || t.Concurrent > 0 && t.Least > t.Concurrent {
		c.fault("total.least", "%d is not from 1 to total.concurrent", t.Least)
	} else if !t.Adaptive {
		c.fault("total.least", "it bounds the adaptive limit, which is off: set total.adaptive = true")
	}
	if !c.doc.Has("total.keys") {
		l.Keys = defaultKeys
	} else if t.Keys < 1 {
		c.fault("total.keys", "%d is less than 1", t.Keys)
	} else if c.p.Memory > 0 && int64(t.Keys)*bytesOfKey > c.p.Memory/keysShare {
		c.fault("total.keys", "%d keys take about %d MB, more than an eighth of the %d MB that there are", t.Keys, int64(t.Keys)*bytesOfKey>>20, c.p.Memory>>20)
	}
}

// alone checks each figure by itself, where it stands.
func (c *checker) alone() {
	c.figures("default", &c.file.Default)
	for i := range c.file.Classes {
		c.figures(fmt.Sprintf("class[%d]", i), &c.file.Classes[i].Figures)
	}
	for i := range c.file.Tenants {
		c.figures(fmt.Sprintf("tenant[%d]", i), &c.file.Tenants[i].Figures)
	}
	for i := range c.file.Routes {
		c.figures(fmt.Sprintf("route[%d]", i), &c.file.Routes[i].Figures)
	}
}

func (c *checker) figures(at string, f *Figures) {
	has := func(key string) bool { return c.doc.Has(at + "." + key) }
	for _, t := range []struct {
		key   string
		v     time.Duration
		least time.Duration
	}{
		{"timeout", f.Timeout, time.Millisecond}, {"attempt_timeout", f.AttemptTimeout, time.Millisecond}, {"hold", f.Hold, time.Millisecond},
		{"hedge_after", f.HedgeAfter, 0}, {"repeat_within", f.RepeatWithin, time.Millisecond}, {"backoff", f.Backoff, 0},
		{"backoff_most", f.BackoffMost, 0}, {"retry_after", f.RetryAfter, 0},
	} {
		if has(t.key) && (t.v < t.least || t.v > mostTimes) {
			c.fault(at+"."+t.key, "%v is not from %v to %v", t.v, t.least, mostTimes)
		}
	}
	number := func(key string, v, least, most float64) {
		if has(key) && !(v >= least && v <= most) {
			c.fault(at+"."+key, "%v is not from %v to %v", v, least, most)
		}
	}
	number("jitter", f.Jitter, 0, 1)
	number("rate", f.Rate, 0, 1e9)
	number("burst", float64(f.Burst), 1, 1e6)
	number("concurrent", float64(f.Concurrent), 1, 1e6)
	number("queue", float64(f.Queue), 1, 1e6)
	number("priority", float64(f.Priority), 0, admission.Top)
	number("retry_floor", f.RetryFloor, 0, 1e6)
	if has("retry_budget") && !(f.RetryBudget >= 0 && f.RetryBudget <= mostBudget) {
		c.fault(at+".retry_budget", "%v is not from 0 to %v: more repeats than that keep a storm alive by themselves", f.RetryBudget, mostBudget)
	}
	if has("repeat") && !slices.Contains([]string{RepeatLawful, RepeatUnrun, RepeatAny}, f.Repeat) {
		c.fault(at+".repeat", "%q is not one of %s, %s, %s", f.Repeat, RepeatLawful, RepeatUnrun, RepeatAny)
	}
	if has("rate_by") && !slices.Contains([]string{byRoute, byTenant, byKey}, f.RateBy) {
		c.fault(at+".rate_by", "%q is not one of %s, %s, %s", f.RateBy, byRoute, byTenant, byKey)
	}
}

// route checks one route and compiles it.
func (c *checker) route(i int) routes.Route {
	r, at := &c.file.Routes[i], fmt.Sprintf("route[%d]", i)
	if r.Class != "" && !slices.Contains(c.p.Classes, r.Class) {
		c.fault(at+".class", "no request can go by this route: the platform has no class %q; it has %s", r.Class, quoted(c.p.Classes))
	}
	if r.Tenant != "" && !slices.Contains(c.p.Tenants, r.Tenant) {
		c.fault(at+".tenant", "no request can go by this route: the platform has no tenant %q; it has %s", r.Tenant, quoted(c.p.Tenants))
	}
	if r.Method != "" && r.Method != "POST" {
		c.fault(at+".method", "no request can go by this route: jobs come by POST, not by %q", r.Method)
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		c.fault(at+".path", "no request can go by this route: a path begins with /, and %q does not", r.Path)
	}
	classes := c.reach(r)
	if r.Path != "" && strings.HasPrefix(r.Path, "/") && len(classes) == 0 && (r.Class == "" || slices.Contains(c.p.Classes, r.Class)) {
		c.fault(at+".path", "no request can go by this route: a path begins with the request's class, and %q with none that the route matches", r.Path)
	}
	layers := []layer{c.defaults()}
	if len(classes) == 1 {
		layers = append(layers, c.classLayer(c.p.Classes[classes[0]]))
	}
	if r.Tenant != "" {
		layers = append(layers, c.tenantLayer(r.Tenant))
	}
	layers = append(layers, layer{at, "route " + r.Name, &r.Figures})
	e := c.over(layers...)
	c.lawful(e, classes, "route "+r.Name)
	m := routes.Match{Class: r.Class, Path: r.Path, Tenant: r.Tenant, Method: r.Method}
	out := c.compile(r.Name, m, e, classes)
	if r.Fallback != "" {
		out.Fallback = slices.IndexFunc(c.file.Routes, func(o route) bool { return o.Name == r.Fallback })
		if out.Fallback < 0 {
			c.fault(at+".fallback", "there is no route %q", r.Fallback)
		} else if out.Fallback == i {
			c.fault(at+".fallback", "a route cannot fall back on itself")
		}
	}
	for _, k := range classes {
		c.out.Lines = append(c.out.Lines, e.lines("route "+r.Name+", "+c.p.Classes[k], &c.p, &c.p.Settings.Classes[k])...)
	}
	return out
}

// reach are the classes that a route can get requests of: the first part of a path is the class.
func (c *checker) reach(r *route) (out []int) {
	for k, n := range c.p.Classes {
		if r.Class != "" && r.Class != n {
			continue
		}
		begin := "/" + n
		whole := r.Path == begin || strings.HasPrefix(r.Path, begin+"/") || strings.HasPrefix(r.Path, begin+"?")
		if r.Path == "" || whole || strings.HasPrefix(begin, r.Path) {
			out = append(out, k)
		}
	}
	return out
}

// lawful checks figures in force against the rules of the classes that they hold for. who is named in the message.
func (c *checker) lawful(e *effective, classes []int, who string) {
	s := &c.p.Settings
	connect := time.Duration(s.ConnectTimeout) * time.Microsecond
	for _, key := range []string{"timeout", "attempt_timeout"} {
		v := e.Timeout
		if key == "attempt_timeout" {
			v = e.AttemptTimeout
		}
		if e.set(key) && v > 0 && v <= connect {
			c.once(e.key(key), "%v is no longer than a connection to a worker may take, %v", v, connect)
		}
	}
	if e.set("timeout") && e.set("attempt_timeout") && e.AttemptTimeout > e.Timeout {
		c.once(e.key("attempt_timeout"), "%v is longer than the whole may take, %v", e.AttemptTimeout, e.Timeout)
	}
	if e.set("hold") && e.set("timeout") && e.Hold > e.Timeout {
		c.once(e.key("hold"), "%v is longer than the whole may take, %v", e.Hold, e.Timeout)
	}
	if e.set("attempts") && (e.Attempts < 1 || e.Attempts > s.MaxAttempts) {
		c.once(e.key("attempts"), "%d is not from 1 to the platform's %d", e.Attempts, s.MaxAttempts)
	}
	if e.set("hedge_after") && e.set("second_copies") && !e.SecondCopies {
		c.once(e.key("hedge_after"), "a delay for second copies, which are off")
	}
	if e.SecondCopies && !s.SecondCopies {
		c.once(e.key("second_copies"), "the platform allows no second copies")
	}
	if e.set("backoff_most") && (!e.set("backoff") || e.BackoffMost < e.Backoff) {
		c.once(e.key("backoff_most"), "%v is less than backoff, %v", e.BackoffMost, e.Backoff)
	}
	if e.set("jitter") && !e.set("backoff") {
		c.once(e.key("jitter"), "it spreads backoff, which is missing")
	}
	if e.set("queue") && e.set("concurrent") && e.Queue > e.Concurrent {
		c.once(e.key("queue"), "%d are more than concurrent, %d: those that wait are open too", e.Queue, e.Concurrent)
	}
	if e.set("burst") && !e.set("rate") {
		c.once(e.key("burst"), "it goes with rate, which is missing")
	}
	if e.set("rate_by") && !e.set("rate") {
		c.once(e.key("rate_by"), "it goes with rate, which is missing")
	}
	if e.set("retry_floor") && !e.set("retry_budget") {
		c.once(e.key("retry_floor"), "it goes with retry_budget, which is missing")
	}
	if e.set("retry_floor") && e.set("rate") && e.RetryFloor > e.Rate {
		c.once(e.key("retry_floor"), "%v repeats a second are more than the rate of all, %v: a storm would take the whole rate", e.RetryFloor, e.Rate)
	}
	if e.RetryAfter > 0 && (!s.RetryAfter || e.RetryAfter > time.Duration(s.MaxRetryAfter)*time.Microsecond) {
		c.once(e.key("retry_after"), "%v is more than the platform lets clients be told, %v", e.RetryAfter, micro(s.MaxRetryAfter))
	}
	if a := max(e.Attempts, 1); e.set("attempts") && e.set("retry_budget") && float64(a)*(1+e.RetryBudget) > float64(s.MaxAttempts) {
		c.once(e.key("retry_budget"), "%d attempts for each request and %v repeats of it by its client come to %.1f, over the platform's %d: a storm would multiply", a, e.RetryBudget, float64(a)*(1+e.RetryBudget), s.MaxAttempts)
	}
	for _, k := range classes {
		c.lawfulFor(e, k, who)
	}
}

// lawfulFor checks figures against one class.
func (c *checker) lawfulFor(e *effective, k int, who string) {
	class, name := &c.p.Settings.Classes[k], c.p.Classes[k]
	patience := time.Duration(class.Deadline) * time.Microsecond
	if e.Timeout > patience {
		c.once(e.key("timeout"), "%v is longer than clients of %s wait, %v", e.Timeout, name, patience)
	}
	if e.AttemptTimeout > patience {
		c.once(e.key("attempt_timeout"), "%v is longer than clients of %s wait, %v", e.AttemptTimeout, name, patience)
	}
	if e.Hold > patience {
		c.once(e.key("hold"), "%v is longer than clients of %s wait, %v", e.Hold, name, patience)
	}
	if e.SecondCopies && class.Effect != dispatch.Safe {
		c.once(e.key("second_copies"), "%s, which goes by %s, %s: it gets no second copies; name the class in the route, or leave the key to routes of safe classes", name, who, effectWord(class.Effect))
	}
	if e.set("hedge_after") && class.Effect != dispatch.Safe && !(e.set("second_copies") && !e.SecondCopies) {
		c.once(e.key("hedge_after"), "%s, which goes by %s, %s: it gets no second copies, so there is nothing to delay", name, who, effectWord(class.Effect))
	}
	if e.Repeat == RepeatAny && class.Effect != dispatch.Safe {
		c.once(e.key("repeat"), "%s, which goes by %s, %s: what may have run is not sent again; write %q or %q", name, who, effectWord(class.Effect), RepeatLawful, RepeatUnrun)
	}
	if e.set("repeat_within") && class.Effect != dispatch.Keyed && len(e.from) > 0 {
		c.once(e.key("repeat_within"), "%s, which goes by %s, is not keyed: there is no window of repeats", name, who)
	}
	if window := time.Duration(class.Window) * time.Microsecond; class.Effect == dispatch.Keyed && e.RepeatWithin > window {
		c.once(e.key("repeat_within"), "%v is past the window of %s, %v, in which workers drop repeats", e.RepeatWithin, name, window)
	}
}

// once notes a fault of a key unless it has been noted in the same words.
func (c *checker) once(key, format string, v ...any) {
	what := fmt.Sprintf(format, v...)
	for _, f := range c.doc.Faults() {
		if f.Key == key && f.What == what {
			return
		}
	}
	c.fault(key, "%s", what)
}

// compile turns figures in force into a route.
func (c *checker) compile(name string, m routes.Match, e *effective, classes []int) routes.Route {
	r := routes.Route{Name: name, Match: m, Fallback: -1}
	r.Narrow = dispatch.Narrow{
		Within: routes.Micro(e.Timeout), Wait: routes.Micro(e.AttemptTimeout), Hold: routes.Micro(e.Hold), Attempts: e.Attempts,
		Single: e.set("second_copies") && !e.SecondCopies, Race: routes.Micro(e.HedgeAfter), Strict: e.Repeat == RepeatUnrun,
		Window: routes.Micro(e.RepeatWithin), Pause: routes.Micro(e.Backoff), MaxPause: routes.Micro(e.BackoffMost), Jitter: e.Jitter,
	}
	r.Limit = admission.Route{
		Name: name, Limited: e.set("rate"), Rate: e.Rate, Burst: max(e.Burst, 1), Concurrent: e.Concurrent, Queue: e.Queue, Budgeted: e.set("retry_budget"),
		Budget: e.RetryBudget, Floor: e.RetryFloor, Priority: e.Priority, ComeBack: e.RetryAfter,
	}
	if !e.set("priority") {
		r.Limit.Priority = admission.Top
	}
	r.Limit.By = map[string]admission.By{byTenant: admission.ByTenant, byKey: admission.ByKey}[e.RateBy]
	return r
}

// chains checks what routes allow together with those that they fall back on.
func (c *checker) chains(t *routes.Table) {
	most := c.p.Settings.MaxAttempts
	for i := range c.file.Routes {
		chain := t.Chain(i)
		if len(chain) == 1 {
			continue
		}
		key := fmt.Sprintf("route[%d].fallback", i)
		if last := t.Route(chain[len(chain)-1]); last.Fallback >= 0 {
			c.fault(key, "the fallbacks go in a circle, or there are too many one after the other")
			continue
		}
		if n := t.Narrow(i, most).Attempts; n > most {
			c.fault(key, "%s and its fallbacks allow %d attempts together, more than the platform's %d", t.Route(i).Name, n, most)
		}
		for _, k := range chain[1:] {
			for _, own := range c.reach(&c.file.Routes[i]) {
				if !slices.Contains(c.reach(&c.file.Routes[k]), own) {
					c.fault(key, "requests of %s would go on by %q, which does not match them", c.p.Classes[own], t.Route(k).Name)
				}
			}
		}
	}
}

// sums checks what the limits add up to.
func (c *checker) sums(p *Plan) {
	if p.Limits.Open > 0 {
		for i := range c.file.Routes {
			if n := p.Table.Route(i).Limit.Concurrent; n > p.Limits.Open {
				c.fault(fmt.Sprintf("route[%d].concurrent", i), "%d are more than total.concurrent, %d", n, p.Limits.Open)
			}
		}
		return
	}
	sum := 0
	for i := range p.Table.Len() {
		sum += p.Table.Route(i).Limit.Concurrent
	}
	if sum > c.p.Clients && c.p.Clients > 0 {
		c.fault("route", "the routes' concurrent figures add up to %d, more than the %d clients' connections that the descriptors leave room for: lower them, or set total.concurrent", sum, c.p.Clients)
	}
}
