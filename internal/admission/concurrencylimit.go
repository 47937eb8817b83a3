package admission

import (
	"math"
	"time"
)

// How the adaptive limit works.
const (
	adaptWindow      = 250 * time.Millisecond // the limit changes at most once in this time
	minSamples       = 5                      // outcomes in a window that are enough to judge by
	maxLateFraction  = 0.1                    // the part of the outcomes that may be late
	decreaseFactor   = 0.9                    // the limit is multiplied by this where more are late
	increaseFraction = 0.04                   // the limit grows by this part of its maximum where none are, if it is in use
)

const (
	contentionThreshold = 0.75 // the part of the limit in use from which there is contention
	priorityReserve     = 0.3  // the part of the limit that the lowest priority leaves to the highest
)

// concurrencyLimit bounds the open requests over all routes. Where it is adaptive, it follows measured service by
// additive increase and multiplicative decrease, and never exceeds the configured maximum.
type concurrencyLimit struct {
	maxOpen  int // 0: no limit
	minOpen  int
	adaptive bool

	open    int
	current float64 // at most maxOpen

	windowStart time.Duration
	timely      int // outcomes in the window
	late        int
	peakOpen    int // the most open requests in the window
}

// configure changes the bounds. An adaptive limit keeps its value where its maximum stays the same.
func (c *concurrencyLimit) configure(config *Config) {
	sameMax := c.maxOpen == config.MaxOpen
	c.maxOpen = config.MaxOpen
	c.minOpen = config.MinOpen
	c.adaptive = config.Adaptive
	if c.current == 0 || !sameMax || !c.adaptive {
		c.current = float64(c.maxOpen)
	}
}

// limited reports whether there is a limit at all.
func (c *concurrencyLimit) limited() bool { return c.current > 0 }

// full reports whether as many requests are open as may be.
func (c *concurrencyLimit) full() bool { return float64(c.open) >= math.Floor(c.current) }

// reservedFrom reports whether what is left is reserved for priorities above the given one.
func (c *concurrencyLimit) reservedFrom(priority int) bool {
	reserved := priorityReserve * float64(MaxPriority-priority) / MaxPriority
	return float64(c.open) >= c.current*(1-reserved)
}

// contended reports whether so much of the limit is in use that tenants are held to their quotas.
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

// adapt changes the limit by what the window that has ended showed. It does nothing within a window.
func (c *concurrencyLimit) adapt(now time.Duration) {
	windowEnded := now >= c.windowStart+adaptWindow
	if !c.adaptive || c.maxOpen == 0 || !windowEnded {
		return
	}
	samples := c.timely + c.late
	switch {
	case samples >= minSamples:
		c.follow(samples)
	case c.open == 0:
		c.current = float64(c.maxOpen) // nothing is open, so there is no contention
	}
	c.windowStart = now
	c.timely = 0
	c.late = 0
	c.peakOpen = c.open
}

// follow lowers the limit where too many outcomes were late, and raises it where none were and it was in use.
func (c *concurrencyLimit) follow(samples int) {
	tooMuchLate := float64(c.late) > maxLateFraction*float64(samples)
	inUse := float64(c.peakOpen) >= contentionThreshold*c.current
	switch {
	case tooMuchLate:
		// From what was in use: a limit far above it would be lowered for long without any effect.
		lowered := min(c.current, float64(c.peakOpen)) * decreaseFactor
		c.current = max(float64(min(c.minOpen, c.maxOpen)), lowered, 1)
	case inUse:
		step := max(1, increaseFraction*float64(c.maxOpen))
		c.current = min(float64(c.maxOpen), c.current+step)
	}
}
