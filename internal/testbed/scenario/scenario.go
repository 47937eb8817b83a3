// Package scenario describes what a run of the testbed plays: a fleet of workers, the dispatchers, the traffic and the faults.
// A scenario is a TOML file; a Day is generated from a scenario by a seed and is the same whatever the dispatchers do.
package scenario

import "time"

// Limits of a scenario: a run is bounded in time and requests, and one machine carries it.
const (
	MaxTime        = time.Hour
	MaxRequests    = 5_000_000
	MaxWorkers     = 10_000
	MaxDispatchers = 4_000 // in a simulation; the sockets of one machine carry fewer
	maxFaults      = 1_000
	maxClasses     = 64
	maxTenants     = 256
	maxBody        = 64 << 10
)

// Scenario is the content of a scenario file. It is valid once Decode has returned it.
type Scenario struct {
	Name        string        `toml:"name"`
	About       string        `toml:"about"`
	For         time.Duration `toml:"for"`
	Rate        float64       `toml:"rate"` // requests a second, to all dispatchers together
	Dispatchers int           `toml:"dispatchers"`
	Uneven      float64       `toml:"uneven"` // 0: dispatchers get equal shares of the requests; 1: the first gets twice the mean
	Zones       []string      `toml:"zones"`
	Burst       Burst         `toml:"burst"`
	Limits      Limits        `toml:"limits"`
	Terms       Terms         `toml:"terms"`
	List        Discovery     `toml:"list"`
	Clients     Clients       `toml:"clients"`
	Classes     []Class       `toml:"class"`
	Tenants     []Tenant      `toml:"tenant"`
	Workers     []WorkerPool  `toml:"workers"`
	Faults      []Fault       `toml:"fault"`
}

// Burst makes a part of the arrivals come in bursts, on top of the Poisson process.
type Burst struct {
	Share float64 `toml:"share"` // of the arrivals that come in bursts
	Size  int     `toml:"size"`  // requests of a burst
}

// Limits are the resources that each dispatcher may use, by its configuration.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Terms are the figures of the rules, and what the platform allows.
type Terms struct {
	Attempts           int           `toml:"attempts"`         // at most, of one try
	DrainGrace         time.Duration `toml:"drain_grace"`      // after the update that a worker drains, in which it may still get requests
	SlowStartMinFactor float64       `toml:"cold_from"`        // part of its speed that a worker has when it starts
	SlowStartWindow    time.Duration `toml:"warm_within"`      // until a worker has its full speed
	OverloadMultiple   float64       `toml:"fall_multiple"`    // a warming worker crashes when it is sent more than this multiple of the work that it can do ...
	OverloadWindow     time.Duration `toml:"fall_window"`      // ... within a window of this length, for at least that length
	Hedging            bool          `toml:"second_copies"`    // hedged requests are allowed
	RetryAfter         bool          `toml:"retry_after"`      // answers may carry Retry-After ...
	MaxRetryAfter      time.Duration `toml:"most_retry_after"` // ... of this at most
	ConnectTimeout     time.Duration `toml:"connect_timeout"`  // of a connection to a worker
	IdleClose          time.Duration `toml:"idle_close"`       // after which workers close idle connections
	ReportsProgress    bool          `toml:"notes"`            // workers report starts and progress
	Progress           time.Duration `toml:"progress"`         // between two reports of a running request; 0: none
	OverQuotaWeight    float64       `toml:"over_share_worth"` // factor on the value of requests beyond a tenant's quota
}

// Discovery configures how endpoint updates reach the dispatchers.
type Discovery struct {
	Lag    time.Duration `toml:"lag"`    // base lag of an update at a dispatcher's discovery agent
	Jitter time.Duration `toml:"jitter"` // further lag, uniformly random for each agent and update
	Keep   int           `toml:"keep"`   // versions kept; a dispatcher that is further behind gets the full list
}

// Clients configures the behaviour of clients.
type Clients struct {
	Retries              int           `toml:"retries"`    // at most, of one request
	RetryWait            time.Duration `toml:"retry_wait"` // 0: at once
	HonorRetryAfterShare float64       `toml:"obedient"`   // share of clients that honor Retry-After
	MarkRetries          bool          `toml:"mark"`       // mark retries with X-Retry
	LeaveShare           float64       `toml:"leave"`      // share of requests whose client disconnects while it waits
}

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Effect           string        `toml:"effect"`
	Share            float64       `toml:"share"`  // weight of the class among the arrivals
	Work             time.Duration `toml:"work"`   // mean running time on a core of speed 1
	Spread           float64       `toml:"spread"` // sigma of the log-normal distribution of running times
	LatencyObjective time.Duration `toml:"aim"`    // an answer is in time within this plus Stretch times the request's own work
	Stretch          float64       `toml:"stretch"`
	Deadline         time.Duration `toml:"patience"` // for all tries together
	PriorityWeight   float64       `toml:"worth"`
	LateWeight       float64       `toml:"late_worth"`
	Group            string        `toml:"group"`
	Window           time.Duration `toml:"window"`
	Slots            int           `toml:"slots"`
	Memory           float64       `toml:"memory"`
	Body             []int         `toml:"body"`  // minimum and maximum, bytes
	Retry            string        `toml:"retry"` // after which answers clients retry
	Kind             string        `toml:"kind"`  // of the workers that run it; empty: all
}

// The idempotency of a class, as Class.Effect holds it.
const (
	Safe   = "safe"        // idempotent
	Keyed  = "keyed"       // deduplicated within Class.Window
	Unsafe = "never-twice" // non-idempotent
)

// After which answers clients retry, as Class.Retry holds it.
const (
	RetryAny     = "any"     // whatever is not served
	RetryRefused = "refused" // only what was rejected: a retry is harmless
	RetryNone    = "none"
)

// Tenant is a customer with a share of the requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests a second; 0: its share of the rate
}

// WorkerPool is a number of workers of one kind.
type WorkerPool struct {
	Kind      string    `toml:"kind"`
	Count     int       `toml:"count"`
	Cores     int       `toml:"cores"`
	Speed     []float64 `toml:"speed"`  // minimum and maximum; 1 is the speed that Class.Work refers to
	Memory    float64   `toml:"memory"` // units; 0: one for each core
	Queue     int       `toml:"queue"`  // requests that may wait at a worker; further ones are rejected
	Zone      string    `toml:"zone"`   // empty: the zones in turn
	WarmingUp bool      `toml:"cold"`   // has just started when the day begins
}

// Fault is one fault of the timetable.
type Fault struct {
	Kind        string        `toml:"kind"`
	At          time.Duration `toml:"at"`
	For         time.Duration `toml:"for"`
	Workers     float64       `toml:"workers"`     // below 1 the share of affected workers, else their number; 0: all
	Names       []string      `toml:"names"`       // of the affected workers, in place of Workers
	Dispatchers []int         `toml:"dispatchers"` // affected ones, from 0; none: all
	Factor      float64       `toml:"factor"`
	Share       float64       `toml:"share"`
	Count       int           `toml:"count"`
	Tenant      string        `toml:"tenant"`
}
