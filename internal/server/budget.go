package server

import (
	"runtime/debug"
	"time"
)

// Shares of the file descriptors.
const (
	reservedSockets        = 16  // for the listener, discovery, standard streams and the runtime: 8 are in use, the rest is spare
	reservedSocketsDivisor = 32  // 1/reservedSocketsDivisor of all descriptors is reserved in addition
	maxAdminConns          = 32  // upper bound on connections to the admin server
	adminConnsDivisor      = 16  // connections to the admin server also take at most 1/adminConnsDivisor of all descriptors
	minSharedSockets       = 3   // lower bound per process: one to a worker and two from clients; a limit of 0 would mean no limit
	workerConnFraction     = 0.4 // of the remaining descriptors, for connections to workers; if more clients than that send requests, some may wait
	clientSoftFraction     = 0.9 // of the clients' part; beyond it requests are rejected, so that their connections close
)

// Shares of the memory.
const (
	memoryLimitFraction = 0.75    // of the limit, as the soft memory limit of the Go runtime, which collects garbage at any cost above it
	bodyMemoryFraction  = 1.0 / 8 // of the limit, for request bodies over 4 KiB

	responseMemoryFraction = 1.0 / 4  // of the limit, for workers' responses beyond the buffers of their connections
	headMemoryFraction     = 1.0 / 16 // of the limit, for heads of clients and operators over memory.HeadAllowance
	listMemoryFraction     = 1.0 / 4  // of the limit, for endpoint lists that are being received
	connMemoryFraction     = 3.0 / 8  // of the limit, for connections to clients and workers, without what the budgets above count
	connMemoryBytes        = 32 << 10 // of one connection: stacks, buffers, a head and a body that need no reservation
)

// overloadRetryAfter is the Retry-After of requests that exceed a limit of this process. Within this time silent connections are closed and
// other requests end.
const overloadRetryAfter = 200 * time.Millisecond

// descriptorBudget is how many connections one process may have open.
type descriptorBudget struct {
	workers     int // to workers
	clientsSoft int // from clients: requests are accepted up to this number
	clientsHard int // from clients: connections may wait up to this number
}

// descriptorBudget returns the budget of each process while this number of processes of the dispatcher runs. It is limited by the descriptors
// and by the memory that connections take.
func (c *Config) descriptorBudget(processes int) descriptorBudget {
	reserved := reservedSockets + c.Limits.Sockets/reservedSocketsDivisor/processes + c.maxAdminConns()/processes
	affordable := int(c.Limits.memoryBytes(connMemoryFraction)) / processes / connMemoryBytes
	sockets := max(min(c.Limits.Sockets/processes-reserved, affordable), minSharedSockets)
	workers := max(int(float64(sockets)*workerConnFraction), 1)
	clients := sockets - workers
	return descriptorBudget{
		workers:     workers,
		clientsSoft: int(float64(clients) * clientSoftFraction),
		clientsHard: clients,
	}
}

// maxAdminConns returns the limit of connections to the admin server; 0 if there is no server. Beyond it the oldest connections without a
// pending call are closed.
func (c *Config) maxAdminConns() int {
	if c.AdminAddress == "" {
		return 0
	}
	return min(maxAdminConns, c.Limits.Sockets/adminConnsDivisor)
}

// applyBudgets applies this process's equal part of the platform's limits. A process that shares nothing with siblings keeps the memory
// limit that was set at its start.
func (s *Server) applyBudgets() {
	processes := int(s.siblings.Load()) + 1
	budget := s.config.descriptorBudget(processes)
	limits := s.config.Limits
	s.pool.SetMaxConns(budget.workers)
	s.handler.Conns.SetLimits(budget.clientsSoft, budget.clientsHard)
	share := func(fraction float64) int64 { return limits.memoryBytes(fraction) / int64(processes) }
	s.handler.BodyBudget.SetLimit(share(bodyMemoryFraction))
	s.responseMemory.SetLimit(share(responseMemoryFraction))
	s.headBudget.SetLimit(share(headMemoryFraction))
	s.listBudget.SetLimit(share(listMemoryFraction))
	if s.process.ID() != 0 {
		debug.SetMemoryLimit(share(memoryLimitFraction))
	}
}
