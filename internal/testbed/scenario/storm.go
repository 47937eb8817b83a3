package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// randomFaults draws troubles, several at once. None begins in the first tenth or ends in the last fifth, so that a run shows
// how it comes back.
func (s *Scenario) randomFaults(seed uint64) []Fault {
	r := Rand(seed, streamStorm)
	n := 3 + r.IntN(4) + int(s.For/(30*time.Second))
	var out []Fault
	for len(out) < n {
		info := Kinds[r.IntN(len(Kinds))]
		if info.Kind == Flood && len(s.Tenants) == 0 || info.Kind == DispTerm && s.Dispatchers < 2 {
			continue
		}
		f := Fault{Kind: info.Kind}
		f.At = time.Duration((0.1 + 0.5*r.Float64()) * float64(s.For))
		most := 0.8*float64(s.For) - float64(f.At)
		f.For = time.Duration(most * (0.2 + 0.8*r.Float64()))
		if !info.HasDuration {
			f.For = 0
		}
		s.randomFaultFigures(r, &f)
		out = append(out, f)
	}
	return out
}

// randomFaultFigures draws how bad a trouble is: bad enough to be seen, and not so bad that nothing could be served.
func (s *Scenario) randomFaultFigures(r *rand.Rand, f *Fault) {
	part := 0.05 + 0.25*r.Float64()
	switch f.Kind {
	case WorkerKill, WorkerHang, WorkerErr, WorkerDrain, Silent, LinkPartition:
		f.Workers = part
		f.Share = 0.4 + 0.55*r.Float64()
	case Release:
		f.Workers = 0.3 + 0.5*r.Float64()
	case WorkerSlow:
		f.Factor = 1.4 + 1.2*r.Float64()
		if r.IntN(2) == 0 {
			f.Workers, f.Factor = part, 2+6*r.Float64()
		}
	case ListLate:
		f.Factor = 2 + 3*r.Float64()
	case ListWrong:
		f.Count = 1 + r.IntN(3)
	case IdleClients:
		f.Count = 20 + r.IntN(200)
	case MisbehavingClients:
		f.Count = 1 + r.IntN(5)
	case Jump:
		f.Factor = 1.6 + 0.7*r.Float64()
		f.For = min(f.For, 8*time.Second)
	case Flood:
		f.Factor = 2 + 3*r.Float64()
		f.Tenant = s.Tenants[r.IntN(len(s.Tenants))].Name
	case DispKill, DispTerm, DispHup:
		f.Dispatchers = []int{r.IntN(s.Dispatchers)}
		f.For = min(f.For, 3*time.Second)
	}
	f.At = f.At.Round(time.Millisecond)
	f.For = f.For.Round(time.Millisecond)
	f.Factor = math.Round(f.Factor*100) / 100
	f.Share = math.Round(f.Share*100) / 100
}
