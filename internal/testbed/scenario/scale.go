package scenario

import (
	"cmp"
	"math"
	"slices"
	"time"

	"birchfork/internal/tomlfile"
)

// Override replaces values of a scenario by those of the command line; zero arguments change nothing. Tenants' quotas are scaled
// with the rate, and faults that would begin at or after the new end are dropped.
func (s *Scenario) Override(rate float64, length time.Duration, workers, dispatchers int) error {
	if length > 0 {
		s.For = length
		s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= length })
	}
	if rate > 0 {
		for i := range s.Tenants {
			s.Tenants[i].Quota *= rate / s.Rate
		}
		s.Rate = rate
	}
	if dispatchers > 0 {
		s.Dispatchers = dispatchers
	}
	if workers > 0 {
		s.scaleWorkers(workers)
	}
	d := tomlfile.Read(s.Name, nil, &struct{}{})
	s.check(d)
	return d.Err()
}

// scaleWorkers sets the total number of workers and keeps the proportions of the pools by the largest remainder method.
func (s *Scenario) scaleWorkers(n int) {
	total := s.WorkerCount()
	assigned := 0
	type remainder struct {
		pool  int
		value float64
	}
	remainders := make([]remainder, 0, len(s.Workers))
	s.Workers = slices.Clone(s.Workers)
	for i := range s.Workers {
		exact := float64(s.Workers[i].Count) * float64(n) / float64(total)
		s.Workers[i].Count = int(exact)
		assigned += int(exact)
		remainders = append(remainders, remainder{i, exact - math.Floor(exact)})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.value, a.value) })
	for k := range n - assigned {
		s.Workers[remainders[k%len(remainders)].pool].Count++
	}
	s.Workers = slices.DeleteFunc(s.Workers, func(w WorkerPool) bool { return w.Count == 0 })
}

// tenantShares returns the sum of the tenants' shares.
func (s *Scenario) tenantShares() float64 {
	sum := 0.0
	for _, t := range s.Tenants {
		sum += t.Share
	}
	return sum
}

// WorkerCount returns the total number of workers.
func (s *Scenario) WorkerCount() int {
	n := 0
	for _, w := range s.Workers {
		n += w.Count
	}
	return n
}

// Capacity returns the mean work per second of the fleet once it has warmed up, in seconds on a core of speed 1.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for _, w := range s.Workers {
		if len(w.Speed) == 2 {
			sum += float64(w.Count*w.Cores) * (w.Speed[0] + w.Speed[1]) / 2
		}
	}
	return sum
}

// Load returns the requested work as a share of the capacity, without the faults that affect traffic.
func (s *Scenario) Load() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return s.Rate * work / shares / s.Capacity()
}
