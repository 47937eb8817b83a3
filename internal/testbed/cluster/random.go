package cluster

import (
	"math/rand/v2"
	"time"
)

// Streams of the random generators, which make them independent for the same seed.
const (
	faultStream    = 77
	overrideStream = 78
)

// randomFaults draws the scenario's random faults from the seed, over the first half of the run.
func (h *harness) randomFaults() (faults []Fault) {
	r := rand.New(rand.NewPCG(h.options.Seed, faultStream))
	length := h.options.For
	for range h.options.RandomFaults {
		f := Fault{Kind: FaultKinds[r.IntN(len(FaultKinds))], Member: r.IntN(h.options.Members+1) - 1}
		if f.isOneOf(workerFaults) { // a worker that is in no plan
			f.Member = r.IntN(workers - maxMachines)
		}
		f.At = time.Duration(r.Int64N(int64(length / 2)))
		f.For = 50*time.Millisecond + time.Duration(r.Int64N(int64(length/5)))
		faults = append(faults, f)
	}
	return faults
}

// randomOverrides draws the scenario's random overrides from the seed, on workers that are in no plan. At two fifths of the run each of
// these workers is enabled again at each member, so that every override ends regardless of which members know it, and the plan can
// continue.
func (h *harness) randomOverrides() (overrides []Override) {
	r := rand.New(rand.NewPCG(h.options.Seed, overrideStream))
	enabledAt := h.options.For * 2 / 5
	for range h.options.RandomOverrides {
		overrides = append(overrides, Override{
			Member: r.IntN(h.options.Members), Worker: r.IntN(workers - maxMachines), Disabled: r.IntN(5) < 3,
			At: time.Duration(r.Int64N(int64(enabledAt))),
		})
	}
	if h.options.RandomOverrides == 0 {
		return overrides
	}
	for member := range h.options.Members {
		for worker := range workers - maxMachines {
			overrides = append(overrides, Override{Member: member, Worker: worker, At: enabledAt, isLast: true})
		}
	}
	return overrides
}
