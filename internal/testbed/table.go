package testbed

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"birchfork/internal/testbed/report"
)

// Cell is one run of a table.
type Cell struct {
	Row, Column string
	Options     Options
}

// Table plays cells, so many side by side, and prints the medians of those with the same row and column. It tells
// whether a rule was broken in any.
func Table(ctx context.Context, w io.Writer, cells []Cell, side int) (broken bool, err error) {
	results := make([]*report.Report, len(cells))
	errs := make([]error, len(cells))
	places := make(chan struct{}, max(side, 1))
	var all sync.WaitGroup
	for i := range cells {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-places }()
			results[i], errs[i] = Run(ctx, cells[i].Options)
		}()
	}
	all.Wait()
	type key struct{ row, column string }
	groups := map[key][]*report.Report{}
	var order []key
	for i, c := range cells {
		if errs[i] != nil {
			return broken, fmt.Errorf("%s, %s, seed %d: %w", c.Row, c.Column, c.Options.Seed, errs[i])
		}
		if results[i] == nil || results[i].Interrupted {
			continue
		}
		k := key{c.Row, c.Column}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], results[i])
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "day\twho\tgoodput\tfrom\tto\tp99 ms\tretries\tattempts\tCPU us\tMB\tbroken\tlate runs")
	for _, k := range order {
		of := func(f func(*report.Report) float64) []float64 {
			var out []float64
			for _, r := range groups[k] {
				out = append(out, f(r))
			}
			return out
		}
		good := of(func(r *report.Report) float64 { return r.Goodput })
		late, bad := 0, 0
		for _, r := range groups[k] {
			if r.RanLate {
				late++
			}
			if r.Broken() {
				bad++
			}
		}
		broken = broken || bad > 0
		med := func(f func(*report.Report) float64) float64 { return report.Median(of(f)) }
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t%.0f\t%.1f\t%d of %d\t%d\n", k.row, k.column, report.Median(good), minOf(good), maxOf(good),
			med(func(r *report.Report) float64 { return r.Latency.P99 }), med(func(r *report.Report) float64 { return r.RetriesPerRequest }),
			med(func(r *report.Report) float64 { return float64(r.Attempts) / float64(max(r.Tries, 1)) }),
			med(func(r *report.Report) float64 { return r.CPUPerRequest }), med(func(r *report.Report) float64 { return r.RSSPeakMB }),
			bad, len(groups[k]), late)
	}
	return broken, t.Flush()
}

func minOf(v []float64) float64 {
	m := v[0]
	for _, x := range v {
		m = min(m, x)
	}
	return m
}

func maxOf(v []float64) float64 {
	m := v[0]
	for _, x := range v {
		m = max(m, x)
	}
	return m
}
