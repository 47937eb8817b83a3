package dispatch

import "math"

// recentCount counts recent requests: each counts less as time passes, with the overload window as the time
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

// at returns the number of recent requests.
func (c *recentCount) at(now, window Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-float64(now-c.countedAt)/float64(max(window, 1)))
}
