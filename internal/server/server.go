// Package server runs one dispatcher process. It reads the configuration, starts the parts that a dispatcher is made of and connects
// them, reloads the configuration on SIGHUP, logs the counters on SIGUSR1, and drains and stops on SIGTERM and SIGINT.
//
// Two processes of one dispatcher run side by side during a hot restart. They share operator overrides and the newest endpoint list by
// the files of package hotrestart, and divide the limits that the platform sets: see siblings.go.
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/admin"
	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/hotrestart"
	"birchfork/internal/upstream"
)

// signalBuffer is how many signals may wait while one is handled.
const signalBuffer = 16

// Messages of the log lines that carry the counters. Operators and the testbed read them.
const (
	messageCounters = "counters" // on SIGUSR1
	messageStopped  = "stopped"  // at the end of a shutdown
	messageBroken   = "broken"   // the listener failed
)

// Server is one running dispatcher process. It owns all parts below: start creates them, shutdown releases them.
type Server struct {
	config    *Config                // of the start
	reloaded  atomic.Pointer[Config] // of the last reload; nil: there was none
	startedAt time.Time
	log       logrus.FieldLogger

	engine  *engine.Engine
	pool    *upstream.Pool
	watcher *discovery.Watcher
	admin   *admin.Server // nil: no address is configured

	handler        *frontend.Handler
	httpServer     *http.Server             // serves handler
	sharedListener *frontend.SharedListener // nil: no other process may listen at our address
	address        net.Addr                 // of the clients' listener; set before listening is closed
	listening      chan struct{}            // closed once clients can connect
	serveErr       chan error               // the one result of httpServer.Serve

	coordinator   groupCoordinator          // nil: this dispatcher is in no group
	overrides     overrideReplica           // nil: this dispatcher is in no group
	groupCounters []func() map[string]int64 // further counters of the group's parts, for the log

	process       *hotrestart.Process // this process among those of the same dispatcher
	siblings      atomic.Int32        // other processes that were alive at the last look
	newerSibling  atomic.Bool         // one of them started after this process
	savedRevision uint64              // of the endpoint list that was saved last; the sync loop's
	lastSyncError string              // of sharing with siblings, so that it is logged once

	cancel context.CancelFunc // ends the loops
	loops  sync.WaitGroup     // heartbeat and sync loop
}

// overrideReplica is this member's replica of the operator overrides that a group shares.
type overrideReplica interface {
	// SetOverride replicates an override that is in force at this dispatcher already, as of version at. The note tells operators what
	// they should know of its success.
	SetOverride(worker string, disabled bool, at int64) (note string, err error)
	// MergeLocalOverrides takes over what operators have set at any process of this dispatcher.
	MergeLocalOverrides(hotrestart.Overrides)
	// CaughtUp tells whether the replica has what other members had at its start, or has waited for them long enough.
	CaughtUp() bool
	// Close closes the replica and its disk.
	Close()
}

// groupCoordinator is this process's membership in a group of dispatchers.
type groupCoordinator interface {
	// TransferLeadership gives up the leadership, if this process has it, as it stops soon.
	TransferLeadership()
	// ExtendTimes announces that attempts, their delivery and slow starts may take this long from now on. Shorter times change nothing.
	ExtendTimes(deadline, delivery, warmUp time.Duration)
	// LogFields returns the counters for the log; nil while this process is not the active one of its dispatcher.
	LogFields() logrus.Fields
	// Close ends the membership and waits until its loops have ended.
	Close()
}

// Run serves until SIGTERM or SIGINT has ended a drain, or the listener fails. During a drain the other signals work on. A decider that
// is not nil takes the place of the decision module; the testbed's baselines do so. At the end it logs the counters.
func Run(c *Config, log *logrus.Logger, decider engine.Decider) error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	applyRuntimeLimits(c.Limits)
	s, err := start(c, log, decider)
	if err != nil {
		return err
	}
	return s.handleSignals(signals)
}

// handleSignals carries out what signals ask for until the server has stopped.
func (s *Server) handleSignals(signals <-chan os.Signal) error {
	serveErr := s.serveErr // nil during a shutdown, which receives it itself
	var stopped chan error // nil until a shutdown begins
	for {
		select {
		case err := <-serveErr:
			s.logCounters(messageBroken)
			return fmt.Errorf("serving: %w", err)
		case err := <-stopped:
			s.logCounters(messageStopped)
			return err
		case received := <-signals:
			switch {
			case received == syscall.SIGUSR1:
				s.logCounters(messageCounters)
			case received == syscall.SIGHUP:
				s.reload()
			case stopped == nil:
				serveErr = nil
				stopped = make(chan error, 1)
				go func() { stopped <- s.shutdown() }()
			}
		}
	}
}

// applyRuntimeLimits keeps the Go runtime within the platform's limits.
func applyRuntimeLimits(l Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(l.memoryBytes(memoryLimitFraction))
}
