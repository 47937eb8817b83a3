package simulation

import "slices"

// maxMinimizeTries limits the histories that Minimize simulates, which take a few seconds in total.
const maxMinimizeTries = 400

// Minimize returns the options and the result of the shortest history that it finds with the same first violated rule. It ends the history
// at the violation and removes sequences of faults, first all of them, then half of them and so on down to single ones. If the history
// violates no rule, it returns the options unchanged except that Trace is nil.
func Minimize(options Options) (Options, *Result, error) {
	options.Trace = nil
	result, err := Simulate(options)
	if err != nil || result.violatedRule() == "" {
		return options, result, err
	}
	if options.Faults == nil {
		options.Faults = RandomFaults(options)
	}
	options.Ticks = result.Ticks
	options.Faults = slices.DeleteFunc(slices.Clone(options.Faults), func(f Fault) bool { return f.Tick >= options.Ticks })
	m := &minimizer{options: options, result: result, tries: maxMinimizeTries}
	for size := len(options.Faults); size > 0; {
		reduced, err := m.removeFaults(size)
		if err != nil {
			return m.options, m.result, err
		}
		remaining := len(m.options.Faults)
		if !reduced || size > remaining {
			size = min(size/2, remaining)
		}
	}
	return m.options, m.result, nil
}

// minimizer holds the shortest history found so far.
type minimizer struct {
	options Options
	result  *Result
	tries   int // remaining number of histories to simulate
}

// removeFaults removes each sequence of size consecutive faults without which the history still violates its rule. It reports whether it
// removed any.
func (m *minimizer) removeFaults(size int) (bool, error) {
	reduced := false
	for at := 0; at < len(m.options.Faults) && m.tries > 0; m.tries-- {
		candidate := m.options
		end := min(at+size, len(candidate.Faults))
		candidate.Faults = slices.Delete(slices.Clone(candidate.Faults), at, end)
		result, err := Simulate(candidate)
		if err != nil {
			return reduced, err
		}
		if result.violatedRule() != m.result.violatedRule() {
			at += size
			continue
		}
		candidate.Ticks = min(candidate.Ticks, result.Ticks)
		m.options, m.result, reduced = candidate, result, true
	}
	return reduced, nil
}
