package admission

import (
	"math"
	"time"
)

// Parameters of the adaptive limit.
const (
	adaptWindow      = 250 * time.Millisecond // the limit changes at most once in this time
	minSamples       = 5                      // minimum number of outcomes in a window to adapt the limit
	maxLateFraction  = 0.1                    // fraction of the outcomes that may be late
	decreaseFactor   = 0.9                    // factor on the limit if more are late
	increaseFraction = 0.04                   // growth of the limit, as a fraction of its maximum, if no more are late and it is in use
)

const (
	contentionThreshold = 0.75 // fraction of the limit in use from which there is contention
	priorityReserve     = 0.3  // fraction of the limit that the lowest priority leaves to the highest
)

// concurrencyLimit limits the open requests over all routes. An adaptive limit follows the measured service by additive
// increase and multiplicative decrease, and never exceeds the configured maximum.
type concurrencyLimit struct {
	maxOpen  int // 0: no limit
	minOpen  int
	adaptive bool

	open    int
	current float64 // at most maxOpen

	windowStart time.Duration
	timely      int // outcomes in the window
	late        int
	peakOpen    int // maximum of open in the window
}

// configure changes the bounds. An adaptive limit keeps its value if its maximum is unchanged.
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

// full reports whether the limit on open requests is reached.
func (c *concurrencyLimit) full() bool { return float64(c.open) >= math.Floor(c.current) }

// isReservedFrom reports whether the rest of the limit is reserved for priorities above the given one.
func (c *concurrencyLimit) isReservedFrom(priority int) bool {
	reserved := priorityReserve * float64(MaxPriority-priority) / MaxPriority
	return float64(c.open) >= c.current*(1-reserved)
}

// contended reports whether so much of the limit is in use that tenants are limited to their quotas.
func (c *concurrencyLimit) contended() bool { return float64(c.open) >= contentionThreshold*c.current }

func (c *concurrencyLimit) acquire() {
	c.open++
	c.peakOpen = max(c.peakOpen, c.open)
}

func (c *concurrencyLimit) release() { c.open-- }

// record counts an outcome of the current window.
func (c *concurrencyLimit) record(outcome Outcome) {
	switch outcome {
	case Timely:
		c.timely++
	case Late:
		c.late++
	case Ignored:
	}
}

// adapt changes the limit according to the window that has ended. It has no effect within a window.
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
		c.current = float64(c.maxOpen) // nothing is open, so there is no contention
	}
	c.windowStart = now
	c.timely = 0
	c.late = 0
	c.peakOpen = c.open
}

// adjust lowers the limit if too many outcomes were late, and otherwise raises it if it was in use.
func (c *concurrencyLimit) adjust(samples int) {
	tooManyLate := float64(c.late) > maxLateFraction*float64(samples)
	inUse := float64(c.peakOpen) >= contentionThreshold*c.current
	switch {
	case tooManyLate:
		// Starts from what was in use: lowering a limit far above it would have no effect for a long time.
		lowered := min(c.current, float64(c.peakOpen)) * decreaseFactor
		c.current = max(float64(min(c.minOpen, c.maxOpen)), lowered, 1)
	case inUse:
		step := max(1, increaseFraction*float64(c.maxOpen))
		c.current = min(float64(c.maxOpen), c.current+step)
	}
}
