package server

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// groupFieldPrefix is the prefix of the group's counters in the log.
const groupFieldPrefix = "group_"

// logCounters logs all counters in one line. The names of its fields are an interface to operators.
func (s *Server) logCounters(message string) {
	open, idle := s.pool.Counts()
	group := logrus.Fields{}
	if s.coordinator != nil {
		maps.Copy(group, s.coordinator.LogFields())
	}
	for _, fields := range s.groupCounters {
		for name, count := range fields() {
			group[groupFieldPrefix+name] = count
		}
	}
	s.log.
		WithFields(s.engine.Counters.Fields()).
		WithFields(s.engine.LimitFields()).
		WithFields(group).
		WithFields(logrus.Fields{
			"open":              s.engine.OpenRequests(),
			"runner_conns":      open,
			"runner_conns_idle": idle,
			"responses_evicted": s.responseMemory.Evictions.Load(),
			"response_bytes":    s.responseMemory.Used(),
		}).
		Info(message)
}
