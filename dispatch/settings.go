package dispatch

// Class describes one class of requests.
type Class struct {
	// LatencyObjective plus ObjectiveStretch times the request's own work is the time within which an answer
	// has its full weight.
	LatencyObjective Time
	ObjectiveStretch float64
	Deadline         Time    // how long the client waits, over all its tries
	PriorityWeight   float64 // the value of an answer in time
	LateWeight       float64 // share of the weight that is left after the latency objective
	Idempotency      Idempotency
	DedupScope       DedupScope // of Deduplicated requests
	DedupWindow      Time       // of Deduplicated requests: how long repeats are dropped, from the first send
	WorkerKind       int        // the one kind of worker that runs it; -1: any
}

// Tenant describes one tenant's quota.
type Tenant struct {
	QuotaRPS float64 // requests per second over all dispatchers; traffic beyond it has a lower weight
}

// Settings is the configuration of a dispatcher. Times are in microseconds.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant // may be empty
	OverQuotaWeight      float64  // share of the weight that is left beyond a tenant's quota
	ZoneCount, KindCount int
	Zone                 int  // where this dispatcher is; -1: unknown
	GroupSize            int  // dispatchers in the group, this one included
	Ordinal              int  // this dispatcher's number in the group, from 0
	PeerMessages         bool // dispatchers may send each other messages
	Tick                 Time // the shortest time between two calls of the dispatcher

	MaxAttempts        int // of one request
	CanCancel          bool
	CanHedge           bool // two attempts of one request may be in flight together
	RetryAfter         bool // rejections may carry a Retry-After
	MaxRetryAfter      Time
	ConnectTimeout     Time
	EndpointsOnRequest bool // the endpoint list is sent only to dispatchers that watch or fetch it
	WeightsShowSize    bool // a worker's listed weight is its size
	WeightsShowLoad    bool // a worker's listed weight falls with its load, so that it is no size
	ReportsStart       bool // workers report when a request begins to run
	ProgressInterval   Time // between progress reports of a running request; 0: there are none

	MaxPollInterval    Time    // without a watch the endpoint list has to be polled at least this often
	DrainGrace         Time    // time after a worker began to drain within which a request may still be sent to it
	SlowStartMinFactor float64 // share of its capacity that a worker has at its start, at least
	SlowStartWindow    Time    // time after its start from which a worker has its full capacity, at the latest
	OverloadMultiple   float64 // a worker that is warming up fails if it gets more than this, times its capacity ...
	OverloadWindow     Time    // ... for this long

	PriceWaste     float64 // of wasted work, as a share of all work
	PriceFetch     float64 // of one fetch from the store for each request
	PriceLateFail  float64 // of weight that ended unserved after its latency objective
	PriceCrossZone float64 // of one crossing between zones for each request
	IdleTimeout    Time    // idle connections are closed after this
}

// RouteLimits are the operators' limits for one request, in addition to the settings. They narrow what the
// rules and the settings allow and never widen it. A zero field limits nothing.
type RouteLimits struct {
	Timeout         Time // for the whole request, from its arrival
	AttemptTimeout  Time
	MaxQueueTime    Time // in the queue with nothing sent
	MaxAttempts     int
	NoHedging       bool // never two attempts at once
	HedgeDelay      Time // no hedged request sooner than this after the first attempt
	RetryNotRunOnly bool // no retry after an attempt that may have run, whatever the class
	DedupWindow     Time // of Deduplicated requests: no retry later than this after the first attempt
	// The pause before a retry begins at RetryBackoff and doubles with each up to MaxRetryBackoff, less up to
	// the share BackoffJitter of it at random.
	RetryBackoff    Time
	MaxRetryBackoff Time
	BackoffJitter   float64
}
