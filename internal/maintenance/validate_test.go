package maintenance

import (
	"strings"
	"testing"
)

// TestValidatePlan_NamesEachProblem verifies that each problem of a plan is reported with its key.
func TestValidatePlan_NamesEachProblem(t *testing.T) {
	f := newFixture(t, Plan{})
	problems := strings.Join(f.state.ValidatePlan(&Plan{
		Name: "p", MaxUnavailable: -1, MaxUnavailablePerZone: -1, MaxUnavailablePerKind: -1, MinCapacity: 2,
		DrainTimeout: -second, OnOverdue: "never",
		Machines: []Machine{
			machineOf("x", "r0", "r9"), machineOf("x", "r9"), {}, {Name: "h", Host: "h"}, {Name: "i", Host: "h"},
			{Name: "j", Host: "j", Workers: []string{"r8"}},
		},
	}), "\n")
	for _, want := range []string{
		`name: a plan "p" is handed in`, "out: -1", "zone_out: -1", "kind_out: -1", "leave: -1s", "capacity: 2", `overdue: "never"`,
		`machine[0].runners: "r0" is in plan "p"`,
		`machine[1].name: "x"`, `machine[1].runners: "r9" is in machine[0]`, "machine[2].name", "machine[2].runners: there is none",
		`machine[4].host: "h" is that of machine[3]`, "machine[5].host: it names runners too",
	} {
		if !strings.Contains(problems, want) {
			t.Errorf("%q is missing in:\n%s", want, problems)
		}
	}
}
