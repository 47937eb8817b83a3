package rig

// Settings of two deployments, as a small one has them. The figures are those that the platform's pages and the site files give.

// Valdora returns the settings of the journey planner.
func Valdora() map[string]any {
	return map[string]any{
		"family": "jobs", "group_size": 2, "ordinal": 0, "tick": 0.002, "tier": 0, "tiers": []string{"route-workers"},
		"classes": []any{
			map[string]any{"name": "journey-search", "aim": 0.4, "deadline": 10.0, "effect": "free", "group": "all", "window": 5.0,
				"late_worth": 0.0, "stream": false, "worth": 5.0},
			map[string]any{"name": "ticket-issue", "aim": 0.4, "deadline": 5.0, "effect": "single_shot", "group": "all", "window": 5.0,
				"late_worth": 0.0, "stream": false, "worth": 3.0},
		},
		"clients": map[string]any{"marks_retry": true},
		"customers": []any{
			map[string]any{"name": "linee-urbane", "quota_rps": 14.0, "share": 0.37},
			map[string]any{"name": "bus-provincia", "quota_rps": 14.0, "share": 0.37},
			map[string]any{"name": "ferrovia-valle", "quota_rps": 5.0, "share": 0.14},
			map[string]any{"name": "navetta-lago", "quota_rps": 5.0, "share": 0.12},
		},
		"extra": map[string]any{
			"class_kind": []int{-1, -1}, "class_priority": []int{1, 0}, "class_stretch": []float64{1.75, 2.0},
			"memory_unit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done", "progress": 1.0,
			"queue_order": "fifo", "report_x0": "free slots", "report_x1": "free memory", "tells_start": true,
		},
		"goal":          map[string]any{"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
		"machine_types": []string{"calc-a3", "calc-b5", "calc-c2"}, "over_share_worth": 0.05,
		"policy_limits": map[string]any{
			"attempts_cap": 6, "cancel": true, "connect_timeout": 0.25, "cpu_us_per_request": 10.0, "cpu_us_per_s": 12000,
			"idle_close": 30.0, "max_retry_after": 2.0, "open_cap": 30000, "peers": false, "probes": true, "retry_after": true,
			"second_copies": true, "streams_per_conn": 1,
		},
		"prices": map[string]any{
			"connection": 0.0, "cross_zone": 0.022, "handshake": 0.0, "late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0,
			"probe": 0.004, "registry_mode": 0.0, "waste": 0.04,
		},
		"registry_mode": "automatic", "report": map[string]any{"how": "off", "names": []string{}},
		"safety": map[string]any{
			"answer_slack": 0.008, "ask_within": 10.0, "cold_from": 0.12, "fall": 1.5, "fall_multiple": 2.5,
			"stop_sending_within": 0.5, "warm_within": 24.0,
		},
		"weight_kind": "rough", "worth_by": "request", "zone": "sala-sud", "zones": []string{"sala-nord", "sala-centro", "sala-sud"},
	}
}

// PSMA returns the settings of the error tracking workers, whose list has to be asked for.
func PSMA(dispatchers int) map[string]any {
	return map[string]any{
		"family": "jobs", "group_size": dispatchers, "ordinal": 0, "tick": 0.002, "tier": 0, "tiers": []string{"error-workers"},
		"classes": []any{
			map[string]any{"name": "event-ingest", "aim": 0.3, "deadline": 5.0, "effect": "guarded", "group": "zone", "window": 7.5,
				"late_worth": 0.0, "stream": false, "worth": 10.0},
			map[string]any{"name": "alert-send", "aim": 1.2, "deadline": 20.0, "effect": "single_shot", "group": "all", "window": 7.5,
				"late_worth": 0.0, "stream": false, "worth": 3.0},
		},
		"clients": map[string]any{"marks_retry": false}, "customers": []any{},
		"extra": map[string]any{
			"class_kind": []int{-1, -1}, "class_priority": []int{1, 0}, "class_stretch": []float64{2.0, 1.75},
			"notes": "1 it has started, 2 share done", "progress": 1.0, "queue_order": "fifo", "report_x0": "free slots", "tells_start": true,
		},
		"goal":          map[string]any{"whole": 0.5, "worst_class": 0.35, "worst_tenant": 0.0, "worst_window": 0.15},
		"machine_types": []string{"std-5core"}, "over_share_worth": 1.0,
		"policy_limits": map[string]any{
			"attempts_cap": 5, "cancel": true, "connect_timeout": 0.2, "cpu_us_per_request": 0.0, "cpu_us_per_s": 75000,
			"idle_close": 10.0, "max_retry_after": 2.0, "open_cap": 20000, "peers": false, "probes": false, "retry_after": true,
			"second_copies": false, "streams_per_conn": 1,
		},
		"prices": map[string]any{
			"connection": 0.0, "cross_zone": 0.02, "handshake": 0.0, "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0,
			"probe": 0.0, "registry_mode": 0.005, "waste": 0.036,
		},
		"registry_mode": "subscribe", "report": map[string]any{"how": "inline", "names": []string{"pending", "x0"}},
		"safety": map[string]any{
			"answer_slack": 0.008, "ask_within": 10.0, "cold_from": 0.12, "fall": 3.0, "fall_multiple": 3.0,
			"stop_sending_within": 0.75, "warm_within": 22.0,
		},
		"weight_kind": "off", "worth_by": "work", "zone": "regina", "zones": []string{"regina", "saskatoon"},
	}
}

// Config returns a configuration around settings.
func Config(name, listen, discovery string, memoryMB, sockets int, known any, settings map[string]any) map[string]any {
	config := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": NewID(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "settings": settings,
	}
	if known != nil {
		config["known"] = known
	}
	return config
}
