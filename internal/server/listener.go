package server

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/frontend"
)

// Times of a process that starts beside a sibling.
const (
	readyPollInterval = 10 * time.Millisecond // between checks whether the handler is ready
	inheritDelay      = 1 * time.Second       // for discovery's first list, and between attempts to use that of the sibling, which saves it more often
)

// openListeners starts the admin server and serves clients. If there is a sibling, it serves clients once the handler is ready.
func (s *Server) openListeners(ctx context.Context) error {
	sharesNothing := s.config.AdminAddress != "" && s.process.ID() == 0
	s.hasUnknownSibling = sharesNothing && frontend.AddressInUse(s.config.ListenAddress)
	if s.siblings.Load() > 0 || s.hasUnknownSibling {
		if err := s.startAdmin(); err != nil {
			return err
		}
		go func() { s.serveErr <- s.serveWhenReady(ctx) }() // finish waits for it
		return nil
	}
	listener, err := s.listen(ctx)
	if err != nil {
		return err
	}
	if err := s.startAdmin(); err != nil {
		listener.Close()
		return err
	}
	go func() { s.serveErr <- s.serve(listener) }() // finish waits for it
	return nil
}

// listen opens the clients' address, and records for siblings that this process serves once it is ready.
func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	listener, err := s.openClientListener() //nolint:contextcheck // the listener outlives ctx, and listening does not wait
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	s.address = listener.Addr()
	close(s.listening)
	if !s.markServing() {
		go s.markServingWhenReady(ctx)
	}
	siblings := int(s.siblings.Load())
	budget := s.config.descriptorBudget(siblings + 1)
	s.log.WithFields(logrus.Fields{
		"name":        s.config.Name,
		"listen":      s.address.String(),
		"endpoints":   len(s.config.KnownEndpoints.Endpoints),
		"max_clients": budget.clientsSoft,
		"max_workers": budget.workers,
		"siblings":    siblings,
	}).Info("serving")
	return listener, nil
}

// openClientListener listens at the clients' address. With an admin server there may be hot restarts, for which the address is shared.
func (s *Server) openClientListener() (net.Listener, error) {
	if s.config.AdminAddress == "" {
		return net.Listen("tcp", s.config.ListenAddress)
	}
	shared, err := frontend.ListenShared(s.config.ListenAddress)
	if err != nil {
		return nil, err
	}
	s.sharedListener = shared
	return shared, nil
}

// serve serves clients on listener until the HTTP server is shut down.
func (s *Server) serve(listener net.Listener) error {
	return s.httpServer.Serve(s.handler.Conns.WrapListener(listener))
}

// serveWhenReady serves clients once this process is ready, or no sibling serves them any more. Until then the sibling serves all clients. If
// discovery is silent for inheritDelay, this process uses the sibling's list. A sibling with which nothing is shared is taken to serve.
func (s *Server) serveWhenReady(ctx context.Context) error {
	inheritFrom := s.startedAt.Add(inheritDelay)
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.handler.Ready() && (s.hasUnknownSibling || s.process.Siblings().Serving) {
		select {
		case <-ctx.Done():
			return http.ErrServerClosed
		case <-ticker.C:
		}
		if time.Now().After(inheritFrom) {
			s.inheritEndpoints()
			inheritFrom = inheritFrom.Add(inheritDelay)
		}
	}
	listener, err := s.listen(ctx)
	if err != nil {
		return err
	}
	return s.serve(listener)
}

// inheritEndpoints makes this process ready by the list that a serving sibling has saved, if there is one.
func (s *Server) inheritEndpoints() {
	saved := s.savedEndpoints()
	if len(saved.Endpoints) == 0 {
		return
	}
	s.log.WithField("endpoints", len(saved.Endpoints)).Warn("discovery is silent: using the endpoint list of the sibling process")
	s.handler.InheritEndpoints(saved)
}

// markServingWhenReady calls markServing until it has an effect or ctx ends.
func (s *Server) markServingWhenReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.markServing() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markServing records for siblings that this process serves, and returns true, if it is ready or leaving. A process that leaves is not marked
// any more.
func (s *Server) markServing() bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.markedServing || s.markedLeaving {
		return true
	}
	if !s.isListening() || !s.handler.Ready() {
		return false
	}
	s.markedServing = true
	if err := s.process.MarkServing(); err != nil {
		s.log.WithError(err).Error("serving state not recorded for sibling processes")
	}
	return true
}

// markLeaving records for siblings that this process no longer serves.
func (s *Server) markLeaving() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.markedLeaving = true
	if err := s.process.MarkLeaving(); err != nil {
		s.log.WithError(err).Error("leaving state not recorded for sibling processes")
	}
}

// newErrorLog returns a logger for net/http that logs at level debug, as its lines are about single connections.
func newErrorLog(logger logrus.FieldLogger) *log.Logger {
	return log.New(debugWriter{logger}, "", 0)
}

// debugWriter logs each write at level debug.
type debugWriter struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (w debugWriter) Write(b []byte) (int, error) {
	w.log.Debug(string(b))
	return len(b), nil
}
