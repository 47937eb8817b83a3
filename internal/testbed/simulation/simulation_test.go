package simulation

import (
	"slices"
	"testing"
)

// mustSimulate simulates a history. Without Members in the options the group has three members.
func mustSimulate(t *testing.T, options Options) *Result {
	t.Helper()
	if options.Members == 0 {
		options.Members, options.Voters, options.Ticks = 3, 3, 700
	}
	result, err := Simulate(options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestSimulate_ViolatesNoRule verifies that groups of three members, of five, and of five with three voters violate no rule, and that
// at least 100 machines complete their maintenance.
func TestSimulate_ViolatesNoRule(t *testing.T) {
	done := 0
	for seed := range uint64(12) {
		for _, options := range []Options{
			{Members: 3, Voters: 3, Ticks: 700},
			{Members: 5, Voters: 5, Ticks: 700},
			{Members: 5, Voters: 3, Ticks: 700},
		} {
			options.Seed = seed
			result := mustSimulate(t, options)
			if len(result.Violations) > 0 {
				t.Errorf("%+v: %s", options, result.Line(seed))
			}
			done += result.MachinesDone
		}
	}
	if done < 100 {
		t.Errorf("%d machines done in 36 histories, want at least 100", done)
	}
}

// TestSimulate_IsDeterministic verifies that the same seed gives the same history.
func TestSimulate_IsDeterministic(t *testing.T) {
	for seed := range uint64(4) {
		first, second := mustSimulate(t, Options{Seed: seed}), mustSimulate(t, Options{Seed: seed})
		if first.Line(seed) != second.Line(seed) {
			t.Errorf("the same seed gave two histories:\n%s\n%s", first.Line(seed), second.Line(seed))
		}
	}
}

// TestSimulate_CatchesMutants verifies that each mutant violates its rule with a seed that is known to expose it.
func TestSimulate_CatchesMutants(t *testing.T) {
	type mutantTest struct {
		mutant        string
		rule          string // empty: any
		seed          uint64
		faultInterval int
	}
	tests := []mutantTest{
		{NoLease, "clear", 6, 12},
		{LongLease, "clear", 12, 12},
		{LeaseFromReply, "clear", 360, 12},
		{LeaseWithoutQuorum, "clear", 89, 60},
		{LosesState, "", 11, 12},
		{FewReports, "clear", 3, 12},
		{NoBudget, "budget", 10, 12},
		{CountsTimeTwice, "", 13, 12},
		{IgnoresUnavailable, "budget", 2, 12},
		{IgnoresHosts, "clear", 5, 12},
	}
	for _, test := range tests {
		t.Run(test.mutant, func(t *testing.T) {
			t.Parallel()
			options := Options{Members: 3, Voters: 3, Ticks: 700, Seed: test.seed, Mutant: test.mutant, FaultInterval: test.faultInterval}
			result := mustSimulate(t, options)
			if len(result.Violations) == 0 || test.rule != "" && result.violatedRule() != test.rule {
				t.Errorf("got %s, want a violation of rule %q", result.Line(options.Seed), test.rule)
			}
			if test.mutant == FewReports {
				checkMinimize(t, options, result)
			}
		})
	}
	for _, mutant := range Mutants {
		if !slices.ContainsFunc(tests, func(test mutantTest) bool { return test.mutant == mutant }) {
			t.Errorf("%q is not tested", mutant)
		}
	}
	if len(Mutants) != len(tests) {
		t.Errorf("got %d mutants, but %d are tested", len(Mutants), len(tests))
	}
}

// checkMinimize checks that a history is minimized to less than a quarter of its faults and still violates the same rule.
func checkMinimize(t *testing.T, options Options, result *Result) {
	t.Helper()
	minimal, minimalResult, err := Minimize(options)
	if err != nil {
		t.Fatal(err)
	}
	sameRule := minimalResult.violatedRule() == result.violatedRule()
	maxFaults := len(RandomFaults(options)) / 4
	fewFaults := len(minimal.Faults) < maxFaults
	if !sameRule || !fewFaults || minimal.Ticks > result.Ticks {
		t.Errorf("minimized to %d ticks and %d faults with violations %v, want at most %d ticks, fewer than %d faults and rule %q",
			minimal.Ticks, len(minimal.Faults), minimalResult.Violations, result.Ticks, maxFaults, result.violatedRule())
	}
}
