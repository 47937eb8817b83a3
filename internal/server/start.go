package server

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/hotrestart"
	"birchfork/internal/upstream"
)

// Intervals of the heartbeat loop.
const (
	heartbeatInterval  = 50 * time.Millisecond
	heartbeatsPerSweep = 20 // of idle connections to workers
)

// start starts a dispatcher. It accepts clients when start returns, unless a sibling process is alive: then it begins to listen once its
// handler is ready. If start fails, it releases all resources.
func start(c *Config, log logrus.FieldLogger, decider engine.Decider) (*Server, error) {
	s := &Server{
		config:    c,
		startedAt: time.Now(),
		log:       log,
		serveErr:  make(chan error, 1),
		listening: make(chan struct{}),
		process:   &hotrestart.Process{},
	}
	if err := s.startComponents(decider); err != nil {
		s.abort()
		return nil, err
	}
	return s, nil
}

// startComponents starts the components in the order of their dependencies.
func (s *Server) startComponents(decider engine.Decider) error {
	s.claimProcess()
	s.siblings.Store(int32(s.process.Siblings().Alive))
	seed := s.randomSeed()
	if err := s.createEngine(seed, decider); err != nil {
		return err
	}
	// The group is joined before any endpoint is known: if maintenance plans are in use, no request may be sent until the group has
	// confirmed this process.
	if err := s.joinGroup(); err != nil {
		return err
	}
	known := s.initialEndpoints()
	s.shareRequestIDs()
	s.checkSharedBySiblings()
	s.syncOverrides() // before any endpoint is known, so that a disabled worker gets no request
	hasList := len(known.Endpoints) > 0
	if hasList {
		s.engine.UpdateEndpoints(known)
	}
	s.createHandler()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.openListeners(ctx); err != nil {
		return err
	}
	s.watcher = discovery.NewWatcher(ctx, s.engine, s.log, discovery.Source{
		Address: s.config.DiscoveryAddress,
		Pushed:  s.config.EndpointsPushed,
		HasList: hasList,
		Version: known.Version,
		Seed:    seed,
		Memory:  &s.listBudget,
	})
	s.loops.Go(func() { s.heartbeatLoop(ctx) })
	if s.process.ID() != 0 {
		s.loops.Go(func() { s.syncLoop(ctx) })
	}
	for _, line := range s.config.Unsupported {
		s.log.Warn(line)
	}
	return nil
}

// abort releases what startComponents had started when it failed.
func (s *Server) abort() {
	if s.cancel != nil {
		s.cancel()
	}
	s.closeGroup()
	if s.engine != nil {
		s.engine.Close()
	}
	s.process.Close()
}

// randomSeed returns the seed of all random draws. It differs between sibling processes, so that they do not draw the same sequence.
func (s *Server) randomSeed() uint64 {
	if s.siblings.Load() > 0 {
		return s.config.Seed + uint64(s.process.ID())
	}
	return s.config.Seed
}

// createEngine creates the engine and the pool of connections to workers.
func (s *Server) createEngine(seed uint64, decider engine.Decider) error {
	c := s.config
	created, err := engine.New(engine.Options{
		Settings: c.Settings,
		Names:    c.Names,
		Seed:     seed,
		MaxOpen:  c.MaxOpen,
		Log:      s.log,
		Decider:  decider,
	})
	if err != nil {
		return err
	}
	s.engine = created
	if c.Operator != nil {
		s.engine.SetLimits(c.Operator.Routes, c.Operator.Admission, c.Settings.Classes)
	}
	s.pool = upstream.NewPool(c.dialer(), &s.engine.Counters, 0, idleTimeout(c.Settings))
	s.engine.OnEndpointRetired(func(e engine.RetiredEndpoint) { s.pool.CloseIdleTo(e.Address) })
	return nil
}

// createHandler creates the handler of clients' requests and its HTTP server, which does not listen yet.
func (s *Server) createHandler() {
	counters := &s.engine.Counters
	transport := &upstream.Transport{Pool: s.pool, Counters: counters, Memory: &s.responseMemory}
	s.handler = frontend.NewHandler(s.engine, transport, &frontend.ConnTracker{Counters: counters, HeadBudget: &s.headBudget})
	s.applyBudgets()
	s.setRetryAfter(s.config.Settings)
	s.httpServer = s.handler.HTTPServer()
	s.httpServer.ErrorLog = newErrorLog(s.log)
}

// heartbeatLoop calls the engine's Heartbeat and closes idle connections to workers, until ctx ends.
func (s *Server) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	warned := false
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.engine.Heartbeat()
			if !warned && s.handler.ServesByInitialList() {
				warned = true
				s.log.Warn("discovery has been silent since the start: using the endpoint list of the start")
			}
			if i%heartbeatsPerSweep == 0 {
				s.pool.CloseExpired()
			}
		}
	}
}
