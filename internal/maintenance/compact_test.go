package maintenance

import (
	"encoding/json"
	"fmt"
	"testing"
)

// TestCompact_SizeIndependentOfFleet verifies that a compact proposal for hundreds of members and workers is at most a few bytes longer
// than one for few, and that it names each member that blocks a drain.
func TestCompact_SizeIndependentOfFleet(t *testing.T) {
	length := func(members, workers int) int {
		state := New()
		proposal := &Advance{Reports: map[string]MemberReport{}, Fleet: map[string]Worker{}}
		for i := range members {
			name := fmt.Sprint("edge-", i)
			state.Members[name] = &Member{Name: name, Incarnation: "L"}
			proposal.Reports[name] = MemberReport{Incarnation: "L", Applied: 10, SoleProcess: true}
		}
		proposal.Reports["edge-0"] = MemberReport{Incarnation: "L", Applied: 3, SoleProcess: true}
		proposal.Reports["edge-1"] = MemberReport{Incarnation: "L", Applied: 10, SoleProcess: true, BusyWorkers: []string{"r1"}}
		for i := range workers {
			proposal.Fleet[fmt.Sprint("r", i)] = Worker{Zone: fmt.Sprint(i % 3), Kind: "k", Weight: 1, WarmingUp: i == 7}
		}
		draining := &MachineState{Machine: machineOf("m", "r1"), Phase: MachineDraining, PhaseIndex: 9}
		state.Plans = []*PlanState{{Phase: PlanRunning, AnnouncedIndex: 5, MachineStates: []*MachineState{draining}}}
		compact := state.Compact(proposal)
		if len(compact.Reports) != 2 || len(compact.Fleet) != 2 || compact.DefaultApplied != 9 || len(compact.UnnamedWorkers) != 3 {
			t.Errorf("compact proposal %+v; want 2 reports, 2 workers, default index 9 and 3 groups", compact)
		}
		if blocking := state.blockingMembers(draining, compact); len(blocking) != 2 {
			t.Errorf("blocked by %v, want 2 members", blocking)
		}
		raw, err := json.Marshal(compact)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	if few, many := length(3, 12), length(300, 1200); many > few+10 {
		t.Errorf("%d bytes for 300 members and 1200 workers, %d bytes for 3 and 12; want at most 10 more", many, few)
	}
}
