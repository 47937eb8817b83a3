package fakes

// Slow makes all work take factor times as long; a factor of 1 ends that.
func (w *Worker) Slow(factor float64) { w.changeMachine(func(m *Machine) { m.Slow(factor) }) }

// Hang stops or resumes all work.
func (w *Worker) Hang(on bool) { w.changeMachine(func(m *Machine) { m.Hang(on) }) }

// SetFailureRate makes a share of the jobs fail at once; 0 ends that.
func (w *Worker) SetFailureRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failureRate = rate
}

// FailFor makes all jobs of one dispatcher fail at once, or ends that.
func (w *Worker) FailFor(dispatcher int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingDispatchers == nil {
		w.failingDispatchers = map[int]bool{}
	}
	w.failingDispatchers[dispatcher] = on
}

// Partition cuts the link between the worker and one dispatcher, or heals it. Healing resets the connections that were open.
func (w *Worker) Partition(dispatcher int, on bool) {
	l := w.linkTo(dispatcher)
	if l == nil {
		return
	}
	if on {
		l.partition()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.heal()
	l.resetConns()
}

// linkTo returns the link to a dispatcher, or nil where the worker is not running.
func (w *Worker) linkTo(dispatcher int) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil || dispatcher >= len(w.links) {
		return nil
	}
	return w.links[dispatcher]
}
