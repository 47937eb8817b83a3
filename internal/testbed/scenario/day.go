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

// Streams of random numbers: what is drawn for one matter moves nothing of another.
const (
	streamArrivals = iota + 1
	streamWorkers
	streamFaults
	streamStorm
	StreamLag         // for the lists' lags
	StreamMisbehaving // for rude clients
	StreamErr         // for failing workers
	streamLeave
)

// Rand is a random source for one matter of a seed.
func Rand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Request is what one client wants: its tries are requests.
type Request struct {
	At         time.Duration // since the day's start
	Class      int
	Tenant     int // -1: none
	Dispatcher int // of its zone's front, where it is up
	Work       time.Duration
	Body       int // bytes
	Obeys      bool
	OverQuota  bool          // beyond its tenant's quota
	Leaves     time.Duration // so long after it was asked for its client goes; 0: it stays
}

// Worker is one machine.
type Worker struct {
	Name, Kind, Zone string
	Cell             int
	Cores            int
	Speed            float64
	Memory           float64
	Queue            int
	WarmingUp        bool
}

// Event is a trouble with those whom it hits.
type Event struct {
	Kind        string
	At, Until   time.Duration
	Workers     []int
	Dispatchers []int
	Factor      float64
	Share       float64
	Count       int
	Tenant      int
}

// Day is all that is drawn.
type Day struct {
	Scenario *Scenario
	Seed     uint64
	Requests []Request
	Workers  []Worker
	Events   []Event
}

// Draw draws the day of a seed. The same scenario and seed give the same day.
func (s *Scenario) Draw(seed uint64, storm bool) *Day {
	d := &Day{Scenario: s, Seed: seed}
	d.drawWorkers()
	faults := s.Faults
	if storm {
		faults = append(slices.Clone(faults), s.randomFaults(seed)...)
	}
	d.drawFaults(faults)
	d.drawRequests()
	return d
}

func (d *Day) drawWorkers() {
	r, names := Rand(d.Seed, streamWorkers), d.Scenario.WorkerNames()
	for _, w := range d.Scenario.Workers {
		for range w.Count {
			i := len(d.Workers)
			zone := w.Zone
			if zone == "" {
				zone = d.Scenario.Zones[i%len(d.Scenario.Zones)]
			}
			d.Workers = append(d.Workers, Worker{
				Name: names[i], Kind: w.Kind, Zone: zone, Cell: i / 4, Cores: w.Cores,
				Speed: w.Speed[0] + (w.Speed[1]-w.Speed[0])*r.Float64(), Memory: w.Memory, Queue: w.Queue, WarmingUp: w.WarmingUp,
			})
		}
	}
}

func (d *Day) drawFaults(faults []Fault) {
	r := Rand(d.Seed, streamFaults)
	names := d.Scenario.WorkerNames()
	for _, f := range faults {
		e := Event{
			Kind: f.Kind, At: f.At, Until: f.At + f.For, Dispatchers: f.Dispatchers, Factor: f.Factor, Share: f.Share,
			Count: f.Count, Tenant: -1,
		}
		if len(e.Dispatchers) == 0 {
			for i := range d.Scenario.Dispatchers {
				e.Dispatchers = append(e.Dispatchers, i)
			}
			if f.Kind == LinkPartition { // all would be the machine's own silence
				e.Dispatchers = e.Dispatchers[:1]
			}
		}
		n := len(names)
		switch {
		case f.Workers >= 1:
			n = min(n, int(f.Workers))
		case f.Workers > 0:
			n = max(1, int(math.Round(f.Workers*float64(n))))
		}
		hit := r.Perm(len(names))[:n] // drawn in any case, so that names move no later draw
		if len(f.Names) > 0 {
			hit = nil
			for _, want := range f.Names {
				hit = append(hit, slices.Index(names, want))
			}
		}
		e.Workers = hit
		for i, t := range d.Scenario.Tenants {
			if t.Name == f.Tenant {
				e.Tenant = i
			}
		}
		d.Events = append(d.Events, e)
	}
	slices.SortStableFunc(d.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// traffic is what is asked for at a moment: the whole as a factor, and each tenant's part.
func (d *Day) traffic(at time.Duration, parts []float64) (factor float64) {
	jump, sum := 1.0, 0.0
	for i := range parts {
		parts[i] = d.Scenario.Tenants[i].Share
	}
	for _, e := range d.Events {
		if at < e.At || at >= e.Until {
			continue
		}
		switch e.Kind {
		case Jump:
			jump *= e.Factor
		case Flood:
			parts[e.Tenant] *= e.Factor
		}
	}
	if len(parts) == 0 {
		return jump
	}
	for _, p := range parts {
		sum += p
	}
	return jump * sum
}

// edges are the moments at which traffic changes.
func (d *Day) edges() []time.Duration {
	out := []time.Duration{0, d.Scenario.For}
	for _, e := range d.Events {
		if e.Kind == Jump || e.Kind == Flood {
			out = append(out, min(e.At, d.Scenario.For), min(e.Until, d.Scenario.For))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (d *Day) drawRequests() {
	s, r, leave := d.Scenario, Rand(d.Seed, streamArrivals), Rand(d.Seed, streamLeave)
	parts := make([]float64, len(s.Tenants))
	classes := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.Share
	}
	homes := make([]float64, s.Dispatchers)
	for i := range homes {
		homes[i] = 1
		if s.Dispatchers > 1 {
			homes[i] += s.Uneven * (1 - 2*float64(i)/float64(s.Dispatchers-1))
		}
	}
	share, size := s.Burst.Share, float64(max(s.Burst.Size, 1))
	clump := share / (size - share*(size-1)) // chance of a clump where one arrives, so that the share is of arrivals
	events := s.Rate / (1 - clump + clump*size)
	quotas := make([]quota, len(s.Tenants))
	edges := d.edges()
	for k := 0; k+1 < len(edges); k++ {
		rate := events * d.traffic(edges[k], parts)
		// The stream has no memory: it may begin anew at each edge.
		for at := edges[k]; ; {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= edges[k+1] {
				break
			}
			n := 1
			if share > 0 && r.Float64() < clump {
				n = s.Burst.Size
			}
			for range n {
				w := Request{At: at, Class: weightedChoice(r, classes), Tenant: -1, Dispatcher: weightedChoice(r, homes)}
				if len(parts) > 0 {
					w.Tenant = weightedChoice(r, parts)
				}
				c := &s.Classes[w.Class]
				w.Work = max(time.Microsecond, time.Duration(float64(c.Work)*math.Exp(c.Spread*r.NormFloat64()-c.Spread*c.Spread/2)))
				w.Body = c.Body[0] + r.IntN(c.Body[1]-c.Body[0]+1)
				w.Obeys = r.Float64() < s.Clients.Obedient
				if w.Tenant >= 0 {
					w.OverQuota = !quotas[w.Tenant].take(at, s.Tenants[w.Tenant].Quota)
				}
				if s.Clients.Leave > 0 && leave.Float64() < s.Clients.Leave {
					w.Leaves = 1 + time.Duration(leave.Float64()*float64(c.LatencyObjective+c.Work))
				}
				d.Requests = append(d.Requests, w)
				if len(d.Requests) >= MaxRequests {
					return
				}
			}
		}
	}
}

// weightedChoice draws an index by weights.
func weightedChoice(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// quota is a token bucket of two seconds' worth of a tenant's quota.
type quota struct {
	tokens float64
	at     time.Duration
	began  bool
}

func (q *quota) take(at time.Duration, rate float64) bool {
	most := max(2*rate, 3)
	if !q.began {
		q.began, q.tokens = true, most
	}
	q.tokens = min(most, q.tokens+(at-q.at).Seconds()*rate)
	q.at = at
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// Wanted is how long after it was asked for a wish is worth its full worth.
func (d *Day) Wanted(w *Request) time.Duration {
	c := &d.Scenario.Classes[w.Class]
	return c.LatencyObjective + time.Duration(c.Stretch*float64(w.Work))
}

// Value is what a wish is worth when it is answered in time.
func (d *Day) Value(w *Request) float64 {
	v := d.Scenario.Classes[w.Class].PriorityWeight
	if w.OverQuota {
		v *= d.Scenario.Terms.OverQuotaWeight
	}
	return v
}

// Digest tells two days apart.
func (d *Day) Digest() string {
	h := xxhash.New()
	put := func(v ...any) {
		for _, x := range v {
			switch x := x.(type) {
			case string:
				_, _ = h.WriteString(x + "\x00") // a hash takes all
			default:
				if err := binary.Write(h, binary.LittleEndian, x); err != nil {
					panic(err) // a value without a fixed size: a mistake in the calls below
				}
			}
		}
	}
	for _, w := range d.Requests {
		put(int64(w.At), int64(w.Class), int64(w.Tenant), int64(w.Dispatcher), int64(w.Work), int64(w.Body), w.Obeys, w.OverQuota, int64(w.Leaves))
	}
	for _, w := range d.Workers {
		put(w.Name, w.Kind, w.Zone, int64(w.Cores), w.Speed, w.Memory, int64(w.Queue), w.WarmingUp)
	}
	for _, e := range d.Events {
		put(e.Kind, int64(e.At), int64(e.Until), e.Factor, e.Share, int64(e.Count), int64(e.Tenant))
		for _, w := range e.Workers {
			put(int64(w))
		}
		for _, x := range e.Dispatchers {
			put(int64(x))
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
