// Package report holds the result of a testbed run and presents it: as text and as one self-contained HTML page for
// people, as JSON for programs. It also compares results of the same generated day.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchfork/internal/testbed/invariant"
)

// Version is the version of the JSON form; Decode rejects every other one.
const Version = 1

// Report is the result of one run. It is not safe for concurrent use. Times are seconds since the day's start unless the name has another unit.
type Report struct {
	Version     int     `json:"version"`
	Scenario    string  `json:"scenario"`
	About       string  `json:"about,omitempty"`
	Seed        uint64  `json:"seed"`
	Day         string  `json:"day"` // digest of all that was drawn
	Policy      string  `json:"policy"`
	Mutant      string  `json:"planted,omitempty"`
	Seconds     float64 `json:"seconds"`
	Rate        float64 `json:"rate"`
	Load        float64 `json:"load"` // work asked for as a part of the capacity
	Dispatchers int     `json:"dispatchers"`
	Interrupted bool    `json:"interrupted"`
	RanLate     bool    `json:"ran_late"` // the rig itself was late: the figures are worth little

	Requests       int     `json:"requests"` // wishes; a client's retries are folded into its first try
	Tries          int     `json:"tries"`
	Attempts       int     `json:"attempts"` // at workers
	Served         int     `json:"served"`
	ServedInTime   int     `json:"served_in_time"`
	Refused        int     `json:"refused"`
	Failed         int     `json:"failed"` // all others: served + refused + failed = requests
	Lost           int     `json:"lost"`   // tries with no final answer, by a dispatcher's fault
	Excused        int     `json:"excused"`
	Goodput        float64 `json:"goodput"`            // worth in time over worth asked
	GoodputInFault float64 `json:"goodput_in_trouble"` // the same of what was asked for while a trouble was on; 0: there was none
	Recovery       float64 `json:"recovery_s"`         // from the last trouble's end until service was as before; -1: not in this run

	Rules      map[string]int        `json:"rules"`
	Violations []invariant.Violation `json:"breaches,omitempty"` // the first ones
	Crashes    int                   `json:"crashes"`
	CrashNotes []string              `json:"crash_notes,omitempty"`

	Latency           Latency `json:"latency_ms"`
	RetriesPerRequest float64 `json:"retries_per_request"`
	WastedWork        float64 `json:"wasted_work"` // work done for attempts that served nobody, as a part of all

	CPUPerRequest float64 `json:"cpu_us_per_request"` // of all dispatchers, a try
	RSSPeakMB     float64 `json:"rss_peak_mb"`        // of the largest dispatcher
	FDPeak        int     `json:"fd_peak"`

	Workers     []WorkerLine     `json:"workers"`
	Classes     []PartLine       `json:"classes"`
	Tenants     []PartLine       `json:"tenants,omitempty"`
	Outcomes    map[string]int   `json:"outcomes"` // of tries, as clients saw them
	Series      []Point          `json:"series"`
	Faults      []FaultMark      `json:"faults,omitempty"`
	Misbehaving *MisbehavingLine `json:"rude,omitempty"`
	Started     *StartedLine     `json:"started,omitempty"`
	Testbed     TestbedLine      `json:"rig"`
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

// WorkerLine is one worker's part in a run.
type WorkerLine struct {
	Name       string  `json:"name"`
	Kind       string  `json:"kind"`
	Jobs       int     `json:"jobs"`
	Share      float64 `json:"share"`    // of all work done
	Capacity   float64 `json:"capacity"` // its part of the fleet's
	PushedOver int     `json:"pushed_over"`
}

// PartLine sums up the requests of one class or tenant.
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
	Good      float64        `json:"good"` // worth in time
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	Outcomes  map[string]int `json:"outcomes"` // of the wishes' last tries
}

// FaultMark is an injected fault on the time axis.
type FaultMark struct {
	Kind  string  `json:"kind"`
	At    float64 `json:"at"`
	Until float64 `json:"until"`
	Whom  string  `json:"whom"`
}

// MisbehavingLine counts what misbehaving clients sent and how they were answered.
type MisbehavingLine struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Ignored  int64 `json:"ignored"`
	Served   int64 `json:"served"`
	NoPlace  int64 `json:"no_place"`
}

// StartedLine compares requests at dispatchers in the first 5 s after a restart with those at the others meanwhile.
type StartedLine struct {
	Tries       int `json:"tries"`
	InTime      int `json:"in_time"`
	OtherTries  int `json:"other_tries"`
	OtherInTime int `json:"other_in_time"`
}

// TestbedLine says how precise the testbed itself was.
type TestbedLine struct {
	LagP99  float64 `json:"lag_p99_ms"` // how late arrivals were begun
	LagMax  float64 `json:"lag_max_ms"`
	Ceiling float64 `json:"ceiling_per_s"` // requests a second straight at a stand-in worker; 0: not measured
	Slack   float64 `json:"slack_ms"`      // that the judge gave every time limit
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

// Histogram collects latencies in microseconds, up to an hour, to three significant digits. It is not safe for
// concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

// Add records a duration; one below a microsecond counts as one microsecond.
func (h Histogram) Add(d time.Duration) {
	_ = h.h.RecordValue(max(1, d.Microseconds())) // fails for more than an hour only: no run takes that long
}

// At returns the percentile p (0 to 100) in milliseconds, or 0 for an empty histogram.
func (h Histogram) At(p float64) float64 {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return float64(h.h.ValueAtPercentile(p)) / 1000
}

// Latency returns the percentiles that a report shows.
func (h Histogram) Latency() Latency {
	return Latency{h.At(50), h.At(90), h.At(99), h.At(99.9), h.At(100)}
}

// Service counts as recovered when goodput is at least asBefore of its median before the first fault, in inARow
// consecutive intervals; notAtAll is the recovery time of a run where that did not happen.
const (
	asBefore = 0.95
	inARow   = 3
	notAtAll = -1.0
)

// SummarizeFaults computes InTrouble and Recovery from the series and the faults.
func (r *Report) SummarizeFaults() {
	first, last := math.Inf(1), 0.0
	for _, f := range r.Faults {
		first, last = min(first, f.At), max(last, f.At, f.Until)
	}
	var before []float64
	good, worth, row := 0.0, 0.0, 0
	r.GoodputInFault, r.Recovery = 0, 0
	if len(r.Faults) == 0 {
		return
	}
	r.Recovery = notAtAll
	for _, p := range r.Series {
		if p.Value > 0 && p.At < first {
			before = append(before, p.Good/p.Value)
		}
	}
	usual := Median(before)
	for _, p := range r.Series {
		for _, f := range r.Faults {
			if p.At >= f.At && p.At < f.Until {
				good, worth = good+p.Good, worth+p.Value
				break
			}
		}
		switch {
		case p.At < last || r.Recovery >= 0 || p.Value == 0:
		case p.Good/p.Value < asBefore*usual:
			row = 0
		default:
			if row++; row == inARow {
				r.Recovery = max(0, p.At-last-float64(inARow-1)*(r.Series[1].At-r.Series[0].At))
			}
		}
	}
	if worth > 0 {
		r.GoodputInFault = good / worth
	}
}

// maxFileBytes bounds the size of a stored result, in bytes.
const maxFileBytes = 256 << 20

// Load reads a result from a file that Save wrote.
func Load(path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	r, err := Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Decode parses the JSON form of a result. It fails on another version and on a series that cannot be.
func Decode(raw []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("this is no result of the lab: %w", err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("this is no result of the lab that this program can read: version %d, not %d", r.Version, Version)
	}
	for _, p := range r.Series {
		if math.IsNaN(p.At) || p.At < 0 || p.Requested < 0 {
			return nil, errors.New("its series makes no sense")
		}
	}
	return &r, nil
}

// Save writes the result to a file as JSON and replaces an existing file atomically.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("writing a result: %w", err)
	}
	return replace(path, append(raw, '\n'))
}

// replace writes a file atomically.
func replace(path string, raw []byte) error {
	next := path + ".part"
	if err := os.WriteFile(next, raw, 0o644); err != nil {
		_ = os.Remove(next) // what a full disk has left of it; the error that matters is that of the write
		return fmt.Errorf("writing a result: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		_ = os.Remove(next) // the error that matters is that of the rename
		return fmt.Errorf("writing a result: %w", err)
	}
	return nil
}
