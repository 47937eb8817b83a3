package dispatch

import (
	"os"
	"strconv"
	"testing"
)

// soakSeedsVariable is the environment variable with the number of seeds for which each day is played; 1 without it.
const soakSeedsVariable = "SLOW_START_SEEDS"

// budgetDays are days on which workers that are warming up must not be sent more than their budget. Each changes the plain day,
// and states which part of their least capacity these workers are sent at least.
var budgetDays = []struct {
	name    string
	minUsed float64
	change  func(*simDay)
}{
	{"plain", 0.3, func(*simDay) {}},
	{"few slots", 0.2, func(d *simDay) { d.slots = []int{1, 1, 2} }},
	{"burst", 0.5, func(d *simDay) { d.burst = 2.2 }},
	{"burst, few slots, many dispatchers", 0.3, func(d *simDay) { d.burst, d.slots, d.dispatchers = 2.2, []int{1, 1, 2}, 177 }},
	{"burst, clients retry", 0.5, func(d *simDay) { d.burst, d.clientRetries = 2.2, true }},
	{"twice the capacity", 0.5, func(d *simDay) { d.load, d.clientRetries = 2, true }},
	{"all others slower", 0.4, func(d *simDay) { d.slow, d.slowFactor, d.load = 17, 1.5, 1 }},
	{"all others far slower, many dispatchers", 0.4, func(d *simDay) { d.slow, d.slowFactor, d.load, d.dispatchers = 15, 3, 0.75, 177 }},
	{"large workers, burst", 0.4, func(d *simDay) { d.slots, d.burst, d.workers = []int{16}, 2.2, 12 }},
	{"most fail", 0.15, func(d *simDay) { d.failing, d.load = 14, 0.75 }},
	{"uneven burst, many", 0.4, func(d *simDay) { d.uneven, d.burst, d.dispatchers, d.slots = true, 2.2, 177, []int{2} }},
	{"a third slower, many dispatchers", 0.4, func(d *simDay) { d.slow, d.slowFactor, d.dispatchers = 6, 3, 180 }},
	{"half hang", 0.2, func(d *simDay) { d.hung = 9 }},
	{"a third fails", 0.2, func(d *simDay) { d.failing = 6 }},
	{"all others hang", 0.2, func(d *simDay) { d.hung = 15 }},
	{"half warm up", 0.4, func(d *simDay) { d.warming = 9 }},
	{"all warm up", 0.2, func(d *simDay) { d.warming, d.burst = 18, 2.2 }},
	{"one dispatcher", 0.2, func(d *simDay) { d.dispatchers, d.workers, d.load = 1, 8, 1.2 }},
	{"one dispatcher, few slots", 0.1, func(d *simDay) { d.dispatchers, d.slots, d.load = 1, []int{1, 1, 2}, 1.2 }},
	{"restarts", 0.3, func(d *simDay) { d.restartsEach, d.burst = 150*ms, 2.2 }},
	{"reloads", 0.3, func(d *simDay) { d.reloadsEach = Second }},
	{"uneven traffic", 0.3, func(d *simDay) { d.uneven, d.load = true, 1 }},
	{"light load", 0.15, func(d *simDay) { d.load = 0.4 }},
}

// Incident 6b9c04, the decisions alone: whatever arrives, and whatever the others do, all dispatchers together keep a warming
// worker's budget, and still use the worker.
func TestSlowStart_FleetKeepsBudget(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv(soakSeedsVariable))
	if err != nil {
		seeds = 1
	}
	for _, c := range budgetDays {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				day := simDay{
					seed: uint64(seed), dispatchers: 60, workers: 18, slots: []int{4}, load: 0.75, burstAt: 5 * Second, warming: 3,
					listedAfter: 2 * Second, faultAt: 4 * Second, length: 16 * Second,
				}
				c.change(&day)
				f := runSimDay(t, day)
				used := f.usedWhileWarming()
				t.Logf("seed %d: %+.2f N beyond the budget at the age of %.1f s, used %.2f, served %d", seed, f.worst, float64(f.worstAge)/float64(Second), used, f.served)
				if f.worst > 0 {
					t.Errorf("seed %d: a warming worker was sent %.2f N beyond its budget, %.1f s after its start", seed, f.worst, float64(f.worstAge)/float64(Second))
				}
				if used < c.minUsed {
					t.Errorf("seed %d: warming workers were sent %.2f of their least capacity, want %.2f", seed, used, c.minUsed)
				}
			}
		})
	}
}
