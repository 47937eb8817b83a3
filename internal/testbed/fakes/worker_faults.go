package fakes

// Slow makes all work take factor times as long; 1 restores the normal speed.
func (w *Worker) Slow(factor float64) { w.changeMachine(func(m *Machine) { m.Slow(factor) }) }

// Hang stops or resumes all work.
func (w *Worker) Hang(on bool) { w.changeMachine(func(m *Machine) { m.Hang(on) }) }

// SetFailureRate makes a share of new jobs fail shortly after they begin; 0 ends that.
func (w *Worker) SetFailureRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failureRate = rate
}

// FailFor makes all new jobs of one dispatcher fail shortly after they begin, or ends that.
func (w *Worker) FailFor(dispatcher int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingDispatchers == nil {
		w.failingDispatchers = map[int]bool{}
	}
	w.failingDispatchers[dispatcher] = on
}

// Partition partitions the link between the worker and one dispatcher, or heals it. Healing resets the connections that were
// open.
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

// linkTo returns the link to a dispatcher, or nil if the worker is not running.
func (w *Worker) linkTo(dispatcher int) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine == nil || dispatcher >= len(w.links) {
		return nil
	}
	return w.links[dispatcher]
}
