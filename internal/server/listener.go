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

// readyPollInterval is how often a process with a sibling checks whether its handler is ready.
const readyPollInterval = 10 * time.Millisecond

// openListeners starts the admin server and serves clients. If there is a sibling, it serves clients once the handler is ready.
func (s *Server) openListeners(ctx context.Context) error {
	if s.siblings.Load() > 0 {
		if err := s.startAdmin(); err != nil {
			return err
		}
		go func() { s.serveErr <- s.serveWhenReady(ctx) }() // finish waits for it
		return nil
	}
	listener, err := s.listen() //nolint:contextcheck // the listener outlives ctx, and listening does not wait
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

// listen opens the clients' address and records, for siblings, that this process serves.
func (s *Server) listen() (net.Listener, error) {
	listener, err := s.openClientListener()
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	s.address = listener.Addr()
	close(s.listening)
	if err := s.process.MarkServing(); err != nil {
		s.log.WithError(err).Error("serving state not recorded for sibling processes")
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

// serveWhenReady serves clients once the handler is ready: when discovery has sent an endpoint list, or has not done so in time. Until then
// the sibling serves all clients.
func (s *Server) serveWhenReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.handler.Ready() {
		select {
		case <-ctx.Done():
			return http.ErrServerClosed
		case <-ticker.C:
		}
	}
	listener, err := s.listen() //nolint:contextcheck // the listener outlives ctx, and listening does not wait
	if err != nil {
		return err
	}
	return s.serve(listener)
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
