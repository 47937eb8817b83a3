// Package scenario describes runs of the testbed: a fleet of workers, the dispatchers, the traffic and the faults. A scenario is a
// TOML file. A Schedule is generated from a scenario and a seed, and does not depend on what the dispatchers do.
package scenario

import "time"

// Limits of a scenario. They bound the time and the requests of a run, which one machine has to carry.
const (
	MaxTime        = time.Hour
	MaxRequests    = 5_000_000
	MaxWorkers     = 10_000
	MaxDispatchers = 4_000 // in a simulation; the sockets of one machine suffice for fewer
	maxFaults      = 1_000
	maxClasses     = 64
	maxTenants     = 256
	maxBody        = 64 << 10
)

// Scenario is the content of a scenario file. Decode returns only valid ones.
type Scenario struct {
	Name        string        `toml:"name"`
	About       string        `toml:"about"`
	For         time.Duration `toml:"for"`
	Rate        float64       `toml:"rate"` // requests per second, over all dispatchers
	Dispatchers int           `toml:"dispatchers"`
	Uneven      float64       `toml:"uneven"` // 0: dispatchers get equal shares of the requests; 1: the first gets twice the mean and the last none
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

// Burst configures the bursts among the arrivals of the Poisson process.
type Burst struct {
	Share float64 `toml:"share"` // share of the requests that arrive in bursts
	Size  int     `toml:"size"`  // requests per burst
}

// Limits are the resources that the configuration of each dispatcher allows it.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Terms are the figures of the platform's rules and the features that it allows.
type Terms struct {
	Attempts           int           `toml:"attempts"`         // maximum for one try
	DrainGrace         time.Duration `toml:"drain_grace"`      // after the update that a worker is draining, during which it may still get requests
	SlowStartMinFactor float64       `toml:"cold_from"`        // share of its speed that a worker has when it starts
	SlowStartWindow    time.Duration `toml:"warm_within"`      // time until a worker has its full speed
	OverloadMultiple   float64       `toml:"fall_multiple"`    // while warming up, a worker crashes when it is sent more than this multiple of the work that it can do ...
	OverloadWindow     time.Duration `toml:"fall_window"`      // ... within a window of this length, for at least that length
	Hedging            bool          `toml:"second_copies"`    // hedged requests are allowed
	RetryAfter         bool          `toml:"retry_after"`      // answers may carry Retry-After ...
	MaxRetryAfter      time.Duration `toml:"most_retry_after"` // ... with at most this value
	ConnectTimeout     time.Duration `toml:"connect_timeout"`  // for a connection to a worker
	IdleClose          time.Duration `toml:"idle_close"`       // time after which workers close idle connections
	ReportsProgress    bool          `toml:"notes"`            // workers report the start and progress of requests
	Progress           time.Duration `toml:"progress"`         // interval between progress reports of a running request; 0: none
	OverQuotaWeight    float64       `toml:"over_share_worth"` // factor for the value of requests beyond a tenant's quota
}

// Discovery configures how endpoint updates reach the dispatchers.
type Discovery struct {
	Lag    time.Duration `toml:"lag"`    // base lag of an update at a dispatcher's discovery agent
	Jitter time.Duration `toml:"jitter"` // further lag, uniformly random for each agent and update
	Keep   int           `toml:"keep"`   // changes that are kept; a dispatcher that is further behind gets the full list
}

// Clients configures the behaviour of clients.
type Clients struct {
	Retries              int           `toml:"retries"`    // maximum per request
	RetryWait            time.Duration `toml:"retry_wait"` // 0: retry immediately
	HonorRetryAfterShare float64       `toml:"obedient"`   // share of requests whose client honors Retry-After
	MarkRetries          bool          `toml:"mark"`       // mark retries with X-Retry
	LeaveShare           float64       `toml:"leave"`      // share of requests whose client disconnects while it waits
}

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Effect           string        `toml:"effect"`
	Share            float64       `toml:"share"`  // weight of the class in the arrivals
	Work             time.Duration `toml:"work"`   // mean running time on a core of speed 1
	Spread           float64       `toml:"spread"` // sigma of the log-normal distribution of running times
	LatencyObjective time.Duration `toml:"aim"`    // a request is in time if it is answered within this plus Stretch times its work
	Stretch          float64       `toml:"stretch"`
	Deadline         time.Duration `toml:"patience"` // for all tries together
	PriorityWeight   float64       `toml:"worth"`
	LateWeight       float64       `toml:"late_worth"`
	Group            string        `toml:"group"`
	Window           time.Duration `toml:"window"`
	Slots            int           `toml:"slots"`
	Memory           float64       `toml:"memory"`
	Body             []int         `toml:"body"`  // minimum and maximum, bytes
	Retry            string        `toml:"retry"` // RetryAny, RetryRefused or RetryNone
	Kind             string        `toml:"kind"`  // of the workers that can run it; empty: any
}

// Values of Class.Effect: the idempotency of a class.
const (
	Safe   = "safe"        // idempotent
	Keyed  = "keyed"       // deduplicated within Class.Window
	Unsafe = "never-twice" // non-idempotent
)

// Values of Class.Retry: the outcomes after which clients retry.
const (
	RetryAny     = "any"     // any request that was not served
	RetryRefused = "refused" // only requests that were rejected or not sent, for which a retry is safe
	RetryNone    = "none"
)

// Tenant is a customer with a share of the requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests per second; 0: its share of the rate
}

// WorkerPool is a group of workers of one kind.
type WorkerPool struct {
	Kind      string    `toml:"kind"`
	Count     int       `toml:"count"`
	Cores     int       `toml:"cores"`
	Speed     []float64 `toml:"speed"`  // minimum and maximum; 1 is the speed that Class.Work refers to
	Memory    float64   `toml:"memory"` // units; 0: one per core
	Queue     int       `toml:"queue"`  // maximum number of queued requests per worker; further ones are rejected
	Zone      string    `toml:"zone"`   // empty: the zones in turn
	WarmingUp bool      `toml:"cold"`   // the workers have just started when the run begins
}

// Fault is one fault that is injected during the run.
type Fault struct {
	Kind        string        `toml:"kind"`
	At          time.Duration `toml:"at"`
	For         time.Duration `toml:"for"`
	Workers     float64       `toml:"workers"`     // below 1: the share of affected workers; from 1 on: their number; 0: all
	Names       []string      `toml:"names"`       // names of the affected workers, instead of Workers
	Dispatchers []int         `toml:"dispatchers"` // indexes of the affected dispatchers; empty: all
	Factor      float64       `toml:"factor"`
	Share       float64       `toml:"share"`
	Count       int           `toml:"count"`
	Tenant      string        `toml:"tenant"`
}
