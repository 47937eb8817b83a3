package dispatch

import "fmt"

// SettingsError reports an invalid field of Settings.
type SettingsError struct {
	Field  string // Go path, for instance "Classes[1].Deadline"
	Reason string
}

// Error returns the field and the reason.
func (e *SettingsError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &SettingsError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingsError for the first invalid field. Conditions on floating-point numbers are
// written so that NaN is rejected.
func validate(s *Settings) error {
	for _, part := range []func(*Settings) error{
		validateClasses, validateTenants, validateGroup, validateTimes, validateNumbers,
	} {
		if err := part(s); err != nil {
			return err
		}
	}
	return nil
}

func validateClasses(s *Settings) error {
	if len(s.Classes) == 0 {
		return invalid("Classes", "must not be empty")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.WorkerKind < -1 || c.WorkerKind >= s.KindCount:
			return invalid(field("WorkerKind"),
				"invalid value %d: must be at least -1 and less than KindCount", c.WorkerKind)
		case c.Idempotency > NonIdempotent:
			return invalid(field("Idempotency"), "invalid value %d: must be one of the values of Idempotency", c.Idempotency)
		case c.DedupScope > DedupCell:
			return invalid(field("DedupScope"), "invalid value %d: must be one of the values of DedupScope", c.DedupScope)
		case c.LatencyObjective < 0:
			return invalid(field("LatencyObjective"), "invalid value %d: must be at least 0", c.LatencyObjective)
		case c.Deadline <= 0:
			return invalid(field("Deadline"), "invalid value %d: must be greater than 0", c.Deadline)
		case c.DedupWindow < 0:
			return invalid(field("DedupWindow"), "invalid value %d: must be at least 0", c.DedupWindow)
		case !(c.ObjectiveStretch >= 0):
			return invalid(field("ObjectiveStretch"), "invalid value %v: must be at least 0", c.ObjectiveStretch)
		case !(c.LateWeight >= 0):
			return invalid(field("LateWeight"), "invalid value %v: must be at least 0", c.LateWeight)
		case !(c.PriorityWeight >= 0):
			return invalid(field("PriorityWeight"), "invalid value %v: must be at least 0", c.PriorityWeight)
		}
	}
	return nil
}

func validateTenants(s *Settings) error {
	for i, t := range s.Tenants {
		if !(t.QuotaRPS >= 0) {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaRPS", i),
				"invalid value %v: must be at least 0", t.QuotaRPS)
		}
	}
	return nil
}

// validateGroup checks the dispatcher's zone, the group size, its ordinal and the number of attempts.
func validateGroup(s *Settings) error {
	switch {
	case s.Zone < -1 || s.Zone >= s.ZoneCount:
		return invalid("Zone", "invalid value %d: must be at least -1 and less than ZoneCount", s.Zone)
	case s.GroupSize < 1:
		return invalid("GroupSize", "invalid value %d: must be at least 1", s.GroupSize)
	case s.Ordinal < 0 || s.Ordinal >= s.GroupSize:
		return invalid("Ordinal", "invalid value %d: must be at least 0 and less than GroupSize", s.Ordinal)
	case s.MaxAttempts < 1:
		return invalid("MaxAttempts", "invalid value %d: must be at least 1", s.MaxAttempts)
	}
	return nil
}

func validateTimes(s *Settings) error {
	for _, setting := range []struct {
		field string
		value Time
	}{
		{"Tick", s.Tick},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"ConnectTimeout", s.ConnectTimeout},
		{"ProgressInterval", s.ProgressInterval},
		{"MaxPollInterval", s.MaxPollInterval},
		{"DrainGrace", s.DrainGrace},
		{"SlowStartWindow", s.SlowStartWindow},
		{"OverloadWindow", s.OverloadWindow},
		{"IdleTimeout", s.IdleTimeout},
	} {
		if setting.value < 0 {
			return invalid(setting.field, "invalid value %d: must be at least 0", setting.value)
		}
	}
	return nil
}

func validateNumbers(s *Settings) error {
	for _, setting := range []struct {
		field string
		value float64
	}{
		{"SlowStartMinFactor", s.SlowStartMinFactor},
		{"OverloadMultiple", s.OverloadMultiple},
		{"PriceCrossZone", s.PriceCrossZone},
		{"PriceFetch", s.PriceFetch},
		{"OverQuotaWeight", s.OverQuotaWeight},
	} {
		if !(setting.value >= 0) {
			return invalid(setting.field, "invalid value %v: must be at least 0", setting.value)
		}
	}
	return nil
}
