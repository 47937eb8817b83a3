// Package config reads the operator's file: what an operator wishes beside the platform's configuration. It can narrow
// what the rules and the platform allow and never widens it; a file that tries is refused whole, with every fault named.
// The platform's figures come from its own JSON, see internal/server.
package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// Policy are what can be set by default, class, tenant and route. Which of them were set is told by the layers.
type Policy struct {
	Timeout             time.Duration `toml:"timeout"`
	AttemptTimeout      time.Duration `toml:"attempt_timeout"`
	QueueTimeout        time.Duration `toml:"hold"`
	MaxAttempts         int           `toml:"attempts"`
	Hedging             bool          `toml:"second_copies"`
	HedgeDelay          time.Duration `toml:"hedge_after"`
	RetryMode           string        `toml:"repeat"`
	RetryWindow         time.Duration `toml:"repeat_within"`
	Backoff             time.Duration `toml:"backoff"`
	MaxBackoff          time.Duration `toml:"backoff_most"`
	Jitter              float64       `toml:"jitter"`
	RetryBudget         float64       `toml:"retry_budget"`
	MinRetriesPerSecond float64       `toml:"retry_floor"`
	MaxConcurrent       int           `toml:"concurrent"`
	MaxQueued           int           `toml:"queue"`
	Rate                float64       `toml:"rate"`
	Burst               int           `toml:"burst"`
	RateScope           string        `toml:"rate_by"`
	Priority            int           `toml:"priority"`
	RetryAfter          time.Duration `toml:"retry_after"`
}

// What may be sent again.
const (
	RetryAllowed = "lawful" // whatever the class allows
	RetryNotRun  = "unrun"  // only what is known not to have run
	RetryAny     = "any"    // also what may have run: for safe classes the same as lawful
)

// operatorFile is the operator's file as it is written.
type operatorFile struct {
	Total struct {
		MaxConcurrent int  `toml:"concurrent"`
		Adaptive      bool `toml:"adaptive"`
		MinConcurrent int  `toml:"least"`
		MaxKeys       int  `toml:"keys"`
	} `toml:"total"`
	Platform struct {
		DrainGrace   time.Duration `toml:"drain_grace"`
		WarmWithin   time.Duration `toml:"warm_within"`
		FallMultiple float64       `toml:"fall_multiple"`
		ColdFrom     float64       `toml:"cold_from"`
	} `toml:"platform"`
	Group   groupSection    `toml:"group"`
	Default Policy          `toml:"default"`
	Classes []classSection  `toml:"class"`
	Tenants []tenantSection `toml:"tenant"`
	Routes  []routeSection  `toml:"route"`
}

type classSection struct {
	Name string `toml:"name"`
	Policy
}

type tenantSection struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Policy
}

type routeSection struct {
	Name     string `toml:"name"`
	Class    string `toml:"class"`
	Path     string `toml:"path"`
	Tenant   string `toml:"tenant"`
	Method   string `toml:"method"`
	Fallback string `toml:"fallback"`
	Policy
}

// Platform is what the platform's configuration says, as far as the operator's file has to agree with it.
type Platform struct {
	Name                 string // of this dispatcher
	Settings             dispatch.Settings
	ClassNames           []string // their names, by their number
	TenantNames          []string
	MaxClientConnections int   // connections from clients that requests can be taken from
	MemoryBytes          int64 // bytes
}

// OperatorConfig is a file that has passed all checks.
type OperatorConfig struct {
	Path        string
	Routes      *routes.Table
	Admission   admission.Config
	Settings    dispatch.Settings // the platform's, narrowed
	Explanation []ExplainedValue  // what is in force, for people
	Group       *Group            // nil: it is in none
	Digest      string            // of the file's text
}

// ExplainedValue is one figure in force.
type ExplainedValue struct {
	Route, Key, Value, Source string
}

// Names of the layers.
const (
	sourcePlatform   = "platform"
	defaultRouteName = "rest" // the route for what no other matches
)

// Load reads and checks an operator's file. Its error names every fault, a line each.
func Load(path string, platform Platform) (*OperatorConfig, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, tomlfile.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	config, err := Decode(path, raw, platform)
	if err != nil {
		return nil, err
	}
	config.Path, config.Digest = path, fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return config, nil
}

// Decode reads and checks an operator's file.
func Decode(path string, raw []byte, platform Platform) (*OperatorConfig, error) {
	var file operatorFile
	doc := tomlfile.Read(path, raw, &file)
	if len(doc.Errors()) > 0 {
		return nil, doc.Err() // what could not be read would look missing
	}
	c := &checker{doc: doc, file: &file, platform: platform}
	config := c.build()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// policyLayer is one place where figures can be set.
type policyLayer struct {
	key    string // in the file, such as route[0]; empty: none
	source string // for people
	policy *Policy
}

// origin is a figure in force with where it comes from.
type origin struct {
	layer policyLayer
	isSet bool
}

// effectivePolicy are the figures in force for one kind of request.
type effectivePolicy struct {
	Policy
	origins map[string]origin // by key
}

// keyPath is where a figure stands in the file, to name it in a fault.
func (e *effectivePolicy) keyPath(name string) string {
	if origin := e.origins[name]; origin.isSet {
		return origin.layer.key + "." + name
	}
	return name
}

// isSet tells whether anybody set a figure.
func (e *effectivePolicy) isSet(name string) bool { return e.origins[name].isSet }

// policyKeys are the keys of Figures in their order.
var policyKeys = func() (keys []string) {
	t := reflect.TypeFor[Policy]()
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("toml"))
	}
	return keys
}()

// overlay lays layers over each other, the last one on top.
func (c *checker) overlay(layers ...policyLayer) *effectivePolicy {
	policy := &effectivePolicy{origins: map[string]origin{}}
	target := reflect.ValueOf(&policy.Policy).Elem()
	for _, layer := range layers {
		if layer.policy == nil {
			continue
		}
		source := reflect.ValueOf(layer.policy).Elem()
		for i, key := range policyKeys {
			if c.doc.Has(layer.key + "." + key) {
				target.Field(i).Set(source.Field(i))
				policy.origins[key] = origin{layer, true}
			}
		}
	}
	return policy
}

// explain are the figures in force for people.
func (e *effectivePolicy) explain(route string, platform *Platform, class *dispatch.Class) (lines []ExplainedValue) {
	values := reflect.ValueOf(&e.Policy).Elem()
	for i, key := range policyKeys {
		origin := e.origins[key]
		if origin.isSet {
			lines = append(lines, ExplainedValue{route, key, fmt.Sprint(values.Field(i).Interface()), origin.layer.source})
			continue
		}
		value := "no limit"
		switch key {
		case "timeout":
			value = "the client's own, " + formatMicros(class.Deadline) + " at the most"
		case "attempt_timeout":
			value = "as long as the client waits"
		case "attempts":
			value = fmt.Sprint(platform.Settings.MaxAttempts)
		case "second_copies":
			value = fmt.Sprint(platform.Settings.CanHedge && class.Idempotency == dispatch.Idempotent)
		case "repeat":
			value = RetryAllowed + ": " + describeEffect(class.Idempotency)
		case "repeat_within":
			value = "-"
			if class.Idempotency == dispatch.Deduplicated {
				value = formatMicros(class.DedupWindow)
			}
		case "hold":
			value = "as long as the answer can be in time"
		case "hedge_after", "backoff", "backoff_most", "jitter", "priority", "burst", "retry_after":
			value = "0"
		case "rate_by":
			value = rateByRoute
		}
		lines = append(lines, ExplainedValue{route, key, value, sourcePlatform})
	}
	return lines
}

func describeEffect(effect dispatch.Idempotency) string {
	return [...]string{"safe to repeat", "keyed: repeats are dropped within its group and window", "must never run twice"}[effect]
}

func formatMicros(t dispatch.Time) string { return (time.Duration(t) * time.Microsecond).String() }

// Explain prints what is in force, and where each figure comes from.
func (c *OperatorConfig) Explain(w io.Writer) error {
	lastRoute := ""
	var errs []error
	for _, line := range c.Explanation {
		if line.Route != lastRoute {
			_, err := fmt.Fprintf(w, "%s\n", line.Route)
			errs = append(errs, err)
			lastRoute = line.Route
		}
		_, err := fmt.Fprintf(w, "  %-16s %-44s %s\n", line.Key, line.Value, line.Source)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// joinNames lists names for a message.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "there are none"
	}
	return strings.Join(names, ", ")
}
