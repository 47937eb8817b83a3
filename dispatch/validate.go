package dispatch

import "fmt"

// SettingsError is an invalid field of Settings, and the reason.
type SettingsError struct {
	Field  string // as in Go, for instance "Classes[1].Deadline"
	Reason string
}

// Error returns the field and the reason.
func (e *SettingsError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &SettingsError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingsError for the first invalid field. Conditions on numbers are written so that
// NaN fails them.
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
		return invalid("Classes", "there are none")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.WorkerKind < -1 || c.WorkerKind >= s.KindCount:
			return invalid(field("WorkerKind"), "%d is out of range", c.WorkerKind)
		case c.Idempotency > NonIdempotent:
			return invalid(field("Idempotency"), "%d is out of range", c.Idempotency)
		case c.DedupScope > DedupCell:
			return invalid(field("DedupScope"), "%d is out of range", c.DedupScope)
		case c.LatencyObjective < 0:
			return invalid(field("LatencyObjective"), "%d is negative", c.LatencyObjective)
		case c.Deadline <= 0:
			return invalid(field("Deadline"), "%d is not above 0", c.Deadline)
		case c.DedupWindow < 0:
			return invalid(field("DedupWindow"), "%d is negative", c.DedupWindow)
		case !(c.ObjectiveStretch >= 0):
			return invalid(field("ObjectiveStretch"), "%v is negative", c.ObjectiveStretch)
		case !(c.LateWeight >= 0):
			return invalid(field("LateWeight"), "%v is negative", c.LateWeight)
		case !(c.PriorityWeight >= 0):
			return invalid(field("PriorityWeight"), "%v is negative", c.PriorityWeight)
		}
	}
	return nil
}

func validateTenants(s *Settings) error {
	for i, t := range s.Tenants {
		if !(t.QuotaRPS >= 0) {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaRPS", i), "%v is negative", t.QuotaRPS)
		}
	}
	return nil
}

// validateGroup checks the dispatcher's zone, its number in the group, and the number of attempts.
func validateGroup(s *Settings) error {
	switch {
	case s.Zone < -1 || s.Zone >= s.ZoneCount:
		return invalid("Zone", "%d is out of range", s.Zone)
	case s.GroupSize < 1:
		return invalid("GroupSize", "%d is less than 1", s.GroupSize)
	case s.Ordinal < 0 || s.Ordinal >= s.GroupSize:
		return invalid("Ordinal", "%d is not in the group", s.Ordinal)
	case s.MaxAttempts < 1:
		return invalid("MaxAttempts", "%d is less than 1", s.MaxAttempts)
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
			return invalid(setting.field, "%d is negative", setting.value)
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
			return invalid(setting.field, "%v is negative", setting.value)
		}
	}
	return nil
}
