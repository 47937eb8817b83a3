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
// The platform waits at least this long after the signal before it kills a dispatcher: the longest deadline of a class, but at most
// maxKillDelay, plus killDelayMargin.
const (
	maxKillDelay    = 3 * time.Second
	killDelayMargin = 700 * time.Millisecond
	finishMargin    = 250 * time.Millisecond // between the last response and the kill

	acceptFraction = 0.45                   // of the drain timeout, in which everything is accepted as before
	minAcceptTime  = 600 * time.Millisecond // lower bound on that part: new clients still connect, and connected ones still send requests
	lingerTime     = 500 * time.Millisecond // from then on, the listener stays open this long for clients that reconnect
	idleCloseDelay = 300 * time.Millisecond // with a serving sibling: until idle connections are closed

	closeTimeout      = 100 * time.Millisecond // for the last responses to be written
	leaveGroupTimeout = 100 * time.Millisecond // for an orderly end of the group membership, whose disk may stall
	drainPollInterval = 5 * time.Millisecond

	finishPollInterval = time.Millisecond
)

// drainTimeout returns the time after the signal within which every request has to be answered.
func (s *Server) drainTimeout() time.Duration {
	return min(s.currentConfig().maxDeadline(), maxKillDelay) + killDelayMargin - finishMargin
}

// acceptTime returns the part of the drain timeout in which connections and requests are accepted as before.
func (s *Server) acceptTime(drainTimeout time.Duration) time.Duration {
	fraction := time.Duration(float64(drainTimeout) * acceptFraction)
	return min(drainTimeout, max(minAcceptTime, fraction))
}

// shutdown drains and stops. It returns when all resources are released.
func (s *Server) shutdown() error {
	s.markLeaving()
	if s.coordinator != nil {
		go s.coordinator.TransferLeadership() // takes up to a second; the drain does not wait for it
	}
	switch {
	case !s.isListening(): // this process never had a client: its sibling serves them all
		s.handler.FailHealthChecks()
		s.log.Info("stopping before accepting clients")
	case s.sharedListener != nil && s.process.Siblings().Serving:
		s.drainToSibling()
	default:
		s.drain()
	}
	return s.finish()
}

// isListening reports whether this process has begun to listen for clients.
func (s *Server) isListening() bool {
	select {
	case <-s.listening:
		return true
	default:
		return false
	}
}

// drain drains without a sibling that accepts the clients. Connected clients use their connections as long as these are open, and have no
// alternative if all dispatchers are restarted in quick succession. At first, connections and requests are therefore accepted as before,
// and only the health checks fail. Then connections are closed as they become idle, and open requests are finished.
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

// drainToSibling drains while a sibling serves and gets all new connections. Connections of this process are closed after the response that
// they wait for, idle ones after idleCloseDelay. It returns when nothing is unfinished, or after drainTimeout.
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

// hasUnfinished reports whether a request is open or partly received. A request counts as accepted once its last byte has arrived.
func (s *Server) hasUnfinished() bool {
	return s.engine.OpenRequests() > 0 || s.handler.Conns.Pending() > 0
}

// finish answers the requests that are still open or partly received, closes all connections and releases all resources. It does not use
// http.Server.Shutdown, which drops requests whose head arrives meanwhile.
func (s *Server) finish() error {
	s.handler.ForceClose()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.waitFinished(ctx)
	s.handler.Conns.RejectUnfinished()
	closeErr := s.httpServer.Close()
	s.handler.Conns.WaitClosed(ctx) // the end of the process would reset connections with data that a client has not read
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
	if closeErr != nil {
		return fmt.Errorf("stopping: %w", closeErr)
	}
	return nil
}

// waitFinished returns when no request is unfinished or ctx ends.
func (s *Server) waitFinished(ctx context.Context) {
	for ctx.Err() == nil && s.hasUnfinished() {
		time.Sleep(finishPollInterval)
	}
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

// leaveGroup ends the membership in the group and waits for the loops, but at most leaveGroupTimeout, as the disk may stall. Operator
// overrides are synced already; anything else that is not closed in time is left as if the process had been killed.
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
