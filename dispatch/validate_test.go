package dispatch

import (
	"strings"
	"testing"
)

func TestNew_ValidatesSettings(t *testing.T) {
	for _, c := range []struct {
		field      string
		invalidate func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[1].WorkerKind", func(s *Settings) { s.Classes[1].WorkerKind = 2 }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = -1 }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Tenants[0].QuotaRPS", func(s *Settings) { s.Tenants = []Tenant{{QuotaRPS: -1}} }},
		{"Zone", func(s *Settings) { s.Zone = 2 }},
		{"GroupSize", func(s *Settings) { s.GroupSize = 0 }},
		{"MaxAttempts", func(s *Settings) { s.MaxAttempts = 0 }},
		{"Tick", func(s *Settings) { s.Tick = -1 }},
		{"SlowStartWindow", func(s *Settings) { s.SlowStartWindow = -1 }},
		{"SlowStartMinFactor", func(s *Settings) { s.SlowStartMinFactor = -0.1 }},
	} {
		s := testSettings()
		c.invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: got error %v, want one that names the field", c.field, err)
		}
	}
}
