package dispatch

// Class describes one class of requests.
type Class struct {
	// An answer has its full weight within LatencyObjective plus ObjectiveStretch times the request's work.
	LatencyObjective Time
	ObjectiveStretch float64
	Deadline         Time    // total time that the client waits, including its retries
	PriorityWeight   float64 // the value of an answer within the latency objective
	LateWeight       float64 // share of the weight that remains after the latency objective
	Idempotency      Idempotency
	DedupScope       DedupScope // of Deduplicated requests
	DedupWindow      Time       // of Deduplicated requests: time after the first send in which repeats are dropped
	WorkerKind       int        // the only kind of worker that runs the class; -1: any kind
}

// Tenant is the quota of one tenant.
type Tenant struct {
	QuotaRPS float64 // requests per second at all dispatchers; traffic beyond it has a lower weight
}

// Settings is the configuration of a dispatcher. Times are in microseconds.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant // may be empty
	OverQuotaWeight      float64  // share of the weight that remains beyond a tenant's quota
	ZoneCount, KindCount int
	Zone                 int  // of this dispatcher; -1: unknown
	GroupSize            int  // number of dispatchers in the group, including this one
	Ordinal              int  // index of this dispatcher in the group, from 0
	PeerMessages         bool // dispatchers may send each other messages
	Tick                 Time // minimum time between two calls of the dispatcher

	MaxAttempts        int // per request
	CanCancel          bool
	CanHedge           bool // two attempts of one request may be in flight at once
	RetryAfter         bool // rejections may carry a Retry-After
	MaxRetryAfter      Time
	ConnectTimeout     Time
	EndpointsOnRequest bool // the endpoint list is sent only to dispatchers that watch or fetch it
	WeightsShowSize    bool // a worker's listed weight is its size
	WeightsShowLoad    bool // a worker's listed weight decreases with its load and is not its size
	ReportsStart       bool // workers report when a request begins to run
	ProgressInterval   Time // between progress reports of a running request; 0: no reports

	MaxPollInterval    Time    // maximum time between polls of the endpoint list without a watch
	DrainGrace         Time    // time after the start of draining within which a worker still accepts requests
	SlowStartMinFactor float64 // lower bound of the share of its capacity that a worker has at its start
	SlowStartWindow    Time    // time after its start within which a worker reaches its full capacity
	OverloadMultiple   float64 // a warming worker fails if its load exceeds this multiple of its capacity ...
	OverloadWindow     Time    // ... for this time

	PriceWaste     float64 // price of wasted work, as a share of all work
	PriceFetch     float64 // price of one fetch from the store per request
	PriceLateFail  float64 // price of the weight of requests that ended unserved after their latency objective
	PriceCrossZone float64 // price of one crossing between zones per request
	IdleTimeout    Time    // time after which idle connections are closed
}

// RouteLimits are the limits that the operators' configuration sets for a request's route. They restrict what
// the rules and the settings allow and never extend it. A zero field sets no limit.
type RouteLimits struct {
	Timeout         Time // for the whole request, from its arrival
	AttemptTimeout  Time
	MaxQueueTime    Time // from its arrival, while it is queued without an attempt in flight
	MaxAttempts     int
	NoHedging       bool // at most one attempt in flight
	HedgeDelay      Time // minimum time from an attempt to its hedge
	RetryNotRunOnly bool // no retry after an attempt that may have run, independent of the class
	DedupWindow     Time // of Deduplicated requests: maximum time from the first attempt to a retry
	// The pause before the first retry is RetryBackoff. It doubles with each retry up to MaxRetryBackoff and
	// is shortened by a random share of up to BackoffJitter.
	RetryBackoff    Time
	MaxRetryBackoff Time
	BackoffJitter   float64
}
