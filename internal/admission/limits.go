// Package admission decides on admission: which request a dispatcher takes at all, before the decision module decides on
// workers, repeats and refusals. Rates, concurrency by route, retry budgets, shares of tenants while short, and a limit on
// all that is open which follows measured service.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller hands in the time, asks for each request,
// and gives each slot back once. The same configuration and calls give the same answers. A Gate is for one goroutine at a
// time.
package admission

import (
	"math"
	"time"
)

// Reason says why a request is not taken.
type Reason uint8

// The reasons. Each has a counter of its own.
const (
	Admitted   Reason = iota
	Rate              // the route's rate, or its caller's
	Concurrent        // the route has as many open as it may
	Budget            // repeats beyond the route's budget
	Share             // its tenant has its share while all is short
	Priority          // what is left is kept for routes that come first
	Open              // as many are open as may be
	Queue             // as many of the route wait for a worker as may
	Reasons           // how many there are
)

var reasonNames = [Reasons]string{"admitted", "rate", "concurrent", "retry_budget", "tenant_share", "priority", "open", "queue"}

func (r Reason) String() string { return reasonNames[min(r, Reasons-1)] }

// By says whose rate a route's rate is.
type By uint8

// Whose rate it is.
const (
	ByRoute  By = iota // of all that comes on the route
	ByTenant           // of each tenant
	ByKey              // of each key
)

// Top is the highest priority.
const Top = 9

// Route is what one route allows. Zero values allow everything.
type Route struct {
	Name       string
	Limited    bool    // Rate counts; a rate of 0 lets nothing through
	Rate       float64 // requests a second
	Burst      int     // requests that may come at once, from 1
	By         By
	Concurrent int  // requests open at a time; 0: no limit
	Queue      int  // of them so many that no worker has been sent yet; 0: no limit
	Budgeted   bool // Budget and Floor count
	Budget     float64
	Floor      float64       // repeats a second that are allowed whatever else comes
	Priority   int           // 0 to Top
	ComeBack   time.Duration // the least advice on when to come back
}

// Tenant is a customer's part while short.
type Tenant struct {
	Name   string
	Weight float64 // against the other active tenants' weights
}

// Config is all that a Gate is made of.
type Config struct {
	Routes   []Route
	Tenants  []Tenant
	Open     int // requests open at a time over all routes; 0: no limit
	Adaptive bool
	Least    int // the adaptive limit does not go below this
	Keys     int // rates by key or tenant that are remembered; the longest idle are forgotten
}

// How shares and the adaptive limit work.
const (
	shortFrom   = 0.75                   // of the limit, from which tenants keep to their shares
	kept        = 0.3                    // of the limit, that the lowest priority leaves to the highest
	activeFor   = 2 * time.Second        // a tenant counts as active so long after it asked
	window      = 250 * time.Millisecond // the adaptive limit changes once in this
	windowLeast = 5                      // answers in a window that tell anything
	lateMost    = 0.1                    // part of the answers that may be late
	decrease    = 0.9                    // factor on the limit where more are
	increase    = 0.04                   // part of the configured limit that it grows by where none are, and it is used
	budgetMost  = 10 * time.Second       // of a usual stream's budget may be saved up
	maxRate     = 1e9                    // requests a second: above, no limit is felt
	forever     = time.Duration(math.MaxInt64 / 4)
)

// Ask is a request that wants to be taken.
type Ask struct {
	Route  int
	Tenant int // -1: none
	Key    uint64
	Retry  bool // its client repeats an earlier one
}

// Slot is what an admitted request holds until Done. The zero Slot holds nothing.
type Slot struct {
	route  *routeState
	tenant *tenantState
	sent   bool
}

// Held tells whether the slot holds anything.
func (s Slot) Held() bool { return s.route != nil }

// Verdict is the answer to an Ask.
type Verdict struct {
	Reason Reason
	Wait   time.Duration // when to come back, at the least; 0: no word
	Slot   Slot          // to be given back with Done; only where Admitted
}

// End is how an admitted request ended, for the adaptive limit.
type End uint8

// The ends.
const (
	Timely  End = iota // answered within the wanted time
	Late               // answered too late, refused or failed for want of room
	Neither            // tells nothing: its client left, or it was at fault itself
)

type routeState struct {
	Route
	open   int
	queued int     // of them, not sent yet
	bucket bucket  // of ByRoute
	budget float64 // repeats that may come
	at     time.Duration
}

type tenantState struct {
	Tenant
	open  int
	asked time.Duration
	ever  bool
}

// Gate decides on admission.
type Gate struct {
	c       Config
	now     time.Duration
	routes  []*routeState
	tenants []*tenantState
	keys    *keyed
	open    int
	limit   float64 // the adaptive one; Config.Open at the most
	window  time.Duration
	timely  int
	late    int
	used    int // most open within the window
	counts  [Reasons]int64
}

// New returns a Gate that has nothing open.
func New(c Config) *Gate {
	g := &Gate{}
	g.Swap(0, c)
	return g
}

// Swap goes over to another configuration. What is open keeps its slots; a route or tenant that goes by the same name
// keeps its buckets and its count.
func (g *Gate) Swap(now time.Duration, c Config) {
	g.advance(now)
	routes, tenants := map[string]*routeState{}, map[string]*tenantState{}
	for _, r := range g.routes {
		routes[r.Name] = r
	}
	for _, t := range g.tenants {
		tenants[t.Name] = t
	}
	g.routes, g.tenants = nil, nil
	for _, r := range c.Routes {
		s := routes[r.Name]
		if s == nil {
			s = &routeState{budget: r.Floor, at: g.now}
		}
		r.Burst = max(r.Burst, 1)
		s.Route = r
		s.budget = min(s.budget, g.budgetCap(s))
		g.routes = append(g.routes, s)
	}
	for _, t := range c.Tenants {
		s := tenants[t.Name]
		if s == nil {
			s = &tenantState{}
		}
		s.Tenant = t
		g.tenants = append(g.tenants, s)
	}
	before := g.c.Open
	g.c = c
	if g.limit == 0 || before != c.Open || !c.Adaptive {
		g.limit = float64(c.Open)
	}
	if g.keys == nil || g.keys.most != c.Keys {
		g.keys = newKeyed(c.Keys)
	}
}

// advance goes on to a moment. A clock that goes back stands still here until it is past again.
func (g *Gate) advance(now time.Duration) { g.now = max(g.now, now) }

// Open is how many requests are open.
func (g *Gate) Open() int { return g.open }

// Limit is how many may be open now; 0: no limit.
func (g *Gate) Limit() int { return int(g.limit) }

// Counts are how many asks ended for each reason.
func (g *Gate) Counts() [Reasons]int64 { return g.counts }

// RouteOpen is how many requests are open on a route.
func (g *Gate) RouteOpen(route int) int { return g.routes[route].open }

// Ask decides on one request. Nothing is used up by a request that is not taken.
func (g *Gate) Ask(now time.Duration, a Ask) Verdict {
	g.advance(now)
	g.adapt()
	r := g.routes[a.Route]
	var t *tenantState
	if a.Tenant >= 0 && a.Tenant < len(g.tenants) {
		t = g.tenants[a.Tenant]
		t.asked, t.ever = g.now, true
	}
	v := g.judge(r, t, a)
	g.counts[v.Reason]++
	if v.Reason != Admitted {
		v.Wait = max(v.Wait, r.ComeBack)
		return v
	}
	r.open++
	r.queued++
	g.open++
	g.used = max(g.used, g.open)
	if t != nil {
		t.open++
	}
	v.Slot = Slot{route: r, tenant: t}
	return v
}

// judge looks at one limit after the other; the one that takes something comes last.
func (g *Gate) judge(r *routeState, t *tenantState, a Ask) Verdict {
	if r.Concurrent > 0 && r.open >= r.Concurrent {
		return Verdict{Reason: Concurrent}
	}
	if r.Queue > 0 && r.queued >= r.Queue {
		return Verdict{Reason: Queue}
	}
	if g.limit > 0 {
		open := float64(g.open)
		if open >= math.Floor(g.limit) {
			return Verdict{Reason: Open}
		}
		if mine := g.limit * (1 - kept*float64(Top-r.Priority)/Top); open >= mine {
			return Verdict{Reason: Priority}
		}
		// Guards against one tenant that takes all: what it may have is its part of the limit among those that ask.
		if t != nil && open >= shortFrom*g.limit && float64(t.open) >= g.share(t) {
			return Verdict{Reason: Share}
		}
	}
	g.refill(r)
	if a.Retry && r.Budgeted && r.budget < 1 {
		return Verdict{Reason: Budget, Wait: g.budgetWait(r)}
	}
	if r.Limited {
		if wait := g.bucketOf(r, a).take(g.now, r.Rate, r.Burst); wait > 0 {
			return Verdict{Reason: Rate, Wait: min(wait, forever)}
		}
	}
	if r.Budgeted {
		if a.Retry {
			r.budget--
		} else {
			r.budget = min(r.budget+r.Budget, g.budgetCap(r))
		}
	}
	return Verdict{}
}

// share is how many requests a tenant may have open while short.
func (g *Gate) share(t *tenantState) float64 {
	sum := 0.0
	for _, o := range g.tenants {
		if o.open > 0 || o.ever && g.now-o.asked < activeFor {
			sum += o.Weight
		}
	}
	if sum <= 0 {
		return math.Inf(1)
	}
	return max(1, g.limit*t.Weight/sum)
}

// budgetCap bounds the repeats that may be saved up: a quiet hour buys no storm.
func (g *Gate) budgetCap(r *routeState) float64 {
	return max(1, r.Floor, r.Floor*budgetMost.Seconds(), r.Budget*100)
}

// refill gives a route the repeats that are allowed whatever else comes.
func (g *Gate) refill(r *routeState) {
	if r.Budgeted {
		r.budget = min(r.budget+r.Floor*(g.now-r.at).Seconds(), g.budgetCap(r))
	}
	r.at = g.now
}

// budgetWait is when the floor alone has brought one more repeat.
func (g *Gate) budgetWait(r *routeState) time.Duration {
	if r.Floor <= 0 {
		return time.Second
	}
	return time.Duration(min((1-r.budget)/r.Floor, 3600) * float64(time.Second))
}

func (g *Gate) bucketOf(r *routeState, a Ask) *bucket {
	switch {
	case r.By == ByTenant && a.Tenant >= 0:
		return g.keys.get(r.Name, uint64(a.Tenant))
	case r.By == ByKey:
		return g.keys.get(r.Name, a.Key)
	default:
		return &r.bucket
	}
}

// Sent says that a request has been sent to a worker for the first time.
func (g *Gate) Sent(s *Slot) {
	if s.Held() && !s.sent {
		s.sent = true
		s.route.queued--
	}
}

// Done gives a slot back, once.
func (g *Gate) Done(now time.Duration, s Slot, end End) {
	if !s.Held() {
		return
	}
	g.advance(now)
	g.Sent(&s)
	s.route.open--
	g.open--
	if s.tenant != nil {
		s.tenant.open--
	}
	switch end {
	case Timely:
		g.timely++
	case Late:
		g.late++
	}
	g.adapt()
}

// adapt lets the limit follow measured service: additive increase, multiplicative decrease, once in a window. It never
// goes over what is configured.
func (g *Gate) adapt() {
	if !g.c.Adaptive || g.c.Open == 0 || g.now < g.window+window {
		return
	}
	if n := g.timely + g.late; n >= windowLeast {
		most := float64(g.c.Open)
		switch {
		case float64(g.late) > lateMost*float64(n):
			// From what was in use: a limit far above it would be lowered for long without any effect.
			g.limit = max(float64(min(g.c.Least, g.c.Open)), min(g.limit, float64(g.used))*decrease, 1)
		case float64(g.used) >= shortFrom*g.limit:
			g.limit = min(most, g.limit+max(1, increase*most))
		}
	} else if g.open == 0 {
		g.limit = float64(g.c.Open) // nothing is open, so nothing is short
	}
	g.window, g.timely, g.late, g.used = g.now, 0, 0, g.open
}
