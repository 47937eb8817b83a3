package simulation

import "slices"

// maxMinimizeTries bounds the histories that Minimize simulates, to a few seconds.
const maxMinimizeTries = 400

// Minimize returns the shortest history that it finds with the same first violated rule, and its result. It ends the history with the
// violation, and leaves out faults in runs of all of them, half of them and so on down to single ones. Options whose history violates
// no rule come back as they are, without a trace.
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
		reduced, err := m.removeRuns(size)
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

// minimizer has the shortest history that Minimize has found so far.
type minimizer struct {
	options Options
	result  *Result
	tries   int // histories that may still be simulated
}

// removeRuns leaves out each run of some consecutive faults without which the history still violates its rule, and reports whether
// there was one.
func (m *minimizer) removeRuns(size int) (bool, error) {
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
