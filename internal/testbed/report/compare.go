package report

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// metric is one compared value of a result.
type metric struct {
	name   string
	value  func(*Report) float64
	format string // of the value
}

var metrics = []metric{
	{"goodput", func(r *Report) float64 { return r.Goodput }, "%.4f"},
	{"goodput in trouble", func(r *Report) float64 { return r.GoodputInFault }, "%.4f"},
	{"seconds to recover", func(r *Report) float64 { return r.Recovery }, "%.1f"},
	{"least of a tenant", func(r *Report) float64 { return lowestGoodput(r.Tenants) }, "%.4f"},
	{"least of a class", func(r *Report) float64 { return lowestGoodput(r.Classes) }, "%.4f"},
	{"served in time", func(r *Report) float64 { return float64(r.ServedInTime) }, "%.0f"},
	{"refused", func(r *Report) float64 { return float64(r.Refused) }, "%.0f"},
	{"failed", func(r *Report) float64 { return float64(r.Failed) }, "%.0f"},
	{"lost", func(r *Report) float64 { return float64(r.Lost) }, "%.0f"},
	{"p50 ms", func(r *Report) float64 { return r.Latency.P50 }, "%.1f"},
	{"p99 ms", func(r *Report) float64 { return r.Latency.P99 }, "%.1f"},
	{"retries a request", func(r *Report) float64 { return r.RetriesPerRequest }, "%.3f"},
	{"CPU us a request", func(r *Report) float64 { return r.CPUPerRequest }, "%.0f"},
	{"memory MB", func(r *Report) float64 { return r.RSSPeakMB }, "%.1f"},
	{"rules broken", func(r *Report) float64 {
		n := 0
		for _, v := range r.Rules {
			n += v
		}
		return float64(n)
	}, "%.0f"},
	{"crashes", func(r *Report) float64 { return float64(r.Crashes) }, "%.0f"},
}

// ErrDifferentWorkloads is returned by Compare for two results of different generated requests, workers or faults: the results
// would differ by these as much as by the program.
var ErrDifferentWorkloads = errors.New("results of different workloads cannot be compared")

// Compare writes the differences between pairs of results; a and b name the two sides. It fails with
// ErrDifferentWorkloads if the results of a pair have different schedule digests. The range over the pairs and, within a
// pair, the standard error over the intervals show the noise of goodput.
func Compare(w io.Writer, pairs [][2]*Report, a, b string) error {
	if len(pairs) == 0 {
		return errors.New("no results to compare")
	}
	for _, p := range pairs {
		if p[0].ScheduleDigest != p[1].ScheduleDigest {
			return fmt.Errorf("%w (%s, seed %d: %s; %s, seed %d: %s)", ErrDifferentWorkloads, p[0].Scenario, p[0].Seed, p[0].ScheduleDigest, p[1].Scenario, p[1].Seed, p[1].ScheduleDigest)
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "median of %d\t%s\t%s\tdifference\tspread of the differences\n", len(pairs), a, b)
	for _, m := range metrics {
		var first, second, diffs []float64
		for _, p := range pairs {
			x, y := m.value(p[0]), m.value(p[1])
			first, second, diffs = append(first, x), append(second, y), append(diffs, x-y)
		}
		slices.Sort(diffs)
		diffRange := "-"
		if len(diffs) > 1 {
			diffRange = fmt.Sprintf(m.format+" to "+m.format, diffs[0], diffs[len(diffs)-1])
		}
		fmt.Fprintf(t, "%s\t"+m.format+"\t"+m.format+"\t"+m.format+"\t%s\n", m.name, Median(first), Median(second), Median(diffs), diffRange)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range pairs {
		mean, standardError := goodputDifference(p[0], p[1])
		fmt.Fprintf(w, "%s, seed %d: goodput differs by %+.4f, standard error %.4f over its stretches: %s\n",
			p[0].Scenario, p[0].Seed, mean, standardError, verdict(mean, standardError))
	}
	return nil
}

// verdict returns which side is better; a difference of up to two standard errors is noise.
func verdict(mean, standardError float64) string {
	switch {
	case math.Abs(mean) <= 2*standardError:
		return "within the noise"
	case mean > 0:
		return "the first is better"
	default:
		return "the second is better"
	}
}

// goodputDifference returns the mean difference of goodput and its standard error, over the intervals of the run weighted by
// their value. The standard error is infinite if fewer than two intervals can be compared.
func goodputDifference(a, b *Report) (mean, standardError float64) {
	var diffs, weights []float64
	total := 0.0
	for i := range min(len(a.Series), len(b.Series)) {
		x, y := a.Series[i], b.Series[i]
		if x.Value > 0 && y.Value > 0 {
			diffs, weights = append(diffs, x.Good/x.Value-y.Good/y.Value), append(weights, x.Value)
			total += x.Value
		}
	}
	if len(diffs) < 2 {
		return a.Goodput - b.Goodput, math.Inf(1)
	}
	for i := range diffs {
		mean += diffs[i] * weights[i] / total
	}
	variance := 0.0
	for i := range diffs {
		w := weights[i] / total
		variance += w * w * (diffs[i] - mean) * (diffs[i] - mean)
	}
	return mean, math.Sqrt(variance)
}

// Median returns the median of v, or 0 for an empty slice. It does not change v.
func Median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	if len(s)%2 == 1 {
		return s[len(s)/2]
	}
	return (s[len(s)/2-1] + s[len(s)/2]) / 2
}

// lowestGoodput returns the lowest goodput of the classes or tenants, or 1 without requests.
func lowestGoodput(parts []PartLine) float64 {
	lowest := 1.0
	for _, p := range parts {
		if p.Requests > 0 {
			lowest = min(lowest, p.Goodput)
		}
	}
	return lowest
}
