// Package report holds the result of a testbed run and writes it as text, as a self-contained HTML page and as JSON. It also
// compares results of the same generated workload.
package report

import "birchfork/internal/testbed/invariant"

// Version is the version of the JSON form; Decode rejects every other one.
const Version = 1

// Report is the result of one run. It is not safe for concurrent use. Times are in seconds since the start of the load unless
// the name has another unit.
type Report struct {
	Version        int     `json:"version"`
	Scenario       string  `json:"scenario"`
	About          string  `json:"about,omitempty"`
	Seed           uint64  `json:"seed"`
	ScheduleDigest string  `json:"day"` // Schedule.Digest: equal for the same requests, workers and faults
	Policy         string  `json:"policy"`
	Mutant         string  `json:"planted,omitempty"`
	Seconds        float64 `json:"seconds"`
	Rate           float64 `json:"rate"`
	Load           float64 `json:"load"` // requested work as a share of the capacity
	Dispatchers    int     `json:"dispatchers"`
	Interrupted    bool    `json:"interrupted"`
	RanLate        bool    `json:"ran_late"` // the testbed itself was late: the figures are unreliable

	Requests       int     `json:"requests"` // without retries
	Tries          int     `json:"tries"`    // requests with their retries
	Attempts       int     `json:"attempts"` // at workers
	Served         int     `json:"served"`
	ServedInTime   int     `json:"served_in_time"`
	Refused        int     `json:"refused"`
	Failed         int     `json:"failed"`             // all others: served + refused + failed = requests
	Lost           int     `json:"lost"`               // tries without a final answer for which a dispatcher is responsible
	Excused        int     `json:"excused"`            // tries without an answer whose dispatcher was killed or paused by the testbed, or closed the connection without forwarding them
	Goodput        float64 `json:"goodput"`            // achieved value over requested value
	GoodputInFault float64 `json:"goodput_in_trouble"` // goodput of the intervals in which a fault was active; 0: there was none
	Recovery       float64 `json:"recovery_s"`         // seconds from the end of the last fault to recovery; -1: not within the run

	Rules      map[string]int        `json:"rules"`
	Violations []invariant.Violation `json:"breaches,omitempty"` // the first ones
	Crashes    int                   `json:"crashes"`
	CrashNotes []string              `json:"crash_notes,omitempty"`

	Latency           Latency `json:"latency_ms"`
	RetriesPerRequest float64 `json:"retries_per_request"`
	WastedWork        float64 `json:"wasted_work"` // share of the attempts that ran whose result no client got

	CPUPerRequest float64 `json:"cpu_us_per_request"` // of all dispatchers, per try
	RSSPeakMB     float64 `json:"rss_peak_mb"`        // of the largest dispatcher
	FDPeak        int     `json:"fd_peak"`

	Workers       []WorkerLine     `json:"workers"`
	Classes       []PartLine       `json:"classes"`
	Tenants       []PartLine       `json:"tenants,omitempty"`
	Outcomes      map[string]int   `json:"outcomes"` // of tries, as observed by clients
	Series        []Point          `json:"series"`
	Faults        []FaultMark      `json:"faults,omitempty"`
	Misbehaving   *MisbehavingLine `json:"rude,omitempty"`
	AfterRestarts *RestartLine     `json:"started,omitempty"`
	Testbed       TestbedLine      `json:"rig"`
}

// Latency holds percentiles, in milliseconds, of served requests: from the scheduled arrival to the last byte of the
// response, with all retries.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// WorkerLine holds the figures of one worker.
type WorkerLine struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"`
	Jobs      int     `json:"jobs"`
	Share     float64 `json:"share"`       // of all work done
	Capacity  float64 `json:"capacity"`    // share of the fleet's capacity
	Overloads int     `json:"pushed_over"` // crashes under overload while it was warming up
}

// PartLine holds the figures of one class or tenant.
type PartLine struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	InTime   int     `json:"served_in_time"`
	Goodput  float64 `json:"goodput"`
	Latency  Latency `json:"latency_ms"`
}

// Point is one interval of the run; a request belongs to the interval of its scheduled arrival.
type Point struct {
	At        float64        `json:"at"`
	Requested int            `json:"asked"`
	InTime    int            `json:"in_time"`
	Value     float64        `json:"worth"`
	Good      float64        `json:"good"` // value that was achieved: of requests served in time the full value, of those served later the share LateWeight
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	Outcomes  map[string]int `json:"outcomes"` // of the last tries
}

// FaultMark is an injected fault with its time.
type FaultMark struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at"`
	Until  float64 `json:"until"`
	Target string  `json:"whom"` // affected workers, dispatchers, traffic or tenant
}

// MisbehavingLine counts what misbehaving clients sent and how they were answered.
type MisbehavingLine struct {
	Sent         int64 `json:"sent"`
	Answered     int64 `json:"answered"`
	Ignored      int64 `json:"ignored"`
	Served       int64 `json:"served"`
	NotConnected int64 `json:"no_place"`
}

// RestartLine compares tries at dispatchers in the first 5 s after a restart with those at the others at the same time.
type RestartLine struct {
	Tries       int `json:"tries"`
	InTime      int `json:"in_time"`
	OtherTries  int `json:"other_tries"`
	OtherInTime int `json:"other_in_time"`
}

// TestbedLine holds the lag and the throughput of the testbed itself, which limit the precision of a run.
type TestbedLine struct {
	LagP99        float64 `json:"lag_p99_ms"` // lag of arrivals or of a periodic timer, whichever is larger
	LagMax        float64 `json:"lag_max_ms"`
	MaxThroughput float64 `json:"ceiling_per_s"` // requests per second, sent directly to a fake worker; 0: not measured
	Slack         float64 `json:"slack_ms"`      // added by the invariant checker to every time limit
}

// Broken reports whether a rule was violated or a dispatcher crashed.
func (r *Report) Broken() bool {
	for _, n := range r.Rules {
		if n > 0 {
			return true
		}
	}
	return r.Crashes > 0
}
