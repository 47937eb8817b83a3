package fakes

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func spec() Spec {
	return Spec{Cores: 2, Speed: 2, Memory: 2, Queue: 100, SlowStartMinFactor: 0.12, SlowStartWindow: 10 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}
}

// count counts notes of a kind.
func count(notes []JobEvent, k JobEventKind) (n int) {
	for _, x := range notes {
		if x.Kind == k {
			n++
		}
	}
	return n
}

// Whatever comes: jobs begin in order, no more run than fit, each ends once, and a job takes its work at the machine's
// pace and not less.
func TestMachine_KeepsOrderAndWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.Cores, s.Memory = rapid.IntRange(1, 4).Draw(t, "cores"), 4
		s.OverloadMultiple = 1e9
		m := NewMachine(s, 0, rapid.Bool().Draw(t, "warm"))
		now := time.Duration(0)
		began, ended := map[*Job]time.Duration{}, map[*Job]int{}
		var order, jobs []*Job
		take := func(notes []JobEvent) {
			for _, n := range notes {
				switch n.Kind {
				case Began:
					began[n.Job] = now
					order = append(order, n.Job)
				case Finished, Failed:
					ended[n.Job]++
				}
			}
			slots, running := 0, 0
			for _, j := range order {
				if ended[j] == 0 && j.placed {
					slots += j.Slots
					running++
				}
			}
			if r, _ := m.Busy(); slots > s.Cores || r != running {
				t.Fatalf("%d slots of %d run; %d jobs, not %d", slots, s.Cores, r, running)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			take(m.Advance(now))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if len(jobs) > 0 {
					m.Drop(jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "which")])
				}
			case 1:
				m.Slow(1 + rapid.Float64Range(0, 3).Draw(t, "factor"))
			case 2:
				m.Hang(rapid.Bool().Draw(t, "hang"))
			default:
				j := &Job{Work: rapid.Float64Range(0.001, 0.5).Draw(t, "work"), Slots: rapid.IntRange(1, s.Cores).Draw(t, "slots"),
					Memory: 1, Fails: rapid.IntRange(0, 4).Draw(t, "fails") == 0}
				if m.Offer(j) {
					jobs = append(jobs, j)
				}
			}
			take(m.Advance(now))
		}
		m.Hang(false)
		m.Slow(1)
		take(m.Advance(now))
		for at, ok := m.Next(); ok; at, ok = m.Next() {
			now = at
			take(m.Advance(now))
		}
		last := -1
		for _, j := range order {
			i := indexOf(jobs, j)
			if i < last {
				t.Fatalf("job %d began behind job %d", i, last)
			}
			last = i
		}
		for i, j := range jobs {
			if ended[j] > 1 || ended[j] == 0 && j.placed {
				t.Fatalf("job %d ended %d times", i, ended[j])
			}
		}
		if r, w := m.Busy(); r+w != 0 || m.slots != 0 || math.Abs(m.memory) > 1e-9 {
			t.Fatalf("left over: %d running, %d waiting, %d slots, %g memory", r, w, m.slots, m.memory)
		}
	})
}

func indexOf(all []*Job, j *Job) int {
	for i, k := range all {
		if k == j {
			return i
		}
	}
	return -1
}

func TestMachine_JobsTakeTheirTime(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Machine)
		warm bool
		want time.Duration
	}{
		{"warm", func(*Machine) {}, true, 500 * time.Millisecond},
		{"slow", func(m *Machine) { m.Slow(4) }, true, 2 * time.Second},
		// Cold from 0.12 to 1 in 10 s at speed 2: 0.24 t + 0.088 t^2 = 1.
		{"cold", func(*Machine) {}, false, 2274 * time.Millisecond},
	} {
		m := NewMachine(spec(), 0, c.warm)
		c.do(m)
		m.Offer(&Job{Work: 1, Slots: 1})
		var notes []JobEvent
		for at, ok := time.Duration(0), true; ok && count(notes, Finished) == 0; at, ok = m.Next() {
			notes = append(notes, m.Advance(at)...)
		}
		if d := m.now - c.want; count(notes, Finished) != 1 || d.Abs() > 10*time.Millisecond {
			t.Errorf("%s: it took %v, not %v", c.name, m.now, c.want)
		}
	}
}

// A cold machine falls under a steady crowd, not under what its cores take, and a warm one never does.
func TestMachine_OnlyOverloadCrashesWarmingMachine(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64 // work a second
		warm bool
		want bool
		most int // jobs
	}{{"a crowd", 6, false, true, 200}, {"a crowd that is soon over", 6, false, false, 15}, {"its part", 0.4, false, false, 200},
		{"a crowd when warm", 6, true, false, 200}} {
		m := NewMachine(spec(), 0, c.warm)
		fell := 0
		for i := range 200 {
			now := time.Duration(i) * 20 * time.Millisecond
			fell += count(m.Advance(now), Overloaded)
			if i < c.most {
				m.Offer(&Job{Work: c.rate * 0.02, Slots: 1})
			}
			fell += count(m.Advance(now), Overloaded)
		}
		if (fell > 0) != c.want || fell > 1 || m.Crashed() != c.want {
			t.Errorf("%s: it fell %d times", c.name, fell)
		}
	}
	m := NewMachine(spec(), 0, false) // one heavy job alone
	m.Offer(&Job{Work: 30, Slots: 1})
	if n := count(m.Advance(8*time.Second), Overloaded); n != 0 {
		t.Error("a single job pushed it over")
	}
}
