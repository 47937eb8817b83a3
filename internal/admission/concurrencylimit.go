package admission

import (
	"math"
	"time"
)

// Parameters of the adaptive limit.
const (
	adaptWindow      = 250 * time.Millisecond // the limit changes at most once per window
	minSamples       = 5                      // minimum number of outcomes in a window for a change of the limit
	maxLateFraction  = 0.1                    // fraction of late outcomes above which the limit decreases
	decreaseFactor   = 0.9                    // factor by which the limit decreases
	increaseFraction = 0.04                   // step by which the limit increases, as a fraction of its maximum
)

const (
	contentionThreshold = 0.75 // minimum fraction of the limit in use that counts as contention
	priorityReserve     = 0.3  // fraction of the limit that is unavailable to the lowest priority
)

// concurrencyLimit limits the open requests of all routes. An adaptive limit changes with the fraction of late outcomes,
// by additive increase and multiplicative decrease, and never exceeds the configured maximum.
type concurrencyLimit struct {
	maxOpen  int // 0: no limit
	minOpen  int
	adaptive bool

	open    int
	current float64 // current limit, at most maxOpen; 0: no limit

	windowStart time.Duration
	timely      int // timely outcomes in the window
	late        int // late outcomes in the window
	peakOpen    int // maximum of open in the window
}

// configure sets the bounds. An adaptive limit keeps its current value if the maximum is unchanged.
func (c *concurrencyLimit) configure(config *Config) {
	sameMax := c.maxOpen == config.MaxOpen
	c.maxOpen = config.MaxOpen
	c.minOpen = config.MinOpen
	c.adaptive = config.Adaptive
	if c.current == 0 || !sameMax || !c.adaptive {
		c.current = float64(c.maxOpen)
	}
}

// limited reports whether there is a limit.
func (c *concurrencyLimit) limited() bool { return c.current > 0 }

// full reports whether the limit is reached.
func (c *concurrencyLimit) full() bool { return float64(c.open) >= math.Floor(c.current) }

// isReservedFrom reports whether the remaining capacity is reserved for priorities above the given one.
func (c *concurrencyLimit) isReservedFrom(priority int) bool {
	reserved := priorityReserve * float64(MaxPriority-priority) / MaxPriority
	return float64(c.open) >= c.current*(1-reserved)
}

// contended reports whether enough of the limit is in use for tenant quotas to apply.
func (c *concurrencyLimit) contended() bool { return float64(c.open) >= contentionThreshold*c.current }

func (c *concurrencyLimit) acquire() {
	c.open++
	c.peakOpen = max(c.peakOpen, c.open)
}

func (c *concurrencyLimit) release() { c.open-- }

// record counts an outcome in the current window.
func (c *concurrencyLimit) record(outcome Outcome) {
	switch outcome {
	case Timely:
		c.timely++
	case Late:
		c.late++
	case Ignored:
	}
}

// adapt changes the limit according to the outcomes in the window, once the window has ended.
func (c *concurrencyLimit) adapt(now time.Duration) {
	windowEnded := now >= c.windowStart+adaptWindow
	if !c.adaptive || c.maxOpen == 0 || !windowEnded {
		return
	}
	samples := c.timely + c.late
	switch {
	case samples >= minSamples:
		c.adjust(samples)
	case c.open == 0:
		c.current = float64(c.maxOpen) // without open requests, there is no load to limit
	}
	c.windowStart = now
	c.timely = 0
	c.late = 0
	c.peakOpen = c.open
}

// adjust decreases the limit if too many outcomes were late. Otherwise it increases the limit if it was in use.
func (c *concurrencyLimit) adjust(samples int) {
	tooManyLate := float64(c.late) > maxLateFraction*float64(samples)
	inUse := float64(c.peakOpen) >= contentionThreshold*c.current
	switch {
	case tooManyLate:
		// The decrease starts at the peak in use: decreasing a limit far above that would have no effect for a long time.
		lowered := min(c.current, float64(c.peakOpen)) * decreaseFactor
		c.current = max(float64(min(c.minOpen, c.maxOpen)), lowered, 1)
	case inUse:
		step := max(1, increaseFraction*float64(c.maxOpen))
		c.current = min(float64(c.maxOpen), c.current+step)
	}
}
