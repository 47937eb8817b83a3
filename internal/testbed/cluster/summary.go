package cluster

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary aggregates the results of runs. Its zero value is ready to use.
type Summary struct {
	Runs, Failed, Machines int
	took, silence          *hdrhistogram.Histogram // milliseconds
}

// newTimeHistogram returns a histogram of milliseconds up to an hour.
func newTimeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
}

// Add adds the result of a run.
func (s *Summary) Add(r *Result) {
	if s.took == nil {
		s.took, s.silence = newTimeHistogram(), newTimeHistogram()
	}
	s.Runs++
	s.Machines += len(r.MaintenanceWindows)
	if len(r.violationCounts()) > 0 {
		s.Failed++
	}
	// Both values are below the histograms' maximum of one hour, because a run is shorter.
	_ = s.silence.RecordValue(r.Silence.Milliseconds())
	if r.Ended > r.Origin {
		_ = s.took.RecordValue((r.Ended - r.Origin).Milliseconds())
	}
}

// Line returns the summary as one human-readable line.
func (s *Summary) Line() string {
	if s.took == nil {
		return "no run"
	}
	seconds := func(milliseconds int64) float64 { return float64(milliseconds) / 1000 }
	return fmt.Sprintf("%d runs, %d with a violated rule or a crash; %d machines maintained; %d plans ended, median %.1f s, maximum %.1f s; "+
		"longest time without a confirmed reply: median %.1f s, maximum %.1f s",
		s.Runs, s.Failed, s.Machines, s.took.TotalCount(), seconds(s.took.ValueAtQuantile(50)), seconds(s.took.Max()),
		seconds(s.silence.ValueAtQuantile(50)), seconds(s.silence.Max()))
}
