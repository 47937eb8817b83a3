package dispatch

import "math"

// recentCount is a count of recent requests that decays exponentially, with the overload window as the time
// constant.
type recentCount struct {
	count     float64 // as of countedAt
	countedAt Time
}

// add counts a request.
func (c *recentCount) add(now, window Time) {
	c.count = c.at(now, window) + 1
	c.countedAt = now
}

// at returns the decayed count at the time now.
func (c *recentCount) at(now, window Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-float64(now-c.countedAt)/float64(max(window, 1)))
}
