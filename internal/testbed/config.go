package testbed

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchfork/internal/testbed/scenario"
)

// effects are the platform's words for the effects of a class.
var effects = map[string]string{scenario.Safe: "free", scenario.Keyed: "guarded", scenario.Unsafe: "single_shot"}

// Most that is held open at a dispatcher, as the platform's settings have it.
const openCap = 30000

// configuration is what the platform would tell a dispatcher.
func configuration(s *scenario.Scenario, i int, seed uint64, listen, discovery string, known json.RawMessage) ([]byte, error) {
	type object = map[string]any
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	var machines []string
	for _, w := range s.Workers {
		machines = append(machines, w.Kind)
	}
	machines = unique(machines)
	classes := make([]object, 0, len(s.Classes)) // there is one at least
	stretch := make([]any, 0, len(s.Classes))
	kinds := make([]any, 0, len(s.Classes))
	var customers []object //nolint:prealloc // without a tenant it stays nil: null in the JSON
	for _, c := range s.Classes {
		classes = append(classes, object{
			"name": c.Name, "aim": seconds(c.LatencyObjective), "deadline": seconds(c.Deadline), "effect": effects[c.Effect], "group": c.Group,
			"late_worth": c.LateWeight, "window": seconds(c.Window), "worth": c.PriorityWeight, "stream": false,
		})
		stretch, kinds = append(stretch, c.Stretch), append(kinds, slices.Index(machines, c.Kind)) // -1: all
	}
	for _, t := range s.Tenants {
		customers = append(customers, object{"name": t.Name, "share": t.Share, "quota_rps": t.Quota})
	}
	t := &s.Terms
	settings := object{
		"classes": classes, "customers": customers, "zones": s.Zones, "zone": s.Zones[i%len(s.Zones)],
		"machine_types": machines, "group_size": s.Dispatchers, "ordinal": i, "tick": 0.002,
		"over_share_worth": t.OverQuotaWeight, "registry_mode": "automatic", "worth_by": "request",
		"extra": object{"class_stretch": stretch, "class_kind": kinds, "progress": seconds(t.Progress), "tells_start": t.Notes},
		"policy_limits": object{
			"attempts_cap": t.Attempts, "cancel": true, "connect_timeout": seconds(t.ConnectTimeout),
			"idle_close": seconds(t.IdleClose), "max_retry_after": seconds(t.MaxRetryAfter), "open_cap": openCap,
			"peers": false, "probes": false, "retry_after": t.RetryAfter, "second_copies": t.Hedging,
		},
		"prices": object{"waste": 0.04, "late_fail": 0.05, "cross_zone": 0.0},
		"report": object{"how": "off"},
		"safety": object{
			"ask_within": 10.0, "cold_from": t.SlowStartMinFactor, "fall": seconds(t.OverloadWindow), "fall_multiple": t.OverloadMultiple,
			"stop_sending_within": seconds(t.DrainGrace), "warm_within": seconds(t.SlowStartWindow),
		},
	}
	return json.MarshalIndent(object{
		"name": fmt.Sprintf("d%d", i), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits":   object{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"known":    known,
		"settings": settings,
	}, "", " ")
}

func unique(all []string) (out []string) {
	seen := map[string]bool{}
	for _, s := range all {
		if !seen[s] {
			out = append(out, s)
		}
		seen[s] = true
	}
	return out
}
