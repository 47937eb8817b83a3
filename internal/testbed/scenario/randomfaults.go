package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// randomFaults generates faults that may overlap. None begins in the first tenth of the run or ends in its last fifth, so that a
// run shows the service before and after them.
func (s *Scenario) randomFaults(seed uint64) []Fault {
	r := Rand(seed, streamRandomFaults)
	n := 3 + r.IntN(4) + int(s.For/(30*time.Second))
	var faults []Fault
	for len(faults) < n {
		kind := FaultKinds[r.IntN(len(FaultKinds))]
		if kind.Kind == TenantFlood && len(s.Tenants) == 0 || kind.Kind == DispatcherTerminate && s.Dispatchers < 2 {
			continue
		}
		f := Fault{Kind: kind.Kind}
		f.At = time.Duration((0.1 + 0.5*r.Float64()) * float64(s.For))
		longest := 0.8*float64(s.For) - float64(f.At)
		f.For = time.Duration(longest * (0.2 + 0.8*r.Float64()))
		if !kind.HasDuration {
			f.For = 0
		}
		s.setRandomSeverity(r, &f)
		faults = append(faults, f)
	}
	return faults
}

// setRandomSeverity draws the severity of a fault: enough to have an effect, but not so much that no request could be served.
func (s *Scenario) setRandomSeverity(r *rand.Rand, f *Fault) {
	workerShare := 0.05 + 0.25*r.Float64()
	switch f.Kind {
	case WorkerKill, WorkerHang, WorkerErrors, WorkerDrain, MachineSilent, LinkPartition:
		f.Workers = workerShare
		f.Share = 0.4 + 0.55*r.Float64()
	case Release:
		f.Workers = 0.3 + 0.5*r.Float64()
	case WorkerSlow:
		f.Factor = 1.4 + 1.2*r.Float64()
		if r.IntN(2) == 0 {
			f.Workers, f.Factor = workerShare, 2+6*r.Float64()
		}
	case ListLate:
		f.Factor = 2 + 3*r.Float64()
	case ListWrong:
		f.Count = 1 + r.IntN(3)
	case IdleClients:
		f.Count = 20 + r.IntN(200)
	case MisbehavingClients:
		f.Count = 1 + r.IntN(5)
	case TrafficJump:
		f.Factor = 1.6 + 0.7*r.Float64()
		f.For = min(f.For, 8*time.Second)
	case TenantFlood:
		f.Factor = 2 + 3*r.Float64()
		f.Tenant = s.Tenants[r.IntN(len(s.Tenants))].Name
	case DispatcherKill, DispatcherTerminate, DispatcherReload:
		f.Dispatchers = []int{r.IntN(s.Dispatchers)}
		f.For = min(f.For, 3*time.Second)
	}
	f.At = f.At.Round(time.Millisecond)
	f.For = f.For.Round(time.Millisecond)
	f.Factor = math.Round(f.Factor*100) / 100
	f.Share = math.Round(f.Share*100) / 100
}
