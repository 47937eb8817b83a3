package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Bounds on the size of a State.
const (
	maxResults = 512 // results of the newest calls; a repeated call whose result is kept is not executed again
	maxPlans   = 32  // above this number the oldest ended plans are dropped
)

// State is the replicated maintenance state of a group. Only Apply changes it.
type State struct {
	Seq          uint64             `json:"seq"`             // number of commands that changed the state
	Level        int                `json:"level,omitempty"` // highest Command.Level that was applied
	HistoryLost  bool               `json:"doubt,omitempty"` // after a repeated bootstrap: machines may be under maintenance for lost plans
	AppliedIndex uint64             `json:"index"`           // log index of the newest command
	Clock        time.Duration      `json:"clock"`           // the group's clock: never ahead of the elapsed time
	FenceTimeout time.Duration      `json:"bound"`           // time after which a silent member can no longer send requests or have attempts
	WarmUp       time.Duration      `json:"warm"`            // time until a started worker gets its full share of requests
	Members      map[string]*Member `json:"members"`
	Plans        []*PlanState       `json:"plans"`   // in the order of submission
	Results      []Result           `json:"answers"` // of the newest calls, oldest first
}

// New returns the state of a newly bootstrapped group.
func New() *State { return &State{Members: map[string]*Member{}} }

// Encode returns the state encoded for a snapshot. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode decodes a result of Encode. It rejects a state of a newer build, which this build would misread.
func Decode(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("decoding the state: %w", err)
	}
	if s.Level > SupportedLevel() {
		return nil, fmt.Errorf("the state is of a newer build: level %d, this build supports %d", s.Level, SupportedLevel())
	}
	return s, nil
}

// Clone returns a copy that can be changed without changing s. Both share the submitted plans and the lists of workers, which are replaced
// and never changed in place.
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

// Result returns the result of the call with the given ID, and whether the state has it.
func (s *State) Result(id string) (Result, bool) {
	i := slices.IndexFunc(s.Results, func(result Result) bool { return result.ID == id })
	if i < 0 {
		return Result{}, false
	}
	return s.Results[i], true
}

// addResult adds the result of a call and drops the oldest results beyond maxResults.
func (s *State) addResult(result Result) {
	s.Results = append(s.Results, result)
	s.Results = s.Results[max(0, len(s.Results)-maxResults):]
}
