// Package server starts and stops a dispatcher: its configuration, limits, signals and drain.
package server

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
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
	"golang.org/x/sys/unix"

	"birchfork/dispatch"
	"birchfork/internal/admin"
	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/hotrestart"
	"birchfork/internal/upstream"
)

// How memory and descriptors are shared out.
const (
	memoryLimitFraction    = 0.75                   // of the limit, up to which the heap may grow before it is collected at any price
	overloadRetryAfter     = 200 * time.Millisecond // for those that find no place: silent clients are cut and jobs end meanwhile
	bodyMemoryFraction     = 1.0 / 8                // of the limit, for bodies over 4 KiB
	reservedSockets        = 16                     // descriptors for the listener, discovery, standard streams and the runtime: 8, the rest spare
	reservedSocketsDivisor = 32                     // and one in so many more
	workerConnFraction     = 0.4                    // of the other descriptors: connections to workers; more clients than that may have to wait
	maxAdminConns          = 32                     // descriptors for connections to the operators' door at the most ...
	adminConnsDivisor      = 16                     // ... and one in so many: it answers the newest, and cuts the oldest that say nothing
	clientSoftFraction     = 0.9                    // of the clients' part; over it requests are turned away, so that their connections go
)

// How we stop, counted from the signal.
const (
	minAcceptTime     = 600 * time.Millisecond // new clients go on coming, and those that we have go on asking
	acceptFraction    = 0.45                   // of the time that is left, in which all is taken as before: see stop
	lingerTime        = 500 * time.Millisecond // then the listener stays open: a client whose connection we closed comes again
	maxKillDelay      = 3 * time.Second        // the platform kills no sooner than the longest deadline, or this ...
	killDelayMargin   = 700 * time.Millisecond // ... and so much more
	finishMargin      = 250 * time.Millisecond // we answer the last request so much sooner
	closeTimeout      = 100 * time.Millisecond // for the last answers to be written
	leaveGroupTimeout = 100 * time.Millisecond // for our part in the group to end in order: its disk may stand still
	idleCloseDelay    = 300 * time.Millisecond // beside a process that serves: until idle connections are closed
)

// Times of the service.
const (
	heartbeatInterval   = 50 * time.Millisecond
	readyPollInterval   = 10 * time.Millisecond
	heartbeatsPerSweep  = 20  // beats
	idleTimeoutFraction = 0.5 // of the time after which a worker closes an idle connection: we close it then
	maxIdleTimeout      = 30 * time.Second
)

// Run serves until a signal ends it. Signals are heard during a drain too. A module that is not nil decides in place of
// the decision module: a baseline of the lab's.
func Run(c *Config, log *logrus.Logger, decider engine.Decider) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	applyRuntimeLimits(c.Limits)
	srv, err := start(c, log, decider)
	if err != nil {
		return err
	}
	serveErr := srv.serveErr // nothing but stop ends the server in order, and waits for that itself
	var stopped chan error   // set once we drain
	for {
		select {
		case err := <-serveErr:
			srv.logCounters("broken")
			return fmt.Errorf("serving: %w", err)
		case err := <-stopped:
			srv.logCounters("stopped")
			return err
		case sig := <-signals:
			switch {
			case sig == syscall.SIGUSR1:
				srv.logCounters("counters")
			case sig == syscall.SIGHUP:
				srv.reload()
			case stopped == nil:
				serveErr, stopped = nil, make(chan error, 1)
				go func() { stopped <- srv.shutdown() }()
			}
		}
	}
}

// applyRuntimeLimits keeps the runtime within what the platform leaves us.
func applyRuntimeLimits(l Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(l.memoryBytes(memoryLimitFraction))
}

// Server is a running dispatcher.
type Server struct {
	config         *Config
	startedAt      time.Time
	reloaded       atomic.Pointer[Config] // what was taken over since the start; nil: nothing
	log            logrus.FieldLogger
	engine         *engine.Engine
	pool           *upstream.Pool
	handler        *frontend.Handler
	watcher        *discovery.Watcher
	httpServer     *http.Server
	serveErr       chan error
	address        net.Addr
	admin          *admin.Server             // nil: there is none
	coordinator    groupCoordinator          // in the operators' group; nil: they have none
	overrides      overrideReplica           // of what the group's members keep in common; nil as well
	groupCounters  []func() map[string]int64 // further counters of the group, for the log
	cancel         context.CancelFunc        // ends the watch, the ticking and the sharing
	listening      chan struct{}             // closed once clients can connect
	sharedListener *frontend.SharedListener  // nil: nobody may listen beside us
	syncLoops      sync.WaitGroup

	process       *hotrestart.Process // what other processes of this dispatcher know of us, and we of them
	siblings      atomic.Int32        // others that were alive when we looked last
	newerSibling  atomic.Bool         // one of them came after us
	savedRevision uint64              // the news of the list that was left for others last
	lastSyncError string              // what went wrong with sharing last: said once
}

// overrideReplica are what the members of a group keep in common: staff's words on runners.
type overrideReplica interface {
	SetOverride(runner string, out bool, at int64) (note string, err error)
	MergeLocalOverrides(hotrestart.Overrides) // what this dispatcher's processes were told
	CaughtUp() bool                           // with the others, or it has waited long enough
	Close()
}

// groupCoordinator is this process's part in a group of dispatchers.
type groupCoordinator interface {
	TransferLeadership()                              // this process stops soon
	Close()                                           // it takes part no more
	ExtendTimes(deadline, arrive, warm time.Duration) // attempts, and runners until they are warm, may take longer from now on
	LogFields() logrus.Fields                         // for the log
}

// start brings a dispatcher up. It serves when start returns, unless another process of this dispatcher does: then it
// listens for clients once it can serve as well.
func start(c *Config, log logrus.FieldLogger, decider engine.Decider) (*Server, error) {
	s := &Server{config: c, startedAt: time.Now(), log: log, serveErr: make(chan error, 1), listening: make(chan struct{}), process: &hotrestart.Process{}}
	s.claimProcess()
	s.siblings.Store(int32(s.process.Siblings().Alive))
	seed := s.randomSeed()
	var err error
	s.engine, err = engine.New(engine.Options{
		Settings: c.Settings, Names: c.Names, Seed: seed, MaxOpen: c.MaxOpen, Log: log, Decider: decider,
	})
	if err != nil {
		s.process.Close()
		return nil, err
	}
	if c.Operator != nil {
		s.engine.SetLimits(c.Operator.Routes, c.Operator.Admission, c.Settings.Classes)
	}
	s.pool = upstream.NewPool(c.dialer(), &s.engine.Counters, 0, idleTimeout(c.Settings))
	s.engine.OnEndpointRetired(func(w engine.RetiredEndpoint) { s.pool.CloseIdleTo(w.Address) })
	// Before any list: where plans are in use nothing is sent before the group is heard of.
	if err := s.joinGroup(); err != nil {
		s.engine.Close()
		s.process.Close()
		return nil, err
	}
	endpoints := s.initialEndpoints()
	s.syncOverrides() // who is out, before any list
	if len(endpoints.Endpoints) > 0 {
		s.engine.UpdateEndpoints(endpoints)
	}
	conns := &frontend.ConnTracker{Counters: &s.engine.Counters}
	s.handler = frontend.NewHandler(s.engine, &upstream.Transport{Pool: s.pool, Counters: &s.engine.Counters}, conns)
	s.applyBudgets()
	s.setRetryAfter(c.Settings)
	s.httpServer = s.handler.HTTPServer()
	s.httpServer.ErrorLog = newErrorLog(log)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.openListeners(ctx); err != nil {
		cancel()
		s.closeGroup()
		s.engine.Close()
		s.process.Close()
		return nil, err
	}
	s.watcher = discovery.NewWatcher(ctx, s.engine, log, discovery.Source{
		Address: c.DiscoveryAddress, Pushed: c.Pushed, FleetSize: c.Settings.GroupSize, HasList: len(endpoints.Endpoints) > 0, Version: endpoints.Version, Seed: seed,
	})
	go s.heartbeatLoop(ctx)
	if s.process.ID() != 0 {
		s.syncLoops.Go(func() { s.syncLoop(ctx) })
	}
	for _, line := range c.Unsupported {
		log.Warn(line)
	}
	return s, nil
}

// randomSeed is for random numbers. Guards against two processes side by side that draw alike.
func (s *Server) randomSeed() uint64 {
	if s.siblings.Load() > 0 {
		return s.config.Seed + uint64(s.process.ID())
	}
	return s.config.Seed
}

// openListeners opens the operators' door and listens for clients.
func (s *Server) openListeners(ctx context.Context) error {
	if s.siblings.Load() > 0 {
		if err := s.startAdmin(); err != nil {
			return err
		}
		go s.listenWhenReady(ctx)
		return nil
	}
	listener, err := s.listen()
	if err != nil {
		return err
	}
	if err := s.startAdmin(); err != nil {
		listener.Close()
		return err
	}
	go func() { s.serveErr <- s.serve(listener) }()
	return nil
}

// listen opens the clients' address.
func (s *Server) listen() (net.Listener, error) {
	var listener net.Listener
	var err error
	if s.config.AdminAddress != "" {
		if s.sharedListener, err = frontend.ListenShared(s.config.ListenAddress); err == nil {
			listener = s.sharedListener
		}
	} else {
		listener, err = net.Listen("tcp", s.config.ListenAddress)
	}
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	s.address = listener.Addr()
	close(s.listening)
	if err := s.process.MarkServing(); err != nil {
		s.log.WithError(err).Error("other processes of this dispatcher do not hear that this one serves")
	}
	siblings := int(s.siblings.Load())
	workers, clients, _ := s.config.descriptorBudget(siblings + 1)
	s.log.WithFields(logrus.Fields{
		"name": s.config.Name, "listen": s.address.String(), "known": len(s.config.KnownEndpoints.Endpoints), "clients_most": clients,
		"runners_most": workers, "beside": siblings,
	}).Info("serving")
	return listener, nil
}

func (s *Server) serve(listener net.Listener) error {
	return s.httpServer.Serve(s.handler.Conns.WrapListener(listener))
}

// listenWhenReady waits until we know the workers: until then the process beside us has all clients.
func (s *Server) listenWhenReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.handler.Ready() {
		select {
		case <-ctx.Done():
			s.serveErr <- http.ErrServerClosed
			return
		case <-ticker.C:
		}
	}
	listener, err := s.listen()
	if err != nil {
		s.serveErr <- err
		return
	}
	s.serveErr <- s.serve(listener)
}

// dialer opens connections to workers in the time that the settings allow.
func (c *Config) dialer() upstream.DialFunc {
	dialer := net.Dialer{Timeout: time.Duration(c.Settings.ConnectTimeout) * time.Microsecond, KeepAlive: -1}
	if c.group() != nil {
		dialer.Control = c.setSocketTimeouts
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// setSocketTimeouts has the kernel hold nothing back for a silent link that a runner could get long after the group takes it for clear: a
// connection that is closed, or whose process ends, is reset with what it has not sent, and one whose process stands still
// gives up after the longest deadline.
func (c *Config) setSocketTimeouts(_, _ string, raw syscall.RawConn) (err error) {
	outer := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.maxDeadline().Milliseconds())))
	})
	return errors.Join(outer, err)
}

// idleTimeout is how long a connection to a worker may stand idle with us.
func idleTimeout(settings dispatch.Settings) time.Duration {
	if settings.IdleTimeout <= 0 {
		return maxIdleTimeout
	}
	return min(maxIdleTimeout, time.Duration(math.Round(float64(settings.IdleTimeout)*idleTimeoutFraction))*time.Microsecond)
}

// newErrorLog keeps what net/http says of single connections off the log's usual level.
func newErrorLog(logger logrus.FieldLogger) *log.Logger { return log.New(debugWriter{logger}, "", 0) }

type debugWriter struct{ log logrus.FieldLogger }

func (w debugWriter) Write(b []byte) (int, error) {
	w.log.Debug(string(b))
	return len(b), nil
}

// heartbeatLoop does what is due every now and then.
func (s *Server) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.engine.Heartbeat()
			if i%heartbeatsPerSweep == 0 {
				s.pool.CloseExpired()
			}
		}
	}
}

// logCounters logs the counters.
func (s *Server) logCounters(message string) {
	open, idle := s.pool.Counts()
	group := logrus.Fields{}
	if s.coordinator != nil {
		maps.Copy(group, s.coordinator.LogFields())
	}
	for _, fields := range s.groupCounters {
		for name, count := range fields() {
			group["group_"+name] = count
		}
	}
	s.log.WithFields(s.engine.Counters.Fields()).WithFields(s.engine.LimitFields()).WithFields(group).WithFields(logrus.Fields{
		"open": s.engine.OpenRequests(), "runner_conns": open, "runner_conns_idle": idle,
	}).Info(message)
}

// drainTimeout is how long after the signal all has to be answered.
func (s *Server) drainTimeout() time.Duration {
	return min(s.currentConfig().maxDeadline(), maxKillDelay) + killDelayMargin - finishMargin
}

// acceptTime is how long all is taken as before, out of the time that is left.
func (s *Server) acceptTime(drainTimeout time.Duration) time.Duration {
	return min(drainTimeout, max(minAcceptTime, time.Duration(float64(drainTimeout)*acceptFraction)))
}

// shutdown drains. Clients that have a connection here go on using it while it stays open, and where all dispatchers are
// restarted one soon after the other they have no other place to go: so at first all is taken and kept as before, only
// that we are not up any more. Then connections are closed as they fall idle, what is held is finished, and what is not
// finished in time ends as failed.
func (s *Server) shutdown() error {
	if err := s.process.MarkLeaving(); err != nil {
		s.log.WithError(err).Error("other processes of this dispatcher do not hear that this one leaves")
	}
	if s.coordinator != nil {
		go s.coordinator.TransferLeadership() // the drain does not wait for it
	}
	select {
	case <-s.listening:
	default: // it never had a client, and the process beside it has all: nothing is owed
		s.handler.FailHealthChecks()
		s.log.Info("stopping before it took clients")
		return s.finish()
	}
	if s.sharedListener != nil && s.process.Siblings().Serving {
		return s.drainToSibling()
	}
	startedAt := time.Now()
	drainTimeout := max(s.drainTimeout(), minAcceptTime)
	deadline := startedAt.Add(drainTimeout)
	s.handler.FailHealthChecks()
	s.log.WithField("open", s.engine.OpenRequests()).Info("stopping")
	time.Sleep(s.acceptTime(drainTimeout))
	s.handler.DisableKeepAlives()
	s.handler.Conns.CloseIdle() // new ones are taken still
	lingerUntil := time.Now().Add(lingerTime)
	// A request of which something has come is waited for as well: once its last byte is here it has been taken.
	for time.Now().Before(deadline) && (time.Now().Before(lingerUntil) || s.engine.OpenRequests() > 0 || s.handler.Conns.Pending() > 0) {
		time.Sleep(5 * time.Millisecond)
	}
	return s.finish()
}

// drainToSibling drains where another process of this dispatcher serves: new connections are its own from now on, those that we
// have are closed with the answer that they wait for, and idle ones after a moment. It ends when nothing is owed.
func (s *Server) drainToSibling() error {
	startedAt := time.Now()
	deadline := startedAt.Add(s.drainTimeout())
	s.handler.DisableKeepAlives()
	s.sharedListener.Drain()
	s.log.WithField("open", s.engine.OpenRequests()).Info("stopping: another process of this dispatcher serves")
	for closeIdleFrom := startedAt.Add(idleCloseDelay); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if time.Now().Before(closeIdleFrom) {
			continue
		}
		s.handler.Conns.CloseIdle()
		if s.engine.OpenRequests() == 0 && s.handler.Conns.Pending() == 0 {
			break
		}
	}
	return s.finish()
}

// closeGroup ends our part in the group.
func (s *Server) closeGroup() {
	if s.coordinator != nil {
		s.coordinator.Close()
		if s.overrides != nil {
			s.overrides.Close()
		}
	}
}

// leaveGroup ends our part in the group and what processes of this dispatcher share, and waits for no disk that stands still: what
// staff were told is synced, and the rest is left as by a kill.
func (s *Server) leaveGroup() {
	left := make(chan struct{})
	go func() {
		defer close(left)
		s.closeGroup()
		s.syncLoops.Wait()
	}()
	select {
	case <-left:
	case <-time.After(leaveGroupTimeout):
		s.log.Warn("this process ends before its part in the group has: the disk takes long")
	}
}

// finish answers what is left and closes all.
func (s *Server) finish() error {
	s.handler.ForceClose()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.httpServer.Shutdown(ctx)
	s.httpServer.Close()            // what has said nothing yet
	s.handler.Conns.WaitClosed(ctx) // our end resets what a client has not read
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
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
