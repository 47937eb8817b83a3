package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Times of a drain, counted from the signal.
//
// The platform kills a dispatcher no sooner than the longest deadline of a class after the signal, or maxKillDelay where that is
// longer, and killDelayMargin more.
const (
	maxKillDelay    = 3 * time.Second
	killDelayMargin = 700 * time.Millisecond
	finishMargin    = 250 * time.Millisecond // before the kill: the last response is written so much sooner

	minAcceptTime  = 600 * time.Millisecond // new clients go on coming, and connected ones go on sending requests
	acceptFraction = 0.45                   // of the drain timeout, in which everything is accepted as before
	lingerTime     = 500 * time.Millisecond // then the listener stays open: a client whose connection was closed comes again
	idleCloseDelay = 300 * time.Millisecond // beside a serving sibling: until idle connections are closed

	closeTimeout      = 100 * time.Millisecond // for the last responses to be written
	leaveGroupTimeout = 100 * time.Millisecond // for the group membership to end in order: its disk may stand still
	drainPollInterval = 5 * time.Millisecond
)

// drainTimeout is how long after the signal every request has to be answered.
func (s *Server) drainTimeout() time.Duration {
	return min(s.currentConfig().maxDeadline(), maxKillDelay) + killDelayMargin - finishMargin
}

// acceptTime is how much of the drain timeout passes with everything accepted as before.
func (s *Server) acceptTime(drainTimeout time.Duration) time.Duration {
	fraction := time.Duration(float64(drainTimeout) * acceptFraction)
	return min(drainTimeout, max(minAcceptTime, fraction))
}

// shutdown drains and stops. It returns when all is released.
func (s *Server) shutdown() error {
	if err := s.process.MarkLeaving(); err != nil {
		s.log.WithError(err).Error("sibling processes not told that this one leaves")
	}
	if s.coordinator != nil {
		go s.coordinator.TransferLeadership() // ends within a second; the drain does not wait for it
	}
	switch {
	case !s.isListening(): // it never had a client, and its sibling has all
		s.handler.FailHealthChecks()
		s.log.Info("stopping before it accepted clients")
	case s.sharedListener != nil && s.process.Siblings().Serving:
		s.drainToSibling()
	default:
		s.drain()
	}
	return s.finish()
}

// isListening tells whether clients could connect.
func (s *Server) isListening() bool {
	select {
	case <-s.listening:
		return true
	default:
		return false
	}
}

// drain drains where no sibling takes the clients. Those that are connected go on using their connections while these stay open, and
// where all dispatchers are restarted one soon after the other they have no other place to go. So everything is accepted as before at
// first, and only the health checks fail. Then connections are closed as they become idle, and open requests are finished.
func (s *Server) drain() {
	timeout := max(s.drainTimeout(), minAcceptTime)
	deadline := time.Now().Add(timeout)
	s.handler.FailHealthChecks()
	s.log.WithField("open", s.engine.OpenRequests()).Info("stopping")
	time.Sleep(s.acceptTime(timeout))
	s.handler.DisableKeepAlives()
	s.handler.Conns.CloseIdle() // new connections are still accepted
	lingerUntil := time.Now().Add(lingerTime)
	for time.Now().Before(deadline) {
		lingering := time.Now().Before(lingerUntil)
		if !lingering && !s.hasUnfinished() {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// drainToSibling drains where a sibling serves: it gets all new connections, those here are closed with the response that they wait
// for, and idle ones after a moment. It ends when nothing is unfinished.
func (s *Server) drainToSibling() {
	begin := time.Now()
	deadline := begin.Add(s.drainTimeout())
	closeIdleFrom := begin.Add(idleCloseDelay)
	s.handler.DisableKeepAlives()
	s.sharedListener.Drain()
	s.log.WithField("open", s.engine.OpenRequests()).Info("stopping: another process of this dispatcher serves")
	for ; time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if time.Now().Before(closeIdleFrom) {
			continue
		}
		s.handler.Conns.CloseIdle()
		if !s.hasUnfinished() {
			return
		}
	}
}

// hasUnfinished tells whether a request is open or has begun to come: once its last byte is here it has been accepted.
func (s *Server) hasUnfinished() bool {
	return s.engine.OpenRequests() > 0 || s.handler.Conns.Pending() > 0
}

// finish fails the requests that are still open, closes all connections and releases all parts.
func (s *Server) finish() error {
	s.handler.ForceClose()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	shutdownErr := s.httpServer.Shutdown(ctx)
	_ = s.httpServer.Close()        // connections on which nothing has come; its listener is closed already
	s.handler.Conns.WaitClosed(ctx) // the end of the process would reset what a client has not read
	if s.admin != nil {
		s.admin.Shutdown(ctx)
	}
	s.cancel()
	s.leaveGroup()
	s.process.Close()
	s.engine.Close()
	s.pool.Close()
	if serveErr := <-s.serveErr; !errors.Is(serveErr, http.ErrServerClosed) {
		return fmt.Errorf("serving: %w", serveErr)
	}
	if shutdownErr != nil && !errors.Is(shutdownErr, context.DeadlineExceeded) {
		return fmt.Errorf("stopping: %w", shutdownErr)
	}
	return nil
}

// closeGroup ends the membership in the group.
func (s *Server) closeGroup() {
	if s.coordinator != nil {
		s.coordinator.Close()
	}
	if s.overrides != nil {
		s.overrides.Close()
	}
}

// leaveGroup ends the membership in the group and waits for the loops, but for no disk that stands still: overrides that operators have
// set are synced already, and the rest is left as by a kill.
func (s *Server) leaveGroup() {
	left := make(chan struct{})
	go func() {
		defer close(left)
		s.closeGroup()
		s.loops.Wait()
	}()
	select {
	case <-left:
	case <-time.After(leaveGroupTimeout):
		s.log.Warn("group membership not closed in time: its disk is slow")
	}
}
