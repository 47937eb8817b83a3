package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Bounds on what a State keeps.
const (
	maxResults = 512 // results of the newest calls: a call that is repeated within them is not carried out again
	maxPlans   = 32  // beyond them plans that have ended are dropped, the oldest first
)

// State is the group's replicated state of maintenance. Only Apply changes it.
type State struct {
	Seq          uint64             `json:"seq"`             // number of commands that changed the state
	Level        int                `json:"level,omitempty"` // highest Command.Level that was applied
	HistoryLost  bool               `json:"doubt,omitempty"` // after a new bootstrap: lost plans may have machines under maintenance
	AppliedIndex uint64             `json:"index"`           // log index of the newest command
	Clock        time.Duration      `json:"clock"`           // the group's clock: never ahead of the time that has passed
	FenceTimeout time.Duration      `json:"bound"`           // after this time a silent member can neither send nor have attempts running
	WarmUp       time.Duration      `json:"warm"`            // time until a started worker takes its full share
	Members      map[string]*Member `json:"members"`
	Plans        []*PlanState       `json:"plans"`   // in the order of their submission
	Results      []Result           `json:"answers"` // of the newest calls, the oldest first
}

// New returns the state of a group that has just been bootstrapped.
func New() *State { return &State{Members: map[string]*Member{}} }

// Encode returns the state as bytes for a snapshot. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads what Encode wrote. It fails for a state that a newer build has written and this one would misread.
func Decode(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("decode the state: %w", err)
	}
	if s.Level > SupportedLevel() {
		return nil, fmt.Errorf("the state is of a newer build: level %d, here is %d", s.Level, SupportedLevel())
	}
	return s, nil
}

// Clone returns a copy that can be changed without changing s. The two share the texts of plans and the lists of workers, which
// are replaced and never changed in place.
func (s *State) Clone() *State {
	clone := *s
	clone.Results = slices.Clone(s.Results)
	clone.Members = make(map[string]*Member, len(s.Members))
	for name, member := range s.Members {
		clone.Members[name] = member.clone()
	}
	clone.Plans = nil
	for _, plan := range s.Plans {
		clone.Plans = append(clone.Plans, plan.clone())
	}
	return &clone
}

// Result returns the result of the call with an ID, and whether it is known.
func (s *State) Result(id string) (Result, bool) {
	i := slices.IndexFunc(s.Results, func(result Result) bool { return result.ID == id })
	if i < 0 {
		return Result{}, false
	}
	return s.Results[i], true
}

// addResult keeps the result of a call, and drops the oldest ones beyond maxResults.
func (s *State) addResult(result Result) {
	s.Results = append(s.Results, result)
	s.Results = s.Results[max(0, len(s.Results)-maxResults):]
}
