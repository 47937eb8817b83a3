package fakes

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func spec() Spec {
	return Spec{Cores: 2, Speed: 2, Memory: 2, Queue: 100, SlowStartMinFactor: 0.12, SlowStartWindow: 10 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}
}

// count returns the number of events of a kind.
func count(events []JobEvent, kind JobEventKind) (n int) {
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// machineRun is a machine under test with its jobs and their events.
type machineRun struct {
	machine *Machine
	now     time.Duration
	jobs    []*Job       // accepted jobs, in the order in which they were offered
	began   []*Job       // in the order in which they began
	ended   map[*Job]int // number of final events
}

// advance advances the machine to now and checks that as many jobs run as have begun and not ended or been dropped, and that
// their slots fit.
func (r *machineRun) advance(t *rapid.T) {
	for _, e := range r.machine.Advance(r.now) {
		switch e.Kind {
		case Began:
			r.began = append(r.began, e.Job)
		case Finished, Failed:
			r.ended[e.Job]++
		}
	}
	slots, running := 0, 0
	for _, j := range r.began {
		if r.ended[j] == 0 && j.accepted {
			slots += j.Slots
			running++
		}
	}
	cores := r.machine.spec.Cores
	if busy, _ := r.machine.Busy(); slots > cores || busy != running {
		t.Fatalf("%d of %d slots in use, %d jobs running, want %d", slots, cores, busy, running)
	}
}

// change makes a random change: it offers or drops a job, or slows or hangs the machine.
func (r *machineRun) change(t *rapid.T) {
	m := r.machine
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		if len(r.jobs) > 0 {
			m.Drop(r.jobs[rapid.IntRange(0, len(r.jobs)-1).Draw(t, "which")])
		}
	case 1:
		m.Slow(1 + rapid.Float64Range(0, 3).Draw(t, "factor"))
	case 2:
		m.Hang(rapid.Bool().Draw(t, "hang"))
	default:
		j := &Job{Work: rapid.Float64Range(0.001, 0.5).Draw(t, "work"), Slots: rapid.IntRange(1, m.spec.Cores).Draw(t, "slots"),
			Memory: 1, Fails: rapid.IntRange(0, 4).Draw(t, "fails") == 0}
		if m.Offer(j) {
			r.jobs = append(r.jobs, j)
		}
	}
}

// finish runs the machine until all its jobs have ended.
func (r *machineRun) finish(t *rapid.T) {
	r.machine.Hang(false)
	r.machine.Slow(1)
	r.advance(t)
	for at, ok := r.machine.Next(); ok; at, ok = r.machine.Next() {
		r.now = at
		r.advance(t)
	}
}

// check checks that jobs began in order, that each ended once unless it was dropped, and that the machine is empty.
func (r *machineRun) check(t *rapid.T) {
	last := -1
	for _, j := range r.began {
		i := slices.Index(r.jobs, j)
		if i < last {
			t.Fatalf("job %d began after job %d", i, last)
		}
		last = i
	}
	for i, j := range r.jobs {
		if r.ended[j] > 1 || r.ended[j] == 0 && j.accepted {
			t.Fatalf("job %d ended %d times, want 1", i, r.ended[j])
		}
	}
	m := r.machine
	if running, queued := m.Busy(); running+queued != 0 || m.usedSlots != 0 || math.Abs(m.usedMemory) > 1e-9 {
		t.Fatalf("machine not empty: %d running, %d queued, %d slots, %g memory", running, queued, m.usedSlots, m.usedMemory)
	}
}

// Under random changes, jobs begin in FIFO order, no more run than fit, and each ends once unless it is dropped.
func TestMachine_BeginsJobsInOrderAndEndsThemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.Cores, s.Memory = rapid.IntRange(1, 4).Draw(t, "cores"), 4
		s.OverloadMultiple = 1e9
		r := &machineRun{machine: NewMachine(s, 0, rapid.Bool().Draw(t, "warmed up")), ended: map[*Job]int{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			r.advance(t)
			r.change(t)
			r.advance(t)
		}
		r.finish(t)
		r.check(t)
	})
}

func TestMachine_JobDuration(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Machine)
		warmedUp bool
		want     time.Duration
	}{
		{"warmed up", func(*Machine) {}, true, 500 * time.Millisecond},
		{"slow", func(m *Machine) { m.Slow(4) }, true, 2 * time.Second},
		// Warming up from 0.12 to 1 in 10 s at speed 2: 0.24 t + 0.088 t^2 = 1.
		{"warming up", func(*Machine) {}, false, 2274 * time.Millisecond},
	} {
		m := NewMachine(spec(), 0, c.warmedUp)
		c.change(m)
		m.Offer(&Job{Work: 1, Slots: 1})
		var events []JobEvent
		for at, ok := time.Duration(0), true; ok && count(events, Finished) == 0; at, ok = m.Next() {
			events = append(events, m.Advance(at)...)
		}
		if d := m.now - c.want; count(events, Finished) != 1 || d.Abs() > 10*time.Millisecond {
			t.Errorf("%s: the job took %v, want %v", c.name, m.now, c.want)
		}
	}
}

// A machine that is warming up crashes under lasting overload, but not under load within its capacity or a short overload. A
// warmed-up machine never does.
func TestMachine_CrashesOnOverloadWhileWarmingUp(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64 // work per second
		warmedUp bool
		want     bool
		maxJobs  int
	}{{"lasting overload", 6, false, true, 200}, {"short overload", 6, false, false, 15}, {"within capacity", 0.4, false, false, 200},
		{"overload when warmed up", 6, true, false, 200}} {
		m := NewMachine(spec(), 0, c.warmedUp)
		crashes := 0
		for i := range 200 {
			now := time.Duration(i) * 20 * time.Millisecond
			crashes += count(m.Advance(now), Overloaded)
			if i < c.maxJobs {
				m.Offer(&Job{Work: c.rate * 0.02, Slots: 1})
			}
			crashes += count(m.Advance(now), Overloaded)
		}
		if (crashes > 0) != c.want || crashes > 1 || m.Crashed() != c.want {
			t.Errorf("%s: got %d crash events and Crashed %t, want Crashed %t and at most one event", c.name, crashes, m.Crashed(), c.want)
		}
	}
	m := NewMachine(spec(), 0, false) // with a single heavy job
	m.Offer(&Job{Work: 30, Slots: 1})
	if n := count(m.Advance(8*time.Second), Overloaded); n != 0 {
		t.Error("a single job crashed the machine")
	}
}

// The budget of a machine that is warming up is N + 3*sqrt(N) + 3 jobs of mean work if N is below 30, in jobs and in work. With
// N = 15.75 the budget is 30.66 jobs of 0.2 s, or 6.13 s of work, in 1.5 s.
func TestMachine_WarmUpBudget(t *testing.T) {
	for _, c := range []struct {
		name string
		rate int     // jobs per second
		work float64 // per job, seconds
		want bool
	}{
		{"16 jobs of more than mean work", 10, 0.245, false},
		{"29 jobs of mean work", 19, 0.2, false},
		{"31 jobs of mean work", 20, 0.2, true},
		{"38 jobs of little work", 25, 0.05, true},
		{"16 jobs of 8 s of work in total", 10, 0.5, true},
	} {
		m := NewMachine(Spec{
			Cores: 2, Speed: 1, Memory: 1, Queue: 1000, SlowStartMinFactor: 0.42, SlowStartWindow: time.Hour,
			OverloadMultiple: 2.5, OverloadWindow: 1500 * time.Millisecond, MeanWork: 0.2,
		}, 0, false)
		interval := time.Second / time.Duration(c.rate)
		for at := time.Duration(0); at < 5*time.Second; at += interval {
			m.Advance(at)
			m.Offer(&Job{Work: c.work, Slots: 1})
			m.Advance(at)
		}
		if m.Crashed() != c.want {
			t.Errorf("%s: Crashed is %t, want %t", c.name, m.Crashed(), c.want)
		}
	}
}
