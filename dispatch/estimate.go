package dispatch

import "math"

// Weights of the newest value in exponentially weighted moving averages.
const (
	fastEWMAWeight     = 0.2   // for one worker, kind or zone, which have few values
	slowEWMAWeight     = 0.02  // for all workers or requests
	classRunEWMAWeight = 0.005 // for a class's mean run time, which must not follow a temporary slowdown
)

const (
	// priorRuns is the weight of the assumed initial slowdown, in runs: a single run is not significant.
	priorRuns = 4.0

	// maxSlowdownRatio is the upper bound of one run's slowdown, in multiples of the fleet's slowdown.
	maxSlowdownRatio = 20.0

	// unhintedRunFactor is the factor on the weight of a run in a worker's slowdown if its work was unknown:
	// a long run then usually has much work.
	unhintedRunFactor = 1.0 / 4
)

// expectedWork returns a request's expected work in microseconds on a standard core.
func (d *Dispatcher) expectedWork(r *request) float64 {
	if r.work > 0 {
		return float64(r.work)
	}
	return r.class.meanRun
}

// slowdownOf returns a worker's slowdown, or its kind's until it has completed a run.
func (d *Dispatcher) slowdownOf(w *worker) float64 {
	if w.runCount > 0 {
		return w.slowdown
	}
	return w.kind.slowdown
}

// calibrateHint shrinks a hint of a request's work towards the mean, by a regression of logarithms. The less
// accurately hints have predicted run times, the more it shrinks the hint.
func (c *classState) calibrateHint(hint Time) Time {
	if hint <= 0 {
		return 0
	}
	logHint := math.Log(float64(hint))
	c.meanLogHint += (logHint - c.meanLogHint) * slowEWMAWeight
	slope := min(1, max(0, c.logHintCovariance/c.logHintVariance))
	return Time(math.Exp(c.meanLogHint + slope*(logHint-c.meanLogHint)))
}

// recordRun adds a run time to the mean of its class and to the regression on hints.
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

// recordSlowdown adds a run's slowdown to the mean. The first runs have more weight, since each of many
// dispatchers observes few runs.
func (k *kindState) recordSlowdown(slowdown float64) {
	k.runCount++
	k.slowdown += (slowdown - k.slowdown) * max(slowEWMAWeight, 1/(k.runCount+priorRuns))
}

// recordRunTime adds the run time of a successful attempt to all estimates of run times.
func (d *Dispatcher) recordRunTime(r *request, a *attempt) {
	w := a.worker
	run, weight := float64(d.now-max(a.startedAt, a.sentAt)), fastEWMAWeight
	if r.work == 0 {
		weight *= unhintedRunFactor
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
