package settings

import (
	"strconv"

	"birchfork/dispatch"
)

// Decode decodes the settings of one dispatcher and assigns ids to the names in them. Missing settings default to the
// most restrictive value. The returned error joins an Error for each malformed setting.
func Decode(pairs *Pairs, names *NameTable) (dispatch.Settings, error) {
	zones, kinds := pairs.list("zones"), pairs.list("machine_types")
	assignIDs(names.zones, zones)
	assignIDs(names.kinds, kinds)
	settings := dispatch.Settings{
		OverQuotaWeight:    pairs.Float("over_share_worth", 1),
		ZoneCount:          len(zones),
		KindCount:          len(kinds),
		Zone:               names.ZoneID(pairs.Text("zone", "")),
		GroupSize:          pairs.Int("group_size", 1),
		Ordinal:            pairs.Int("ordinal", 0),
		PeerMessages:       pairs.Bool("policy_limits.peers", false),
		Tick:               pairs.duration("tick", dispatch.Millisecond),
		MaxAttempts:        pairs.Int("policy_limits.attempts_cap", 1),
		CanCancel:          pairs.Bool("policy_limits.cancel", false),
		CanHedge:           pairs.Bool("policy_limits.second_copies", false),
		RetryAfter:         pairs.Bool("policy_limits.retry_after", false),
		MaxRetryAfter:      pairs.duration("policy_limits.max_retry_after", 0),
		ConnectTimeout:     pairs.duration("policy_limits.connect_timeout", 0),
		EndpointsOnRequest: pairs.choice("registry_mode", "automatic", "automatic", "subscribe") == 1,
		ReportsStart:       pairs.Bool("extra.tells_start", false),
		ProgressInterval:   pairs.duration("extra.progress", 0),
		MaxPollInterval:    pairs.duration("safety.ask_within", 10*dispatch.Second),
		DrainGrace:         pairs.duration("safety.stop_sending_within", 0),
		SlowStartMinFactor: pairs.Float("safety.cold_from", 1),
		SlowStartWindow:    pairs.duration("safety.warm_within", 0),
		OverloadMultiple:   pairs.Float("safety.fall_multiple", 1),
		OverloadWindow:     pairs.duration("safety.fall", 0),
		PriceWaste:         pairs.Float("prices.waste", 0),
		PriceFetch:         pairs.Float("prices.origin", 0),
		PriceLateFail:      pairs.Float("prices.late_fail", 0),
		PriceCrossZone:     pairs.Float("prices.cross_zone", 0),
		IdleTimeout:        pairs.duration("policy_limits.idle_close", 0),
	}
	switch pairs.Text("weight_kind", "off") {
	case "nominal", "rough":
		settings.WeightsShowSize = true
	case "live":
		settings.WeightsShowLoad = true
	}
	settings.Classes = decodeClasses(pairs, names)
	settings.Tenants = decodeTenants(pairs, names)
	return settings, pairs.Err()
}

func decodeClasses(pairs *Pairs, names *NameTable) []dispatch.Class {
	stretches, kinds := pairs.list("extra.class_stretch"), pairs.list("extra.class_kind")
	count := pairs.count("classes.count")
	if count == 0 {
		return nil
	}
	classes := make([]dispatch.Class, count)
	for i := range classes {
		prefix := "classes." + strconv.Itoa(i) + "."
		classes[i] = dispatch.Class{
			LatencyObjective: pairs.duration(prefix+"aim", 0),
			ObjectiveStretch: pairs.Float(prefix+"aim_stretch", pairs.listNumber("extra.class_stretch", stretches, i, 0)),
			Deadline:         pairs.duration(prefix+"deadline", 0),
			PriorityWeight:   pairs.Float(prefix+"worth", 1),
			LateWeight:       pairs.Float(prefix+"late_worth", 0),
			Idempotency:      dispatch.Idempotency(pairs.choice(prefix+"effect", "single_shot", "free", "guarded", "single_shot")),
			DedupScope:       dispatch.DedupScope(pairs.choice(prefix+"group", "cell", "all", "zone", "cell")),
			DedupWindow:      pairs.duration(prefix+"window", 0),
			WorkerKind:       int(pairs.listNumber("extra.class_kind", kinds, i, -1)),
		}
		names.classes[pairs.Text(prefix+"name", strconv.Itoa(i))] = i
	}
	return classes
}

func decodeTenants(pairs *Pairs, names *NameTable) []dispatch.Tenant {
	count := pairs.count("customers.count")
	if count == 0 {
		return nil
	}
	tenants := make([]dispatch.Tenant, count)
	for i := range tenants {
		prefix := "customers." + strconv.Itoa(i) + "."
		names.tenants[pairs.Text(prefix+"name", strconv.Itoa(i))] = i
		tenants[i] = dispatch.Tenant{QuotaRPS: pairs.Float(prefix+"quota_rps", 0)}
	}
	return tenants
}
