package report

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// figure is one compared figure of a result: its name, how to read it and the format of its value.
type figure struct {
	name string
	of   func(*Report) float64
	show string
}

var figures = []figure{
	{"goodput", func(r *Report) float64 { return r.Goodput }, "%.4f"},
	{"goodput in trouble", func(r *Report) float64 { return r.GoodputInFault }, "%.4f"},
	{"seconds to recover", func(r *Report) float64 { return r.Recovery }, "%.1f"},
	{"least of a tenant", func(r *Report) float64 { return minOf(r.Tenants) }, "%.4f"},
	{"least of a class", func(r *Report) float64 { return minOf(r.Classes) }, "%.4f"},
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

// ErrDays is returned by Compare for two results of different generated days.
var ErrDays = errors.New("the two results are of different days: what differs is the day as much as the program")

// Compare writes how pairs of results differ; a and b name the two sides. Both results of a pair must be of the same
// day, else it fails with ErrDays. The noise of goodput is given by the spread over the pairs, and within a pair by the
// spread over its intervals.
func Compare(w io.Writer, pairs [][2]*Report, a, b string) error {
	if len(pairs) == 0 {
		return errors.New("there is nothing to compare")
	}
	for _, p := range pairs {
		if p[0].Day != p[1].Day {
			return fmt.Errorf("%w (%s, seed %d: %s; %s, seed %d: %s)", ErrDays, p[0].Scenario, p[0].Seed, p[0].Day, p[1].Scenario, p[1].Seed, p[1].Day)
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "median of %d\t%s\t%s\tdifference\tspread of the differences\n", len(pairs), a, b)
	for _, f := range figures {
		var first, second, diffs []float64
		for _, p := range pairs {
			x, y := f.of(p[0]), f.of(p[1])
			first, second, diffs = append(first, x), append(second, y), append(diffs, x-y)
		}
		slices.Sort(diffs)
		spread := "-"
		if len(diffs) > 1 {
			spread = fmt.Sprintf(f.show+" to "+f.show, diffs[0], diffs[len(diffs)-1])
		}
		fmt.Fprintf(t, "%s\t"+f.show+"\t"+f.show+"\t"+f.show+"\t%s\n", f.name, Median(first), Median(second), Median(diffs), spread)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range pairs {
		mean, noise := noise(p[0], p[1])
		fmt.Fprintf(w, "%s, seed %d: goodput differs by %+.4f, standard error %.4f over its stretches: %s\n", p[0].Scenario, p[0].Seed, mean, noise, verdict(mean, noise))
	}
	return nil
}

func verdict(mean, noise float64) string {
	switch {
	case math.Abs(mean) <= 2*noise:
		return "within the noise"
	case mean > 0:
		return "the first is better"
	default:
		return "the second is better"
	}
}

// noise returns the difference of goodput and its standard error, from the spread over the intervals of the run weighted
// by worth.
func noise(a, b *Report) (mean, se float64) {
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
	for i := range diffs {
		w := weights[i] / total
		se += w * w * (diffs[i] - mean) * (diffs[i] - mean)
	}
	return mean, math.Sqrt(se)
}

// Median returns the median of v, or 0 for an empty slice; v keeps its order.
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

// minOf returns the goodput of the worst-served part.
func minOf(parts []PartLine) float64 {
	least := 1.0
	for _, p := range parts {
		if p.Requests > 0 {
			least = min(least, p.Goodput)
		}
	}
	return least
}
