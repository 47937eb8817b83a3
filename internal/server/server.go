// Package server runs one dispatcher process. It reads the configuration, starts the components of a dispatcher and connects them, reloads
// the configuration on SIGHUP, logs the counters on SIGUSR1, and drains and stops on SIGTERM and SIGINT.
//
// Two processes of one dispatcher run side by side during a hot restart. They share operator overrides and the newest endpoint list through
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
	"birchfork/internal/memory"
	"birchfork/internal/upstream"
)

// signalBuffer is how many signals may be pending while one is handled.
const signalBuffer = 16

// Messages of the log lines with the counters. Operators and the testbed read them.
const (
	messageCounters = "counters" // on SIGUSR1
	messageStopped  = "stopped"  // at the end of a shutdown
	messageBroken   = "broken"   // the listener failed
)

// Server is one running dispatcher process. It owns all components below: start creates them, shutdown releases them.
type Server struct {
	config    *Config                // of the start
	reloaded  atomic.Pointer[Config] // of the last reload; nil: there was none
	startedAt time.Time
	log       logrus.FieldLogger

	engine  *engine.Engine
	pool    *upstream.Pool
	watcher *discovery.Watcher
	admin   *admin.Server // nil: no address is configured

	responseMemory upstream.ResponseMemory // of workers
	headBudget     memory.Budget           // for heads of clients and operators
	listBudget     memory.Budget           // for endpoint lists

	handler        *frontend.Handler
	httpServer     *http.Server             // serves handler
	sharedListener *frontend.SharedListener // nil: the clients' address is not shared with other processes
	address        net.Addr                 // of the clients' listener; set before listening is closed
	listening      chan struct{}            // closed once the clients' listener is open
	serveErr       chan error               // the only result of httpServer.Serve

	coordinator   groupCoordinator          // nil: this dispatcher is in no group
	overrides     overrideReplica           // nil: this dispatcher is in no group
	groupCounters []func() map[string]int64 // further counters of the group's components, for the log

	process           *hotrestart.Process    // this process among those of the same dispatcher
	stateMu           sync.Mutex             // guards markedServing and markedLeaving
	markedServing     bool                   // siblings know that this process serves
	markedLeaving     bool                   // siblings know that this process no longer serves
	siblings          atomic.Int32           // number of other processes alive at the last check
	hasUnknownSibling bool                   // the clients' address was in use at the start, and nothing is shared with the process that uses it
	newerSibling      atomic.Bool            // one of them started after this process
	requestIDs        *hotrestart.RequestIDs // of all processes of this dispatcher; nil: not shared
	lastIDsError      string                 // the last error of sharing them, so that each is logged once
	savedRevision     uint64                 // of the endpoint list that was saved last; used by the sync loop only
	lastSyncError     string                 // the last error of sharing with siblings, so that each is logged once

	cancel context.CancelFunc // ends the loops
	loops  sync.WaitGroup     // heartbeat and sync loop
}

// overrideReplica is this member's replica of the operator overrides that a group shares.
type overrideReplica interface {
	// SetOverride replicates an override that is in force at this dispatcher already, with version at. The note, if any, is
	// shown to the operator with the answer.
	SetOverride(worker string, disabled bool, at int64) (note string, err error)
	// MergeLocalOverrides merges the overrides that operators have set at any process of this dispatcher.
	MergeLocalOverrides(hotrestart.Overrides)
	// CaughtUp reports whether the replica has the overrides that other members had at its start, or has waited for them long enough.
	CaughtUp() bool
	// Close closes the replica and its file.
	Close()
}

// groupCoordinator is this process's membership in a group of dispatchers.
type groupCoordinator interface {
	// TransferLeadership transfers leadership to another member, if this process leads, before it stops.
	TransferLeadership()
	// ExtendTimes announces that attempts, their delivery and slow starts may take this long from then on. Shorter times change nothing.
	ExtendTimes(deadline, delivery, warmUp time.Duration)
	// LogFields returns the counters for the log; nil while this process is not the active one of its dispatcher.
	LogFields() logrus.Fields
	// Close ends the membership and waits until its loops have ended.
	Close()
}

// Run serves until a drain after SIGTERM or SIGINT has ended, or the listener fails. During a drain the other signals are still handled. A
// decider that is not nil replaces the decision module, as in the testbed's baselines. At the end Run logs the counters.
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

// handleSignals handles signals until the server has stopped.
func (s *Server) handleSignals(signals <-chan os.Signal) error {
	serveErr := s.serveErr // nil during a shutdown, which receives the result itself
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

// applyRuntimeLimits configures the Go runtime for the platform's limits.
func applyRuntimeLimits(l Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(l.memoryBytes(memoryLimitFraction))
}
