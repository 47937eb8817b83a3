package dispatch

import "math"

// Weights of the newest value in exponentially weighted moving averages.
const (
	fastEWMAWeight     = 0.2   // of one worker's, kind's or zone's figures: few values are seen
	slowEWMAWeight     = 0.02  // of figures over all workers or requests
	classRunEWMAWeight = 0.005 // of a class's mean run, so that it follows no passing slowdown
)

const (
	// priorRuns is how many runs the slowdown that is taken at the start counts as: one run tells little.
	priorRuns = 4.0

	// maxSlowdownRatio is how many times the fleet's slowdown one run counts for at most.
	maxSlowdownRatio = 20.0

	// unhintedRunShare is the share of its weight that a run has in a worker's slowdown where its work was
	// unknown: then a long run mostly means much work.
	unhintedRunShare = 1.0 / 4
)

// expectedWork is a request's expected work in microseconds on a standard core.
func (d *Dispatcher) expectedWork(r *request) float64 {
	if r.work > 0 {
		return float64(r.work)
	}
	return r.class.meanRun
}

// slowdownOf is a worker's slowdown. What it has not shown itself is taken from its kind.
func (d *Dispatcher) slowdownOf(w *worker) float64 {
	if w.runCount > 0 {
		return w.slowdown
	}
	return w.kind.slowdown
}

// calibrateHint shrinks a hint of a request's work towards the mean as far as hints have said little of run
// times, by a regression of logarithms.
func (c *classState) calibrateHint(hint Time) Time {
	if hint <= 0 {
		return 0
	}
	logHint := math.Log(float64(hint))
	c.meanLogHint += (logHint - c.meanLogHint) * slowEWMAWeight
	slope := min(1, max(0, c.logHintCovariance/c.logHintVariance))
	return Time(math.Exp(c.meanLogHint + slope*(logHint-c.meanLogHint)))
}

// recordRun takes a run's time into the mean of its class and into the regression on hints.
func (c *classState) recordRun(hint Time, run float64) {
	c.runCount++
	c.meanRun += (run - c.meanRun) * max(classRunEWMAWeight, 1/c.runCount)
	if hint <= 0 {
		return
	}
	logHint := math.Log(float64(hint)) - c.meanLogHint
	logRun := math.Log(run+1) - c.meanLogRun
	c.logHintVariance += (logHint*logHint - c.logHintVariance) * slowEWMAWeight
	c.logHintCovariance += (logHint*logRun - c.logHintCovariance) * slowEWMAWeight
	c.meanLogRun += logRun * slowEWMAWeight
}

// recordSlowdown takes a run's slowdown into the mean. Where many dispatchers share the work each sees few
// runs: the first count for more.
func (k *kindState) recordSlowdown(slowdown float64) {
	k.runCount++
	k.slowdown += (slowdown - k.slowdown) * max(slowEWMAWeight, 1/(k.runCount+priorRuns))
}

// recordRunTime takes the time of a successful attempt into all figures on run times.
func (d *Dispatcher) recordRunTime(r *request, a *attempt) {
	w := a.worker
	run, weight := float64(d.now-max(a.startedAt, a.sentAt)), fastEWMAWeight
	if r.work == 0 {
		weight *= unhintedRunShare
	}
	deviation := min(1, math.Abs(run/max(d.expectedWork(r)*d.slowdownOf(w), 1)-1))
	r.class.relativeDeviation += (deviation - r.class.relativeDeviation) * slowEWMAWeight
	r.class.recordRun(r.workHint, run)
	slowdown := min(run/max(d.expectedWork(r), 1), maxSlowdownRatio*d.fleet.slowdown)
	w.slowdown = d.slowdownOf(w) + (slowdown-d.slowdownOf(w))*weight
	w.runCount++
	w.kind.recordSlowdown(slowdown)
	d.fleet.recordSlowdown(slowdown)
}
