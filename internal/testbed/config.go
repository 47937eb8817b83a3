package testbed

import (
	"encoding/json"
	"fmt"
	"slices"

	"birchfork/internal/testbed/scenario"
)

// effects maps the effects of a scenario's classes to the values in the platform's configuration.
var effects = map[string]string{scenario.Safe: "free", scenario.Keyed: "guarded", scenario.Unsafe: "single_shot"}

// openCap is the maximum number of open requests of a dispatcher in the platform's settings.
const openCap = 30000

// Values of platform settings that scenarios do not set.
const (
	tickSeconds       = 0.002
	pollWithinSeconds = 10.0
	wasteCost         = 0.04
	lateFailureCost   = 0.05
)

// configValues holds the inputs of the platform's configuration of one dispatcher.
type configValues struct {
	scenario     *scenario.Scenario
	dispatcher   int
	seed         uint64
	listen       string
	discovery    string // address
	endpointList json.RawMessage
}

// The types below define the platform's configuration of a dispatcher. Their fields are sorted by JSON key.
type (
	dispatcherConfig struct {
		Discovery string          `json:"discovery"`
		Known     json.RawMessage `json:"known"`
		Limits    limitsConfig    `json:"limits"`
		Listen    string          `json:"listen"`
		Name      string          `json:"name"`
		Seed      string          `json:"seed"`
		Settings  settingsConfig  `json:"settings"`
	}

	limitsConfig struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}

	settingsConfig struct {
		Classes         []classConfig      `json:"classes"`
		Customers       []customerConfig   `json:"customers"`
		Extra           extraConfig        `json:"extra"`
		GroupSize       int                `json:"group_size"`
		MachineTypes    []string           `json:"machine_types"`
		Ordinal         int                `json:"ordinal"`
		OverQuotaWeight float64            `json:"over_share_worth"`
		PolicyLimits    policyLimitsConfig `json:"policy_limits"`
		Prices          pricesConfig       `json:"prices"`
		RegistryMode    string             `json:"registry_mode"`
		Report          reportConfig       `json:"report"`
		Safety          safetyConfig       `json:"safety"`
		Tick            float64            `json:"tick"` // seconds
		WeightBy        string             `json:"worth_by"`
		Zone            string             `json:"zone"`
		Zones           []string           `json:"zones"`
	}

	// classConfig is a class of requests; times are in seconds.
	classConfig struct {
		LatencyObjective float64 `json:"aim"`
		Deadline         float64 `json:"deadline"`
		Effect           string  `json:"effect"`
		Group            string  `json:"group"`
		LateWeight       float64 `json:"late_worth"`
		Name             string  `json:"name"`
		Stream           bool    `json:"stream"`
		Window           float64 `json:"window"`
		PriorityWeight   float64 `json:"worth"`
	}

	customerConfig struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
		Share float64 `json:"share"`
	}

	// extraConfig holds further settings. ClassKinds has the index of the worker kind of each class, ClassStretch the stretch
	// of its latency objective.
	extraConfig struct {
		ClassKinds   []int     `json:"class_kind"`
		ClassStretch []float64 `json:"class_stretch"`
		Progress     float64   `json:"progress"` // seconds
		ReportsStart bool      `json:"tells_start"`
	}

	// policyLimitsConfig holds the platform's limits for the decision module; times are in seconds.
	policyLimitsConfig struct {
		MaxAttempts    int     `json:"attempts_cap"`
		CanCancel      bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect_timeout"`
		IdleClose      float64 `json:"idle_close"`
		MaxRetryAfter  float64 `json:"max_retry_after"`
		OpenCap        int     `json:"open_cap"`
		Peers          bool    `json:"peers"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
		CanHedge       bool    `json:"second_copies"`
	}

	pricesConfig struct {
		CrossZone   float64 `json:"cross_zone"`
		LateFailure float64 `json:"late_fail"`
		Waste       float64 `json:"waste"`
	}

	reportConfig struct {
		Mode string `json:"how"`
	}

	// safetyConfig holds the parameters of the rules; times are in seconds.
	safetyConfig struct {
		PollWithin         float64 `json:"ask_within"`
		SlowStartMinFactor float64 `json:"cold_from"`
		OverloadWindow     float64 `json:"fall"`
		OverloadMultiple   float64 `json:"fall_multiple"`
		DrainGrace         float64 `json:"stop_sending_within"`
		SlowStartWindow    float64 `json:"warm_within"`
	}
)

// encode returns the configuration as JSON, in the platform's format.
func (v configValues) encode() ([]byte, error) {
	limits := v.scenario.Limits
	return json.MarshalIndent(dispatcherConfig{
		Name: fmt.Sprintf("d%d", v.dispatcher), Listen: v.listen, Discovery: v.discovery, Seed: fmt.Sprintf("%016x", v.seed),
		Limits: limitsConfig{Cores: limits.Cores, MemoryMB: limits.MemoryMB, Sockets: limits.Sockets},
		Known:  v.endpointList, Settings: v.settings(),
	}, "", " ")
}

func (v configValues) settings() settingsConfig {
	s, terms := v.scenario, &v.scenario.Terms
	machineTypes := workerKinds(s)
	return settingsConfig{
		Classes: classConfigs(s), Customers: customerConfigs(s), Zones: s.Zones, Zone: s.Zones[v.dispatcher%len(s.Zones)],
		MachineTypes: machineTypes, GroupSize: s.Dispatchers, Ordinal: v.dispatcher, Tick: tickSeconds,
		OverQuotaWeight: terms.OverQuotaWeight, RegistryMode: "automatic", WeightBy: "request",
		Extra: extraOf(s, machineTypes),
		PolicyLimits: policyLimitsConfig{
			MaxAttempts: terms.Attempts, CanCancel: true, ConnectTimeout: terms.ConnectTimeout.Seconds(),
			IdleClose: terms.IdleClose.Seconds(), MaxRetryAfter: terms.MaxRetryAfter.Seconds(), OpenCap: openCap,
			RetryAfter: terms.RetryAfter, CanHedge: terms.Hedging,
		},
		Prices: pricesConfig{Waste: wasteCost, LateFailure: lateFailureCost},
		Report: reportConfig{Mode: "off"},
		Safety: safetyConfig{
			PollWithin: pollWithinSeconds, SlowStartMinFactor: terms.SlowStartMinFactor, OverloadWindow: terms.OverloadWindow.Seconds(),
			OverloadMultiple: terms.OverloadMultiple, DrainGrace: terms.DrainGrace.Seconds(), SlowStartWindow: terms.SlowStartWindow.Seconds(),
		},
	}
}

func classConfigs(s *scenario.Scenario) []classConfig {
	classes := make([]classConfig, 0, len(s.Classes))
	for _, c := range s.Classes {
		classes = append(classes, classConfig{
			Name: c.Name, LatencyObjective: c.LatencyObjective.Seconds(), Deadline: c.Deadline.Seconds(), Effect: effects[c.Effect],
			Group: c.Group, LateWeight: c.LateWeight, Window: c.Window.Seconds(), PriorityWeight: c.PriorityWeight,
		})
	}
	return classes
}

// customerConfigs returns the tenants of a scenario, or nil (null in the JSON) if there are none.
func customerConfigs(s *scenario.Scenario) []customerConfig {
	var customers []customerConfig //nolint:prealloc // without a tenant it stays nil: null in the JSON
	for _, t := range s.Tenants {
		customers = append(customers, customerConfig{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	return customers
}

func extraOf(s *scenario.Scenario, machineTypes []string) extraConfig {
	extra := extraConfig{
		ClassKinds: make([]int, 0, len(s.Classes)), ClassStretch: make([]float64, 0, len(s.Classes)),
		Progress: s.Terms.Progress.Seconds(), ReportsStart: s.Terms.ReportsProgress,
	}
	for _, c := range s.Classes {
		extra.ClassStretch = append(extra.ClassStretch, c.Stretch)
		extra.ClassKinds = append(extra.ClassKinds, slices.Index(machineTypes, c.Kind)) // -1 without a kind: all workers run it
	}
	return extra
}

// workerKinds returns the distinct kinds of the workers in order of first occurrence.
func workerKinds(s *scenario.Scenario) []string {
	var kinds []string
	for _, w := range s.Workers {
		if !slices.Contains(kinds, w.Kind) {
			kinds = append(kinds, w.Kind)
		}
	}
	return kinds
}
