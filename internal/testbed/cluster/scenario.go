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

// Scenario is a group with its maintenance plan and a timetable of faults and overrides. Times of the timetable count from when the
// group is bootstrapped and its plan runs.
type Scenario struct {
	Name              string        `toml:"name"`
	About             string        `toml:"about"`
	Members           int           `toml:"members"`
	For               time.Duration `toml:"for"`       // length of the run
	Machines          int           `toml:"machines"`  // machines of the plan, one worker each; 0: no plan
	MaxUnavailable    int           `toml:"out"`       // machines that may be unavailable at a time
	Work              time.Duration `toml:"work"`      // how long operators have each machine
	Lease             time.Duration `toml:"lease"`     // the group's lease
	PlanByHost        bool          `toml:"hosts"`     // plans name machines by their host, in place of their workers
	RenameWorkers     bool          `toml:"renamed"`   // while operators have a machine, its worker starts there under another name
	Diskless          bool          `toml:"diskless"`  // members persist nothing over a restart
	Plans             int           `toml:"plans"`     // plans among which the machines are divided in turn; 0: one
	WithoutPlan       bool          `toml:"by_hand"`   // no plan: operators write overrides at each member, and wait for as long as an attempt may run
	Reconfigured      bool          `toml:"retuned"`   // members begin with an eighth of the deadlines, and get the full ones by SIGHUP while the plan runs
	OlderBuild        int           `toml:"older"`     // the member that runs an older build until it is restarted, before the plan begins; 0: none
	JoiningMember     int           `toml:"joins"`     // the member that is down and in no other member's file until the plan has run for a while; 0: none
	RandomFaults      int           `toml:"storm"`     // number of further faults, drawn from the seed
	RandomOverrides   int           `toml:"say"`       // number of further overrides, drawn from the seed
	FullDisk          int           `toml:"failing"`   // the member whose disk accepts no more writes after a while; 0: none
	OldLists          bool          `toml:"old_lists"` // members begin with the endpoint list of the run's start after each restart
	NewerEntries      int           `toml:"newer"`     // the member that runs a future build, with kinds of entries of its own; 0: none
	StallingDisk      int           `toml:"stalling"`  // the member whose disk takes seconds for each synced write after a while; 0: none
	Failpoint         string        `toml:"plant"`     // a failpoint that is switched on in every member ...
	ExpectedViolation string        `toml:"caught"`    // ... and the rule that has to be violated by it
	Faults            []Fault       `toml:"fault"`
	Overrides         []Override    `toml:"word"`
}

// Bounds on a scenario. The number of workers is the same in every run.
const (
	minMembers  = 3
	maxMembers  = 50
	workers     = 9
	maxMachines = 6 // three are left for the load, and for faults of workers
	minLength   = 10 * time.Second
	maxLength   = time.Hour
	minLease    = time.Second
)

// DefaultScenario returns a scenario with the figures that one has by default.
func DefaultScenario() Scenario {
	return Scenario{Members: 3, For: 24 * time.Second, Machines: 2, MaxUnavailable: 1, Work: 300 * time.Millisecond, Lease: time.Second}
}

// baseScenario returns the testbed's scenario below a group of so many members: a steady load of short requests and quick endpoint
// lists, with no faults of its own.
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

// shippedName is the name of the built-in scenarios' file in errors.
const shippedName = "shipped.toml"

// Shipped returns the text of the built-in scenarios.
func Shipped() string { return string(shipped) }

// Load reads the scenarios of a file, or, where name has no / or ., the built-in scenario of that name.
func Load(name string) ([]Scenario, error) {
	if !strings.ContainsAny(name, "/.") {
		all, err := Decode(shippedName, shipped)
		if err != nil {
			return nil, err
		}
		if i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name }); i >= 0 {
			return all[i : i+1], nil
		}
		return nil, fmt.Errorf("no scenario %q comes with the program; `lab group list` has them, and a file has a / or . in its name", name)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading the scenarios: %w", err)
	}
	return Decode(name, raw)
}

// Decode decodes scenarios from TOML; name is the file's name in errors. Its error names everything that is wrong with them, by line
// and key.
func Decode(name string, raw []byte) ([]Scenario, error) {
	var file struct {
		Scenarios []Scenario `toml:"scenario"`
	}
	decoded := tomlfile.Read(name, raw, &file)
	if len(decoded.Errors()) > 0 {
		return nil, decoded.Err()
	}
	if len(file.Scenarios) == 0 {
		decoded.AddErrorf("scenario", "there is none: [[scenario]] begins one")
	}
	for i := range file.Scenarios {
		s, prefix := &file.Scenarios[i], fmt.Sprintf("scenario[%d].", i)
		s.setDefaults(func(key string) bool { return decoded.Has(prefix + key) })
		s.validate(func(key, format string, v ...any) { decoded.AddErrorf(prefix+key, format, v...) })
	}
	return file.Scenarios, decoded.Err()
}

// setDefaults sets the figures whose keys a file does not have.
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
