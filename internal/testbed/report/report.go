// Package report holds what a run of the lab came to, and shows it: to people as text and as one self-contained page, to
// machines as JSON.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchfork/internal/testbed/invariant"
)

// Version is that of the JSON form; a file of another one is turned down.
const Version = 1

// Report is one run. Times are seconds since the day's start unless the name has another unit.
type Report struct {
	Version     int     `json:"version"`
	Scenario    string  `json:"scenario"`
	About       string  `json:"about,omitempty"`
	Seed        uint64  `json:"seed"`
	Day         string  `json:"day"` // digest of all that was drawn
	Policy      string  `json:"policy"`
	Planted     string  `json:"planted,omitempty"`
	Seconds     float64 `json:"seconds"`
	Rate        float64 `json:"rate"`
	Load        float64 `json:"load"` // work asked for as a part of the capacity
	Dispatchers int     `json:"dispatchers"`
	Interrupted bool    `json:"interrupted"`
	RanLate     bool    `json:"ran_late"` // the rig itself was late: the figures are worth little

	Requests     int     `json:"requests"` // wishes; a client's retries are folded into its first try
	Tries        int     `json:"tries"`
	Attempts     int     `json:"attempts"` // at workers
	Served       int     `json:"served"`
	ServedInTime int     `json:"served_in_time"`
	Refused      int     `json:"refused"`
	Failed       int     `json:"failed"` // all others: served + refused + failed = requests
	Lost         int     `json:"lost"`   // tries with no final answer, by a dispatcher's fault
	Excused      int     `json:"excused"`
	Goodput      float64 `json:"goodput"`            // worth in time over worth asked
	InTrouble    float64 `json:"goodput_in_trouble"` // the same of what was asked for while a trouble was on; 0: there was none
	Recovery     float64 `json:"recovery_s"`         // from the last trouble's end until service was as before; -1: not in this run

	Rules      map[string]int     `json:"rules"`
	Breaches   []invariant.Breach `json:"breaches,omitempty"` // the first ones
	Crashes    int                `json:"crashes"`
	CrashNotes []string           `json:"crash_notes,omitempty"`

	Latency           Latency `json:"latency_ms"`
	RetriesPerRequest float64 `json:"retries_per_request"`
	WastedWork        float64 `json:"wasted_work"` // work done for attempts that served nobody, as a part of all

	CPUPerRequest float64 `json:"cpu_us_per_request"` // of all dispatchers, a try
	RSSPeakMB     float64 `json:"rss_peak_mb"`        // of the largest dispatcher
	FDPeak        int     `json:"fd_peak"`

	Workers  []WorkerLine   `json:"workers"`
	Classes  []PartLine     `json:"classes"`
	Tenants  []PartLine     `json:"tenants,omitempty"`
	Outcomes map[string]int `json:"outcomes"` // of tries, as clients saw them
	Series   []Point        `json:"series"`
	Faults   []FaultMark    `json:"faults,omitempty"`
	Rude     *RudeLine      `json:"rude,omitempty"`
	Started  *StartedLine   `json:"started,omitempty"`
	Rig      Rig            `json:"rig"`
}

// Latency is of served requests, from when they were wanted to their last byte, with all tries.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// WorkerLine is one worker's part.
type WorkerLine struct {
	Name       string  `json:"name"`
	Kind       string  `json:"kind"`
	Jobs       int     `json:"jobs"`
	Share      float64 `json:"share"`    // of all work done
	Capacity   float64 `json:"capacity"` // its part of the fleet's
	PushedOver int     `json:"pushed_over"`
}

// PartLine is one class or tenant.
type PartLine struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	InTime   int     `json:"served_in_time"`
	Goodput  float64 `json:"goodput"`
	Latency  Latency `json:"latency_ms"`
}

// Point is a stretch of the run, by when requests were wanted.
type Point struct {
	At       float64        `json:"at"`
	Asked    int            `json:"asked"`
	InTime   int            `json:"in_time"`
	Worth    float64        `json:"worth"`
	Good     float64        `json:"good"` // worth in time
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	Outcomes map[string]int `json:"outcomes"` // of the wishes' last tries
}

// FaultMark is a trouble on the time axis.
type FaultMark struct {
	Kind  string  `json:"kind"`
	At    float64 `json:"at"`
	Until float64 `json:"until"`
	Whom  string  `json:"whom"`
}

// RudeLine is what rude clients met.
type RudeLine struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Ignored  int64 `json:"ignored"`
	Served   int64 `json:"served"`
	NoPlace  int64 `json:"no_place"`
}

// StartedLine is how dispatchers did in the first 5 s after they started again, and the others at the same time.
type StartedLine struct {
	Tries       int `json:"tries"`
	InTime      int `json:"in_time"`
	OtherTries  int `json:"other_tries"`
	OtherInTime int `json:"other_in_time"`
}

// Rig is the lab's own doing.
type Rig struct {
	LagP99  float64 `json:"lag_p99_ms"` // how late arrivals were begun
	LagMax  float64 `json:"lag_max_ms"`
	Ceiling float64 `json:"ceiling_per_s"` // requests a second straight at a stand-in worker; 0: not measured
	Slack   float64 `json:"slack_ms"`      // that the judge gave every time limit
}

// Broken tells whether a rule was broken or a dispatcher crashed.
func (r *Report) Broken() bool {
	for _, n := range r.Rules {
		if n > 0 {
			return true
		}
	}
	return r.Crashes > 0
}

// Histogram collects latencies, in microseconds, up to an hour, to three digits.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty one.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

// Add adds a time.
func (h Histogram) Add(d time.Duration) { h.h.RecordValue(max(1, d.Microseconds())) }

// At is a percentile, in milliseconds; 0 where there is nothing.
func (h Histogram) At(p float64) float64 {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return float64(h.h.ValueAtPercentile(p)) / 1000
}

// Latency are the usual percentiles.
func (h Histogram) Latency() Latency {
	return Latency{h.At(50), h.At(90), h.At(99), h.At(99.9), h.At(100)}
}

// How service counts as it was before: so much of it, in so many stretches one after the other.
const (
	asBefore = 0.95
	inARow   = 3
	notAtAll = -1.0
)

// Troubled fills in how service was while a trouble was on, and how soon it came back after the last one.
func (r *Report) Troubled() {
	first, last := math.Inf(1), 0.0
	for _, f := range r.Faults {
		first, last = min(first, f.At), max(last, f.At, f.Until)
	}
	var before []float64
	good, worth, row := 0.0, 0.0, 0
	r.InTrouble, r.Recovery = 0, 0
	if len(r.Faults) == 0 {
		return
	}
	r.Recovery = notAtAll
	for _, p := range r.Series {
		if p.Worth > 0 && p.At < first {
			before = append(before, p.Good/p.Worth)
		}
	}
	usual := Median(before)
	for _, p := range r.Series {
		for _, f := range r.Faults {
			if p.At >= f.At && p.At < f.Until {
				good, worth = good+p.Good, worth+p.Worth
				break
			}
		}
		switch {
		case p.At < last || r.Recovery >= 0 || p.Worth == 0:
		case p.Good/p.Worth < asBefore*usual:
			row = 0
		default:
			if row++; row == inARow {
				r.Recovery = max(0, p.At-last-float64(inARow-1)*(r.Series[1].At-r.Series[0].At))
			}
		}
	}
	if worth > 0 {
		r.InTrouble = good / worth
	}
}

// sizeMost bounds a kept result.
const sizeMost = 256 << 20

// Load reads a kept result.
func Load(path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, sizeMost))
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	r, err := Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Decode reads a result.
func Decode(raw []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("this is no result of the lab: %w", err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("this is no result of the lab that this program can read: version %d, not %d", r.Version, Version)
	}
	for _, p := range r.Series {
		if math.IsNaN(p.At) || p.At < 0 || p.Asked < 0 {
			return nil, errors.New("its series makes no sense")
		}
	}
	return &r, nil
}

// Save writes the result to a file, in place of an old one at once.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("writing a result: %w", err)
	}
	return replace(path, append(raw, '\n'))
}

// replace writes a file whole or not at all.
func replace(path string, raw []byte) error {
	next := path + ".part"
	if err := os.WriteFile(next, raw, 0o644); err != nil {
		os.Remove(next) // what a full disk has left of it
		return fmt.Errorf("writing a result: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		os.Remove(next)
		return fmt.Errorf("writing a result: %w", err)
	}
	return nil
}

// breachesShown is how many breaches a summary prints.
const breachesShown = 12

// Text prints a summary.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, v ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, v...)) }
	row("scenario", "%s, seed %d, day %s, policy %s%s", r.Scenario, r.Seed, r.Day, r.Policy, planted(r.Planted))
	row("played", "%.0f s, %.0f requests/s (%.2f of the capacity), %d workers, %d dispatchers", r.Seconds, r.Rate, r.Load, len(r.Workers), r.Dispatchers)
	row("requests", "%d: %d served, %d in time, %d refused, %d failed", r.Requests, r.Served, r.ServedInTime, r.Refused, r.Failed)
	row("goodput", "%.3f (worth in time over worth asked)", r.Goodput)
	if len(r.Faults) > 0 {
		back := fmt.Sprintf("as before %.1f s after the last", r.Recovery)
		if r.Recovery < 0 {
			back = "not as before again within the run"
		}
		row("in trouble", "goodput %.3f while a trouble was on; %s", r.InTrouble, back)
	}
	row("latency ms", "p50 %.0f  p90 %.0f  p99 %.0f  p99.9 %.0f  max %.0f", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	row("tries", "%.3f retries a request; %d attempts at workers; %.1f%% of their work served nobody", r.RetriesPerRequest, r.Attempts, 100*r.WastedWork)
	for _, c := range r.Classes {
		row("class "+c.Name, "%d, goodput %.3f, p50 %.0f ms, p99 %.0f ms", c.Requests, c.Goodput, c.Latency.P50, c.Latency.P99)
	}
	for _, c := range r.Tenants {
		row("tenant "+c.Name, "%d, goodput %.3f, p99 %.0f ms", c.Requests, c.Goodput, c.Latency.P99)
	}
	row("dispatchers", "%.0f us of CPU a request, %.1f MB at the most, %d descriptors at the most", r.CPUPerRequest, r.RSSPeakMB, r.FDPeak)
	var shares []string
	for i, k := range r.Workers {
		if i == 12 {
			shares = append(shares, fmt.Sprintf("and %d more", len(r.Workers)-i))
			break
		}
		shares = append(shares, fmt.Sprintf("%s %.0f%%", k.Name, 100*k.Share))
	}
	row("work by worker", "%s", strings.Join(shares, "  "))
	for _, f := range r.Faults {
		row("trouble", "%.1f to %.1f s: %s %s", f.At, f.Until, f.Kind, f.Whom)
	}
	if u := r.Rude; u != nil {
		row("rude clients", "%d sent: %d answered or closed, %d ignored, %d served", u.Sent, u.Answered, u.Ignored, u.Served)
	}
	if s := r.Started; s != nil {
		row("right after a start", "%d of %d in time within 5 s; of the others' meanwhile %d of %d", s.InTime, s.Tries, s.OtherInTime, s.OtherTries)
	}
	ceiling := ""
	if r.Rig.Ceiling > 0 {
		ceiling = fmt.Sprintf("; ceiling %.0f requests/s straight at a worker", r.Rig.Ceiling)
	}
	row("the rig", "late by %.1f ms at p99, %.1f at the most%s", r.Rig.LagP99, r.Rig.LagMax, ceiling)
	var rules []string
	for _, name := range invariant.Rules {
		rules = append(rules, fmt.Sprintf("%s %d", name, r.Rules[name]))
	}
	row("rules broken", "%s; crashes %d", strings.Join(rules, ", "), r.Crashes)
	if err := t.Flush(); err != nil {
		return err
	}
	for i, b := range r.Breaches {
		if i == breachesShown {
			fmt.Fprintf(w, "... and more; --json keeps the first %d\n", len(r.Breaches))
			break
		}
		fmt.Fprintln(w, b)
	}
	for _, c := range r.CrashNotes {
		fmt.Fprintln(w, "crash:", c)
	}
	if r.RanLate {
		fmt.Fprintln(w, "The rig itself ran late: this machine was too busy, and the figures are worth little.")
	}
	if r.Interrupted {
		fmt.Fprintln(w, "The run was broken off: the figures are of its first part.")
	}
	verdict := "All rules were kept."
	if r.Broken() {
		verdict = "A rule was broken, or a dispatcher crashed."
	}
	_, err := fmt.Fprintln(w, verdict)
	return err
}

func planted(name string) string {
	if name == "" {
		return ""
	}
	return ", planted fault " + name
}

// reasons are the outcomes of a series in a steady order.
func reasons(series []Point) []string {
	seen := map[string]bool{}
	for _, p := range series {
		for k := range p.Outcomes {
			seen[k] = true
		}
	}
	var out []string
	for k := range seen {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
