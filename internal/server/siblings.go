package server

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/hotrestart"
)

// Intervals of the sync loop.
const (
	syncInterval = 100 * time.Millisecond // delay of an override that was set at a sibling; every drain takes longer
	syncsPerSave = 5                      // of the endpoint list, if it has changed
)

// claimProcess creates this process's claim among those of the dispatcher. If that fails, nothing is shared with siblings, and everything
// else works as usual.
func (s *Server) claimProcess() {
	if s.config.AdminAddress == "" && s.config.group() == nil {
		return
	}
	process, err := hotrestart.Open(os.Getenv("TMPDIR"), s.config.Name)
	if err != nil {
		s.log.WithError(err).Error("hot restart state unavailable: " +
			"an upgrade enables disabled workers again, and counts as a restart")
		return
	}
	s.process = process
}

// initialEndpoints returns the endpoint list to start with: the one that another process saved, or the configuration's. While a sibling is
// alive the saved list is up to date; otherwise the list with the higher version is newer and is used.
func (s *Server) initialEndpoints() engine.EndpointList {
	known := s.config.KnownEndpoints
	saved := s.savedEndpoints()
	outdated := s.siblings.Load() == 0 && saved.Version <= known.Version
	if len(saved.Endpoints) == 0 || outdated {
		return known
	}
	return saved
}

// savedEndpoints returns the endpoint list that a process of this dispatcher saved last; it has no endpoints if there is none.
func (s *Server) savedEndpoints() engine.EndpointList {
	raw, err := s.process.Endpoints()
	if err != nil {
		s.log.WithError(err).Warn("saved endpoint list ignored")
		return engine.EndpointList{}
	}
	if raw == nil {
		return engine.EndpointList{}
	}
	saved, _, err := discovery.DecodeList(raw)
	if err != nil {
		s.log.WithError(err).Warn("saved endpoint list ignored")
		return engine.EndpointList{}
	}
	saved.Snapshot = true
	saved.Stale = true
	return saved
}

// syncLoop exchanges overrides, limits and the endpoint list with siblings until ctx ends.
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
		s.updateSiblings()
		if i%syncsPerSave == 0 {
			s.saveEndpoints()
			s.shareRequestIDs()
		}
	}
}

// syncOverrides exchanges operator overrides with siblings and applies them.
func (s *Server) syncOverrides() {
	overrides, err := s.process.Sync()
	s.logSyncError(err)
	s.engine.ApplyOverrides(engineOverrides(overrides))
	if s.overrides != nil {
		s.overrides.MergeLocalOverrides(overrides)
	}
}

// updateSiblings checks which siblings are alive, and divides the limits anew if their number has changed.
func (s *Server) updateSiblings() {
	found := s.process.Siblings()
	s.newerSibling.Store(found.Newer)
	alive := int32(found.Alive)
	if alive == s.siblings.Load() {
		return
	}
	s.log.WithField("siblings", alive).Info("sibling processes changed: limits divided anew")
	s.siblings.Store(alive)
	s.checkSharedBySiblings()
	s.applyBudgets()
}

// shareRequestIDs shares the ids of requests with siblings, unless this process does so already. It retries what has failed, and follows a
// file that has been replaced. Only start and, after it, the sync loop call it.
func (s *Server) shareRequestIDs() {
	if s.requestIDs != nil && s.requestIDs.Usable(s.process) {
		return
	}
	ids, err := s.process.OpenRequestIDs()
	if err != nil {
		if err.Error() != s.lastIDsError {
			s.lastIDsError = err.Error()
			s.log.WithError(err).Error("ids of requests not shared with sibling processes: " +
				"a copy of a request that is open at one of them is not recognised; retrying")
		}
		return
	}
	if ids == nil {
		return
	}
	s.engine.ShareIDs(ids)
	s.closeRequestIDs()
	s.requestIDs = ids
	s.lastIDsError = ""
}

// closeRequestIDs closes the set of request ids, which the engine must not use any more.
func (s *Server) closeRequestIDs() {
	if s.requestIDs != nil {
		s.requestIDs.Close()
		s.requestIDs = nil
	}
}

// checkSharedBySiblings logs siblings that do not share the ids of their requests.
func (s *Server) checkSharedBySiblings() {
	for _, sibling := range s.process.SiblingIDs() {
		if s.requestIDs == nil || !s.requestIDs.HasMember(sibling) {
			s.log.WithField("sibling", sibling).Warn("a sibling process does not share the ids of its requests, since it is of an older build " +
				"or cannot write to the shared directory: a copy of a request that is open at it is not recognised")
		}
	}
}

// applyGroupOverride applies the group's merged override of a worker and shares it with siblings. It returns the version that the
// override has at this dispatcher.
func (s *Server) applyGroupOverride(worker string, disabled bool) (version int64) {
	override, err := s.process.SetOverride(worker, disabled)
	s.logSyncError(err)
	if override.At > 0 {
		s.engine.ApplyOverrides(engineOverrides(hotrestart.Overrides{worker: override}))
	}
	s.log.WithFields(logrus.Fields{"worker": worker, "disabled": disabled}).Info("override received from the group")
	return override.At
}

// engineOverrides converts overrides to the engine's type.
func engineOverrides(overrides hotrestart.Overrides) map[string]engine.Override {
	converted := make(map[string]engine.Override, len(overrides))
	for worker, override := range overrides {
		converted[worker] = engine.Override{Disabled: override.Disabled, At: time.UnixMicro(override.At)}
	}
	return converted
}

// saveEndpoints saves the newest endpoint list for a process that starts. Beside a sibling, the list with which this process started is not
// saved: it may be older than the sibling's. Only the sync loop calls it.
func (s *Server) saveEndpoints() {
	if s.engine.EndpointsRevision() == s.savedRevision {
		return
	}
	list, revision := s.engine.Endpoints()
	if list.Stale && s.siblings.Load() > 0 {
		return
	}
	raw, err := discovery.EncodeList(list)
	if err == nil {
		err = s.process.SaveEndpoints(raw)
	}
	if err != nil {
		s.logSyncError(err)
		return
	}
	s.savedRevision = revision
}

// logSyncError logs an error of sharing with siblings, unless it was the last one logged.
func (s *Server) logSyncError(err error) {
	if err == nil || err.Error() == s.lastSyncError {
		return
	}
	s.lastSyncError = err.Error()
	s.log.WithError(err).Error("operator overrides may not reach sibling processes; retrying")
}
