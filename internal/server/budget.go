package server

import (
	"runtime/debug"
	"time"
)

// How the descriptors are divided.
const (
	reservedSockets        = 16  // for the listener, discovery, standard streams and the runtime: 8, the rest spare
	reservedSocketsDivisor = 32  // and one in so many more
	maxAdminConns          = 32  // connections to the admin server at most ...
	adminConnsDivisor      = 16  // ... and one descriptor in so many
	minSharedSockets       = 3   // among many processes: one to a worker and two from clients, as 0 would mean no limit
	workerConnFraction     = 0.4 // of the other descriptors: connections to workers; requests of more clients may have to wait
	clientSoftFraction     = 0.9 // of the clients' part: beyond it requests are rejected, so that their connections go
)

// How the memory is divided.
const (
	memoryLimitFraction = 0.75    // of the limit, up to which the heap may grow before it is collected at any price
	bodyMemoryFraction  = 1.0 / 8 // of the limit, for request bodies over 4 KiB
)

// overloadRetryAfter is when a client that found no place may come back: silent connections are closed and requests end meanwhile.
const overloadRetryAfter = 200 * time.Millisecond

// descriptorBudget is how many connections one process may hold.
type descriptorBudget struct {
	workers     int // to workers
	clientsSoft int // from clients, up to which requests are accepted
	clientsHard int // from clients, up to which they may wait
}

// descriptorBudget divides the descriptors where so many processes of this dispatcher run.
func (c *Config) descriptorBudget(processes int) descriptorBudget {
	reserved := reservedSockets + c.Limits.Sockets/reservedSocketsDivisor/processes + c.maxAdminConns()/processes
	sockets := max(c.Limits.Sockets/processes-reserved, minSharedSockets)
	workers := max(int(float64(sockets)*workerConnFraction), 1)
	clients := sockets - workers
	return descriptorBudget{
		workers:     workers,
		clientsSoft: int(float64(clients) * clientSoftFraction),
		clientsHard: clients,
	}
}

// maxAdminConns is how many connections the admin server may hold; 0 where there is none. Beyond it the longest silent are closed.
func (c *Config) maxAdminConns() int {
	if c.AdminAddress == "" {
		return 0
	}
	return min(maxAdminConns, c.Limits.Sockets/adminConnsDivisor)
}

// applyBudgets puts in force this process's equal part of the platform's limits. A process that shares nothing with siblings keeps the
// memory limit of its start.
func (s *Server) applyBudgets() {
	processes := int(s.siblings.Load()) + 1
	budget := s.config.descriptorBudget(processes)
	limits := s.config.Limits
	s.pool.SetMaxConns(budget.workers)
	s.handler.Conns.SetLimits(budget.clientsSoft, budget.clientsHard)
	s.handler.BodyBudget.SetLimit(limits.memoryBytes(bodyMemoryFraction) / int64(processes))
	if s.process.ID() != 0 {
		debug.SetMemoryLimit(limits.memoryBytes(memoryLimitFraction) / int64(processes))
	}
}
