package server

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/hotrestart"
)

// Times of sharing with other processes of this dispatcher.
const (
	syncInterval = 100 * time.Millisecond // a word said to another binds here so much later: the grace of a drain is longer
	syncsPerSave = 5                      // rounds, at the least, from one list that is left for others to the next
)

// claimProcess takes a place among the processes of this dispatcher. Where that cannot be done we are alone: nothing is shared,
// and all else is as ever.
func (s *Server) claimProcess() {
	if s.config.AdminAddress == "" && s.config.group() == nil {
		return
	}
	process, err := hotrestart.Open(os.Getenv("TMPDIR"), s.config.Name)
	if err != nil {
		s.log.WithError(err).Error("nothing can be shared with other processes of this dispatcher: " +
			"runners that are out by hand come back with an upgrade, and an upgrade counts as a restart")
		return
	}
	s.process = process
}

// initialEndpoints is the list to begin with: what another process left, or the configuration's. The newer one is the better;
// versions tell, where no process beside us has followed the list to this moment.
func (s *Server) initialEndpoints() engine.EndpointList {
	c := s.config
	raw, err := s.process.Endpoints()
	if raw == nil {
		if err != nil {
			s.log.WithError(err).Warn("a list that is left from before is passed over")
		}
		return c.KnownEndpoints
	}
	list, _, err := discovery.DecodeList(raw)
	switch {
	case err != nil:
		s.log.WithError(err).Warn("a list that is left from before is passed over")
		return c.KnownEndpoints
	case len(list.Endpoints) == 0, s.siblings.Load() == 0 && list.Version <= c.KnownEndpoints.Version:
		return c.KnownEndpoints
	}
	list.Snapshot, list.Stale = true, true
	return list
}

// syncLoop exchanges what processes of this dispatcher share, every now and then.
func (s *Server) syncLoop(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.syncOverrides()
		siblings := s.process.Siblings()
		s.newerSibling.Store(siblings.Newer)
		if alive := int32(siblings.Alive); alive != s.siblings.Load() {
			s.log.WithField("beside", alive).Info("other processes of this dispatcher came or went: limits are shared anew")
			s.siblings.Store(alive)
			s.applyBudgets()
		}
		if i%syncsPerSave == 0 {
			s.saveEndpoints()
		}
	}
}

// syncOverrides exchanges the operators' words on runners.
func (s *Server) syncOverrides() {
	overrides, err := s.process.Sync()
	s.logSyncError(err)
	s.engine.ApplyOverrides(engineOverrides(overrides))
	if s.overrides != nil {
		s.overrides.MergeLocalOverrides(overrides)
	}
}

// applyGroupOverride puts in force what staff's words on a runner come to in the group, and tells other processes of this dispatcher.
func (s *Server) applyGroupOverride(worker string, disabled bool) int64 {
	override, err := s.process.SetOverride(worker, disabled)
	s.logSyncError(err)
	if override.At > 0 {
		s.engine.ApplyOverrides(engineOverrides(hotrestart.Overrides{worker: override}))
	}
	s.log.WithFields(logrus.Fields{"runner": worker, "out": disabled}).Info("the group has a word on a runner")
	return override.At
}

func engineOverrides(overrides hotrestart.Overrides) map[string]engine.Override {
	converted := make(map[string]engine.Override, len(overrides))
	for name, override := range overrides {
		converted[name] = engine.Override{Disabled: override.Disabled, At: time.UnixMicro(override.At)}
	}
	return converted
}

// saveEndpoints leaves the newest list for a process that starts.
func (s *Server) saveEndpoints() {
	if s.engine.EndpointsRevision() == s.savedRevision {
		return
	}
	list, revision := s.engine.Endpoints()
	raw, err := discovery.EncodeList(list)
	if err == nil {
		err = s.process.SaveEndpoints(raw)
	}
	if s.logSyncError(err); err == nil {
		s.savedRevision = revision
	}
}

// logSyncError logs what went wrong with sharing, once for each kind.
func (s *Server) logSyncError(err error) {
	if err == nil || err.Error() == s.lastSyncError {
		return
	}
	s.lastSyncError = err.Error()
	s.log.WithError(err).Error("other processes of this dispatcher may not hear of runners that are out by hand; it is tried again")
}

// applyBudgets takes our part of what the platform leaves this dispatcher.
func (s *Server) applyBudgets() {
	processes := int(s.siblings.Load()) + 1
	workers, clientsSoft, clientsHard := s.config.descriptorBudget(processes)
	s.pool.SetMaxConns(workers)
	s.handler.Conns.SetLimits(clientsSoft, clientsHard)
	s.handler.BodyBudget.SetLimit(s.config.Limits.memoryBytes(bodyMemoryFraction) / int64(processes))
	if s.process.ID() != 0 {
		debug.SetMemoryLimit(s.config.Limits.memoryBytes(memoryLimitFraction) / int64(processes))
	}
}
