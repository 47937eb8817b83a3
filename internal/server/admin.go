package server

import (
	"fmt"
	"net"

	"birchfork/internal/admin"
	"birchfork/internal/hotrestart"
)

// startAdmin starts the admin server, if an address is configured.
func (s *Server) startAdmin() error {
	if s.config.AdminAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.config.AdminAddress)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	service := admin.Service{
		Ready:   s.checkReady,
		Disable: func(worker string) (string, error) { return s.setOverride(worker, true) },
		Enable:  func(worker string) (string, error) { return s.setOverride(worker, false) },
	}
	s.admin = admin.Start(listener, s.config.maxAdminConns(), &s.headBudget, service, newErrorLog(s.log))
	s.log.WithField("address", s.admin.Addr().String()).Info("admin server listening")
	return nil
}

// checkReady returns an error with the reason if this process cannot serve. The texts are part of the admin server's answers.
func (s *Server) checkReady() error {
	if !s.isListening() {
		return fmt.Errorf("%w: it does not know the runners yet", admin.ErrUnavailable)
	}
	if !s.handler.Ready() {
		return fmt.Errorf("%w: it leaves, or does not know the runners yet", admin.ErrUnavailable)
	}
	s.markServing() // before the platform ends the old process
	if s.overrides != nil && !s.overrides.CaughtUp() {
		return fmt.Errorf("%w: it has not heard yet what staff have told the others", admin.ErrUnavailable)
	}
	return nil
}

// setOverride disables a worker or enables it again, for an operator's call. The override is in force in this process on return; siblings
// and the other members of the group follow. The note, if any, is shown to the operator with the answer. The error is admin.ErrUnknownWorker,
// or wraps admin.ErrUnavailable if the group's replica cannot accept the override.
func (s *Server) setOverride(worker string, disabled bool) (note string, err error) {
	log := s.log.WithField("worker", worker)
	if !s.engine.KnowsWorker(worker) {
		log.Info("override for an unknown worker")
		return "", admin.ErrUnknownWorker
	}
	override, err := s.process.SetOverride(worker, disabled)
	if err != nil { // the override is in force in this process; the sync loop retries sharing it
		log.WithError(err).Error("override not persisted yet; retrying")
	}
	if override.At > 0 {
		s.engine.ApplyOverrides(engineOverrides(hotrestart.Overrides{worker: override}))
	}
	if s.overrides != nil {
		note, err = s.overrides.SetOverride(worker, disabled, override.At)
		if err != nil {
			log.WithError(err).Error("override not replicated to the group")
			return "", fmt.Errorf("%w: %w", admin.ErrUnavailable, err)
		}
	}
	if disabled {
		log.Info("worker disabled by an operator")
	} else {
		log.Info("worker enabled by an operator")
	}
	return note, nil
}
