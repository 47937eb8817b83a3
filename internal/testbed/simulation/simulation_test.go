package simulation

import "testing"

func play(t *testing.T, o Options) *Result {
	t.Helper()
	if o.Members == 0 {
		o.Members, o.Voters, o.Ticks = 3, 3, 700
	}
	r, err := Simulate(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Simulated histories of three and five members, and of five of which three vote: no rule is broken, and most plans go through.
func TestSimulate_KeepsRules(t *testing.T) {
	done := 0
	for seed := range uint64(12) {
		for _, o := range []Options{{Members: 3, Voters: 3, Ticks: 700}, {Members: 5, Voters: 5, Ticks: 700}, {Members: 5, Voters: 3, Ticks: 700}} {
			o.Seed = seed
			r := play(t, o)
			if len(r.Broken) > 0 {
				t.Errorf("%+v: %s", o, r.Line(seed))
			}
			done += r.Done
		}
	}
	if done < 100 {
		t.Errorf("%d machines were done in 36 histories", done)
	}
}

// The same seed gives the same history.
func TestSimulate_IsDeterministic(t *testing.T) {
	for seed := range uint64(4) {
		if a, b := play(t, Options{Seed: seed}), play(t, Options{Seed: seed}); a.Line(seed) != b.Line(seed) {
			t.Errorf("%s\n%s", a.Line(seed), b.Line(seed))
		}
	}
}

// Each planted fault breaks a rule, which is named, at a seed that is known to show it; one is cut down.
func TestSimulate_CatchesMutants(t *testing.T) {
	for fault, want := range map[string]struct {
		rule string // empty: any
		seed uint64
		calm int
	}{
		NoLease: {"clear", 6, 12}, LongLease: {"clear", 12, 12}, LeaseFromReply: {"clear", 360, 12}, LeaseWithoutQuorum: {"clear", 89, 60}, LosesState: {"", 11, 12},
		FewReports: {"clear", 3, 12}, NoBudget: {"budget", 10, 12}, CountsTimeTwice: {"", 13, 12}, IgnoresUnavailable: {"budget", 2, 12}, IgnoresHosts: {"clear", 5, 12},
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			o := Options{Members: 3, Voters: 3, Ticks: 700, Seed: want.seed, Fault: fault, FaultInterval: want.calm}
			r := play(t, o)
			if len(r.Broken) == 0 || want.rule != "" && r.rule() != want.rule {
				t.Errorf("%s, want %q", r.Line(o.Seed), want.rule)
			}
			if fault != FewReports {
				return
			}
			less, now, err := Minimize(o)
			if err != nil || now.rule() != r.rule() || len(less.Faults) >= len(DrawFaults(o))/4 || less.Ticks > r.Ticks {
				t.Errorf("cut down to %d ticks and %d troubles, %v; %v", less.Ticks, len(less.Faults), now.Broken, err)
			}
		})
	}
	if len(Mutants) != 10 {
		t.Errorf("%d faults can be planted, 10 are", len(Mutants))
	}
}
