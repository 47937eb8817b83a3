package testbed

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"birchfork/internal/testbed/report"
)

// Cell is one run of a table. Several runs may have the same row and column.
type Cell struct {
	Row, Column string
	Options     Options
}

// cellGroup holds the results of the cells with one row and column.
type cellGroup struct {
	row, column string
	results     []*report.Report
}

// Table runs cells, at most parallel at a time, and prints the medians of those with the same row and column. It reports
// whether a rule was violated or a dispatcher crashed in any run.
func Table(ctx context.Context, w io.Writer, cells []Cell, parallel int) (broken bool, err error) {
	results, errs := runCells(ctx, cells, parallel)
	groups, err := groupResults(cells, results, errs)
	if err != nil {
		return false, err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "day\twho\tgoodput\tfrom\tto\tp99 ms\tretries\tattempts\tCPU us\tMB\tbroken\tlate runs")
	for _, g := range groups {
		g.writeRow(t)
		broken = broken || g.count((*report.Report).Broken) > 0
	}
	return broken, t.Flush()
}

// runCells runs cells, at most parallel at a time, until ctx ends. The result of a cell that was not started is nil.
func runCells(ctx context.Context, cells []Cell, parallel int) ([]*report.Report, []error) {
	results := make([]*report.Report, len(cells))
	errs := make([]error, len(cells))
	slots := make(chan struct{}, max(parallel, 1))
	var running sync.WaitGroup
	for i := range cells {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			results[i], errs[i] = Run(ctx, cells[i].Options)
		}()
	}
	running.Wait()
	return results, errs
}

// groupResults groups the complete results by row and column, in the order of the cells. It returns the first error of a
// cell.
func groupResults(cells []Cell, results []*report.Report, errs []error) ([]*cellGroup, error) {
	var groups []*cellGroup
	for i, c := range cells {
		if errs[i] != nil {
			return nil, fmt.Errorf("%s, %s, seed %d: %w", c.Row, c.Column, c.Options.Seed, errs[i])
		}
		if results[i] == nil || results[i].Interrupted {
			continue
		}
		at := slices.IndexFunc(groups, func(g *cellGroup) bool { return g.row == c.Row && g.column == c.Column })
		if at < 0 {
			at = len(groups)
			groups = append(groups, &cellGroup{row: c.Row, column: c.Column})
		}
		groups[at].results = append(groups[at].results, results[i])
	}
	return groups, nil
}

// writeRow writes the medians of a group as a row of the table.
func (g *cellGroup) writeRow(w io.Writer) {
	median := func(value func(*report.Report) float64) float64 { return report.Median(g.values(value)) }
	goodput := g.values(func(r *report.Report) float64 { return r.Goodput })
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t%.0f\t%.1f\t%d of %d\t%d\n", g.row, g.column,
		report.Median(goodput), slices.Min(goodput), slices.Max(goodput),
		median(func(r *report.Report) float64 { return r.Latency.P99 }),
		median(func(r *report.Report) float64 { return r.RetriesPerRequest }),
		median(func(r *report.Report) float64 { return float64(r.Attempts) / float64(max(r.Tries, 1)) }),
		median(func(r *report.Report) float64 { return r.CPUPerRequest }),
		median(func(r *report.Report) float64 { return r.RSSPeakMB }),
		g.count((*report.Report).Broken), len(g.results),
		g.count(func(r *report.Report) bool { return r.RanLate }))
}

// values returns one value of each result.
func (g *cellGroup) values(value func(*report.Report) float64) []float64 {
	out := make([]float64, 0, len(g.results))
	for _, r := range g.results {
		out = append(out, value(r))
	}
	return out
}

// count returns the number of results that meet a condition.
func (g *cellGroup) count(condition func(*report.Report) bool) int {
	n := 0
	for _, r := range g.results {
		if condition(r) {
			n++
		}
	}
	return n
}
