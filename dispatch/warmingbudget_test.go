package dispatch

import (
	"os"
	"strconv"
	"testing"
)

// soakSeedsVariable is the environment variable that sets the number of seeds per scenario. The default is 1.
const soakSeedsVariable = "SLOW_START_SEEDS"

// budgetScenarios are scenarios in which workers that are warming up must not receive more calls than their budget. Each changes the
// plain scenario. minUtilization is the minimum of the calls that these workers receive, as a fraction of their minimum capacity.
var budgetScenarios = []struct {
	name           string
	minUtilization float64
	change         func(*simScenario)
}{
	{"plain", 0.3, func(*simScenario) {}},
	{"few slots", 0.2, func(s *simScenario) { s.slots = []int{1, 1, 2} }},
	{"burst", 0.5, func(s *simScenario) { s.burst = 2.2 }},
	{"burst, few slots, many dispatchers", 0.3, func(s *simScenario) { s.burst, s.slots, s.dispatchers = 2.2, []int{1, 1, 2}, 177 }},
	{"burst, clients retry", 0.5, func(s *simScenario) { s.burst, s.clientRetries = 2.2, true }},
	{"twice the capacity", 0.5, func(s *simScenario) { s.load, s.clientRetries = 2, true }},
	{"all others slower", 0.4, func(s *simScenario) { s.slowWorkers, s.slowFactor, s.load = 17, 1.5, 1 }},
	{"all others far slower, many dispatchers", 0.4, func(s *simScenario) { s.slowWorkers, s.slowFactor, s.load, s.dispatchers = 15, 3, 0.75, 177 }},
	{"large workers, burst", 0.4, func(s *simScenario) { s.slots, s.burst, s.workers = []int{16}, 2.2, 12 }},
	{"most fail", 0.15, func(s *simScenario) { s.failingWorkers, s.load = 14, 0.75 }},
	{"uneven burst, many", 0.4, func(s *simScenario) { s.skewed, s.burst, s.dispatchers, s.slots = true, 2.2, 177, []int{2} }},
	{"a third slower, many dispatchers", 0.4, func(s *simScenario) { s.slowWorkers, s.slowFactor, s.dispatchers = 6, 3, 180 }},
	{"half hang", 0.2, func(s *simScenario) { s.hungWorkers = 9 }},
	{"a third fails", 0.2, func(s *simScenario) { s.failingWorkers = 6 }},
	{"all others hang", 0.2, func(s *simScenario) { s.hungWorkers = 15 }},
	{"half warm up", 0.4, func(s *simScenario) { s.warmingWorkers = 9 }},
	{"all warm up", 0.2, func(s *simScenario) { s.warmingWorkers, s.burst = 18, 2.2 }},
	{"one dispatcher", 0.2, func(s *simScenario) { s.dispatchers, s.workers, s.load = 1, 8, 1.2 }},
	{"one dispatcher, few slots", 0.1, func(s *simScenario) { s.dispatchers, s.slots, s.load = 1, []int{1, 1, 2}, 1.2 }},
	{"restarts", 0.3, func(s *simScenario) { s.restartInterval, s.burst = 150*ms, 2.2 }},
	{"reloads", 0.3, func(s *simScenario) { s.reloadInterval = Second }},
	{"uneven traffic", 0.3, func(s *simScenario) { s.skewed, s.load = true, 1 }},
	{"light load", 0.15, func(s *simScenario) { s.load = 0.4 }},
}

// TestSlowStart_FleetKeepsBudget guards against incident 6b9c04, in which a burst overloaded a warming worker, with the decision
// module alone: under any traffic, and whatever the other workers do, all dispatchers together keep within the budget of a warming
// worker and still use that worker.
func TestSlowStart_FleetKeepsBudget(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv(soakSeedsVariable))
	if err != nil {
		seeds = 1
	}
	for _, c := range budgetScenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				scenario := simScenario{
					seed: uint64(seed), dispatchers: 60, workers: 18, slots: []int{4}, load: 0.75, burstAt: 5 * Second, warmingWorkers: 3,
					listingDelay: 2 * Second, faultAt: 4 * Second, duration: 16 * Second,
				}
				c.change(&scenario)
				f := runSimScenario(t, scenario)
				utilization := f.utilizationWhileWarming()
				t.Logf("seed %d: maximum excess over the budget %+.2f of the limit at an age of %.1f s, utilization %.2f, served %d", seed, f.maxExcess, float64(f.maxExcessAge)/float64(Second), utilization, f.served)
				if f.maxExcess > 0 {
					t.Errorf("seed %d: a warming worker exceeded its budget by %.2f of the limit, %.1f s after its start, want no excess", seed, f.maxExcess, float64(f.maxExcessAge)/float64(Second))
				}
				if utilization < c.minUtilization {
					t.Errorf("seed %d: warming workers received %.2f of their minimum capacity, want at least %.2f", seed, utilization, c.minUtilization)
				}
			}
		})
	}
}
