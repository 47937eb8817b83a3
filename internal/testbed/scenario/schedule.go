package scenario

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams of random numbers of one seed. Each has a single use, so that a change of one use does not change the random numbers
// of the others.
const (
	streamArrivals = iota + 1
	streamWorkers
	streamFaults
	streamRandomFaults
	StreamLag         // lags of endpoint updates
	StreamMisbehaving // misbehaving clients
	StreamFailures    // failing workers
	streamLeave
)

// Rand returns a random source for one stream of a seed.
func Rand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Request is one request of a client, which is sent in one or more tries.
type Request struct {
	At               time.Duration // since the run's start
	Class            int
	Tenant           int // -1: none
	Dispatcher       int // the one that the client uses while it is up
	Work             time.Duration
	Body             int // bytes
	HonorsRetryAfter bool
	OverQuota        bool          // beyond its tenant's quota
	LeavesAfter      time.Duration // time after its arrival at which the client disconnects; 0: never
}

// Worker is one worker of the fleet.
type Worker struct {
	Name, Kind, Zone string
	Cell             int
	Cores            int
	Speed            float64
	Memory           float64
	Queue            int // maximum number of queued requests
	WarmingUp        bool
}

// Event is a fault with the indexes of the workers, dispatchers and tenant that it affects.
type Event struct {
	Kind        string
	At, Until   time.Duration
	Workers     []int
	Dispatchers []int
	Factor      float64
	Share       float64
	Count       int
	Tenant      int // -1: none
}

// Schedule is the workers, requests and fault events that a scenario and a seed give. It is immutable after Generate.
type Schedule struct {
	Scenario *Scenario
	Seed     uint64
	Requests []Request // sorted by time
	Workers  []Worker
	Events   []Event // sorted by start
}

// cellSize is the number of workers per cell.
const cellSize = 4

// Generate returns the schedule of a seed, with random faults in addition to those of the scenario if randomFaults is set. The
// same scenario and arguments give the same schedule.
func (s *Scenario) Generate(seed uint64, randomFaults bool) *Schedule {
	schedule := &Schedule{Scenario: s, Seed: seed}
	schedule.generateWorkers()
	faults := s.Faults
	if randomFaults {
		faults = append(slices.Clone(faults), s.randomFaults(seed)...)
	}
	schedule.generateEvents(faults)
	schedule.generateRequests()
	return schedule
}

func (s *Schedule) generateWorkers() {
	r, names := Rand(s.Seed, streamWorkers), s.Scenario.WorkerNames()
	for _, pool := range s.Scenario.Workers {
		for range pool.Count {
			i := len(s.Workers)
			zone := pool.Zone
			if zone == "" {
				zone = s.Scenario.Zones[i%len(s.Scenario.Zones)]
			}
			s.Workers = append(s.Workers, Worker{
				Name: names[i], Kind: pool.Kind, Zone: zone, Cell: i / cellSize, Cores: pool.Cores,
				Speed:  pool.Speed[0] + (pool.Speed[1]-pool.Speed[0])*r.Float64(),
				Memory: pool.Memory, Queue: pool.Queue, WarmingUp: pool.WarmingUp,
			})
		}
	}
}

// generateEvents generates the events, choosing the workers, dispatchers and tenant that each fault affects.
func (s *Schedule) generateEvents(faults []Fault) {
	r, names := Rand(s.Seed, streamFaults), s.Scenario.WorkerNames()
	for i := range faults {
		f := &faults[i]
		s.Events = append(s.Events, Event{
			Kind: f.Kind, At: f.At, Until: f.At + f.For, Factor: f.Factor, Share: f.Share, Count: f.Count,
			Workers: affectedWorkers(f, names, r), Dispatchers: s.affectedDispatchers(f), Tenant: s.affectedTenant(f),
		})
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// affectedWorkers returns the indexes of the workers that a fault affects: the named ones, or else random ones.
func affectedWorkers(f *Fault, names []string, r *rand.Rand) []int {
	count := len(names)
	switch {
	case f.Workers >= 1:
		count = min(count, int(f.Workers))
	case f.Workers > 0:
		count = max(1, int(math.Round(f.Workers*float64(count))))
	}
	affected := r.Perm(len(names))[:count] // drawn even if workers are named, so that names do not change later random numbers
	if len(f.Names) == 0 {
		return affected
	}
	named := make([]int, 0, len(f.Names))
	for _, name := range f.Names {
		named = append(named, slices.Index(names, name))
	}
	return named
}

// affectedDispatchers returns the indexes of the dispatchers that a fault affects.
func (s *Schedule) affectedDispatchers(f *Fault) []int {
	if len(f.Dispatchers) > 0 {
		return f.Dispatchers
	}
	if f.Kind == LinkPartition { // for all dispatchers it would equal MachineSilent
		return []int{0}
	}
	all := make([]int, s.Scenario.Dispatchers)
	for i := range all {
		all[i] = i
	}
	return all
}

// affectedTenant returns the index of the tenant that a fault affects, or -1.
func (s *Schedule) affectedTenant(f *Fault) int {
	return slices.IndexFunc(s.Scenario.Tenants, func(t Tenant) bool { return t.Name == f.Tenant })
}

// LatencyObjective returns the latency up to which a request is answered in time.
func (s *Schedule) LatencyObjective(r *Request) time.Duration {
	c := &s.Scenario.Classes[r.Class]
	return c.LatencyObjective + time.Duration(c.Stretch*float64(r.Work))
}

// Value returns the value of a request that is answered in time.
func (s *Schedule) Value(r *Request) float64 {
	v := s.Scenario.Classes[r.Class].PriorityWeight
	if r.OverQuota {
		v *= s.Scenario.Terms.OverQuotaWeight
	}
	return v
}

// Digest returns a hash of the schedule in hexadecimal, which is equal for equal schedules.
func (s *Schedule) Digest() string {
	h := xxhash.New()
	put := func(values ...any) {
		for _, value := range values {
			if text, ok := value.(string); ok {
				_, _ = h.WriteString(text + "\x00") // a hash never fails
				continue
			}
			if err := binary.Write(h, binary.LittleEndian, value); err != nil {
				panic(err) // a call below passes a value without a fixed size
			}
		}
	}
	for _, r := range s.Requests {
		put(int64(r.At), int64(r.Class), int64(r.Tenant), int64(r.Dispatcher), int64(r.Work), int64(r.Body), r.HonorsRetryAfter, r.OverQuota, int64(r.LeavesAfter))
	}
	for _, w := range s.Workers {
		put(w.Name, w.Kind, w.Zone, int64(w.Cores), w.Speed, w.Memory, int64(w.Queue), w.WarmingUp)
	}
	for _, e := range s.Events {
		put(e.Kind, int64(e.At), int64(e.Until), e.Factor, e.Share, int64(e.Count), int64(e.Tenant))
		for _, w := range e.Workers {
			put(int64(w))
		}
		for _, dispatcher := range e.Dispatchers {
			put(int64(dispatcher))
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
