package report

import "math"

// Service counts as recovered when goodput is at least recoveredShare of its median before the first fault, in
// recoveredIntervals consecutive intervals. notRecovered is the recovery time of a run in which that did not happen.
const (
	recoveredShare     = 0.95
	recoveredIntervals = 3
	notRecovered       = -1.0
)

// SummarizeFaults computes GoodputInFault and Recovery from the series and the faults. Both are 0 without a fault.
func (r *Report) SummarizeFaults() {
	r.GoodputInFault, r.Recovery = 0, 0
	if len(r.Faults) == 0 {
		return
	}
	firstBegin, lastEnd := math.Inf(1), 0.0
	for _, f := range r.Faults {
		firstBegin = min(firstBegin, f.At)
		lastEnd = max(lastEnd, f.At, f.Until)
	}
	r.GoodputInFault = r.goodputInFault()
	r.Recovery = r.recovery(firstBegin, lastEnd)
}

// goodputInFault returns the goodput of the intervals that begin while a fault is active.
func (r *Report) goodputInFault() float64 {
	good, value := 0.0, 0.0
	for _, p := range r.Series {
		if r.isInFault(p.At) {
			good += p.Good
			value += p.Value
		}
	}
	if value > 0 {
		return good / value
	}
	return 0
}

// isInFault reports whether a fault is active at a time.
func (r *Report) isInFault(at float64) bool {
	for _, f := range r.Faults {
		if at >= f.At && at < f.Until {
			return true
		}
	}
	return false
}

// recovery returns the time in seconds from the end of the last fault to the first of the consecutive intervals in which
// service counts as recovered, or notRecovered. Intervals without a request are skipped.
func (r *Report) recovery(firstBegin, lastEnd float64) float64 {
	required := recoveredShare * r.goodputBefore(firstBegin)
	recovered := 0
	for _, p := range r.Series {
		if p.At < lastEnd || p.Value == 0 {
			continue
		}
		if p.Good/p.Value < required {
			recovered = 0
			continue
		}
		recovered++
		if recovered == recoveredIntervals {
			length := r.Series[1].At - r.Series[0].At
			return max(0, p.At-lastEnd-float64(recoveredIntervals-1)*length)
		}
	}
	return notRecovered
}

// goodputBefore returns the median goodput of the intervals that begin before a time.
func (r *Report) goodputBefore(at float64) float64 {
	var goodputs []float64
	for _, p := range r.Series {
		if p.Value > 0 && p.At < at {
			goodputs = append(goodputs, p.Good/p.Value)
		}
	}
	return Median(goodputs)
}
