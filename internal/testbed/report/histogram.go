package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram collects latencies in microseconds, up to an hour, to three significant digits. It is not safe for
// concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

// Add records a duration; one below a microsecond counts as one microsecond.
func (h Histogram) Add(d time.Duration) {
	_ = h.h.RecordValue(max(1, d.Microseconds())) // fails only for more than an hour: no run takes that long
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
