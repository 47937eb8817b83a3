package cluster

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"birchfork/internal/testbed/scenario"
	"birchfork/internal/tomlfile"
)

// Scenario describes a group, its maintenance plan and a timetable of faults and overrides. Times in the timetable are relative to the
// moment at which the group is bootstrapped and its plan runs.
type Scenario struct {
	Name              string        `toml:"name"`
	About             string        `toml:"about"`
	Members           int           `toml:"members"`
	For               time.Duration `toml:"for"`       // length of the run
	Machines          int           `toml:"machines"`  // machines of the plan, one worker each; 0: no plan
	MaxUnavailable    int           `toml:"out"`       // machines that may be unavailable at the same time
	Work              time.Duration `toml:"work"`      // how long operators work on each machine
	Lease             time.Duration `toml:"lease"`     // duration of the group's lease
	PlanByHost        bool          `toml:"hosts"`     // plans name machines by host instead of by worker
	RenameWorkers     bool          `toml:"renamed"`   // a worker restarts under another name while operators work on its machine
	Diskless          bool          `toml:"diskless"`  // members persist nothing across restarts
	Plans             int           `toml:"plans"`     // plans to which the machines are assigned in turn; 0: one
	WithoutPlan       bool          `toml:"by_hand"`   // operators use overrides at each member instead of a plan, and wait until all attempts must have ended
	Reconfigured      bool          `toml:"retuned"`   // members start with an eighth of the deadlines and reload the full ones while the plan runs (SIGHUP)
	OlderBuild        int           `toml:"older"`     // member that runs an older build at first and is restarted with the current one before the plan runs; 0: none
	JoiningMember     int           `toml:"joins"`     // member that is down and missing from the others' files until the plan has run for a while; 0: none
	RandomFaults      int           `toml:"storm"`     // number of additional faults, drawn from the seed
	RandomOverrides   int           `toml:"say"`       // number of additional overrides, drawn from the seed
	FullDisk          int           `toml:"failing"`   // member whose disk rejects all writes after a while; 0: none
	OldLists          bool          `toml:"old_lists"` // after each restart members begin with the endpoint list of the start of the run
	NewerEntries      int           `toml:"newer"`     // member that runs a future build with kinds of entries that others do not know; 0: none
	StallingDisk      int           `toml:"stalling"`  // member whose disk takes seconds for each synced write after a while; 0: none
	Failpoint         string        `toml:"plant"`     // failpoint that is enabled in every member
	ExpectedViolation string        `toml:"caught"`    // rule that the failpoint must violate
	Faults            []Fault       `toml:"fault"`
	Overrides         []Override    `toml:"word"`
}

// Bounds on a scenario. The number of workers is the same in every run.
const (
	minMembers  = 3
	maxMembers  = 50
	workers     = 9
	maxMachines = 6 // three workers remain for the load and for worker faults
	minLength   = 10 * time.Second
	maxLength   = time.Hour
	minLease    = time.Second
)

// DefaultScenario returns a scenario with default values.
func DefaultScenario() Scenario {
	return Scenario{Members: 3, For: 24 * time.Second, Machines: 2, MaxUnavailable: 1, Work: 300 * time.Millisecond, Lease: time.Second}
}

// baseScenario returns the testbed's scenario for a group with the given number of members: a steady load of short requests and fast
// endpoint list updates, without faults.
func baseScenario(members int, length time.Duration) (*scenario.Scenario, error) {
	s, err := scenario.Load("calm")
	if err != nil {
		return nil, err
	}
	if err := s.Override(60, length, workers, members); err != nil {
		return nil, err
	}
	for i := range s.Classes {
		s.Classes[i].Deadline = 2 * time.Second
	}
	s.Terms.ConnectTimeout = 300 * time.Millisecond
	s.Classes[0].Work = 600 * time.Millisecond
	s.Uneven = 0
	s.Terms.SlowStartWindow = time.Second
	s.List.Lag, s.List.Jitter = 100*time.Millisecond, 100*time.Millisecond
	return s, nil
}

//go:embed shipped.toml
var shipped []byte

// shippedName is the file name of the built-in scenarios in errors.
const shippedName = "shipped.toml"

// Shipped returns the text of the built-in scenarios.
func Shipped() string { return string(shipped) }

// Load reads the scenarios of a file. A name without / or . selects the built-in scenario of that name.
func Load(name string) ([]Scenario, error) {
	if !strings.ContainsAny(name, "/.") {
		all, err := Decode(shippedName, shipped)
		if err != nil {
			return nil, err
		}
		if i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name }); i >= 0 {
			return all[i : i+1], nil
		}
		return nil, fmt.Errorf("unknown built-in scenario %q: see `birchfork testbed cluster list`; a path of a file must contain a slash or a dot", name)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading the scenarios: %w", err)
	}
	return Decode(name, raw)
}

// Decode decodes scenarios from TOML; name is the file's name in errors. The error lists every invalid value by line and key.
func Decode(name string, raw []byte) ([]Scenario, error) {
	var file struct {
		Scenarios []Scenario `toml:"scenario"`
	}
	decoded := tomlfile.Read(name, raw, &file)
	if len(decoded.Errors()) > 0 {
		return nil, decoded.Err()
	}
	if len(file.Scenarios) == 0 {
		decoded.AddErrorf("scenario", "missing: at least one [[scenario]] is required")
	}
	for i := range file.Scenarios {
		s, prefix := &file.Scenarios[i], fmt.Sprintf("scenario[%d].", i)
		s.setDefaults(func(key string) bool { return decoded.Has(prefix + key) })
		s.validate(func(key, format string, v ...any) { decoded.AddErrorf(prefix+key, format, v...) })
	}
	return file.Scenarios, decoded.Err()
}

// setDefaults sets the values whose keys are missing in the file.
func (s *Scenario) setDefaults(has func(key string) bool) {
	defaults := DefaultScenario()
	if !has("members") {
		s.Members = defaults.Members
	}
	if !has("for") {
		s.For = defaults.For
	}
	if !has("machines") {
		s.Machines = defaults.Machines
	}
	if !has("out") {
		s.MaxUnavailable = defaults.MaxUnavailable
	}
	if !has("work") {
		s.Work = defaults.Work
	}
	if !has("lease") {
		s.Lease = defaults.Lease
	}
}
