// Package coordinator makes a dispatcher a member of a group of dispatchers. It joins the group, renews the lease, applies committed
// maintenance commands to its own dispatcher, answers operators' calls and, while it is the leader, advances maintenance plans.
//
// internal/maintenance decides on plans, internal/consensus runs raft, and internal/peer is the transport.
//
// A process of a dispatcher takes part in the group while it has the membership: it listens on the member's address, has the storage open
// and runs the membership's loops. If a dispatcher has several processes, the newest one gets the membership. Coordinator.run owns the
// membership. Its loops end before it is closed, and Close waits for run.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/config"
	"birchfork/internal/consensus"
	"birchfork/internal/engine"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Intervals and timeouts of a member.
const (
	membershipInterval   = 100 * time.Millisecond // between attempts to acquire the membership, and between checks whether to yield it
	joinInterval         = 300 * time.Millisecond // between attempts to join, or to verify the disk
	leaderInterval       = 100 * time.Millisecond // between a leader's proposals
	idleReportInterval   = 2 * time.Second        // between status reports while no plan is open
	requestTimeout       = time.Second            // of a request to another member
	positionQueryTimeout = 500 * time.Millisecond // of the queries for the other members' positions
	commitTimeout        = 2 * time.Second        // of an operator's call
	pollInterval         = 5 * time.Millisecond   // between checks of a condition that is expected to hold soon
	appliedPollInterval  = 10 * time.Millisecond  // between checks of the applied index while the state does not change
	goneWorkerRetention  = 15 * time.Minute       // how long a worker counts as unavailable after it has left the endpoint list
)

const (
	renewalsPerLease      = 6   // attempts to renew a lease within its duration
	minObservationReports = 3   // minimum number of idle reports that a member may miss before its observations of workers expire
	clockDriftDivisor     = 100 // the rates of two monotonic clocks differ by at most 1/clockDriftDivisor
)

// Dispatcher is the dispatcher that a Coordinator controls. engine.Engine implements it. Its methods may be called with the coordinator's
// lock held, so they must not call the coordinator.
type Dispatcher interface {
	// SetRestrictions replaces the restrictions on workers that result from the group's committed entries.
	SetRestrictions(engine.Restrictions)
	// SetMaxAttemptDuration limits the duration of attempts that begin after the call.
	SetMaxAttemptDuration(time.Duration)
	// SetLeaseExpiry sets when the lease expires. Until then, attempts may be sent to workers that need a lease.
	SetLeaseExpiry(expiry time.Time)
	// SetPlansUnknown sets whether plans may exist that this process does not know. If so, all workers need a lease.
	SetPlansUnknown(bool)
	// BusyWorkers returns the workers that are under maintenance or need a lease and may be running an attempt, and their hosts.
	BusyWorkers() (names, hosts []string)
	// WorkerStatuses returns the status of all workers, including those that have left the endpoint list within the last goneFor. A worker
	// counts as warming up if it has started or was included again within the last warmUp.
	WorkerStatuses(goneFor, warmUp time.Duration) []engine.WorkerStatus
}

// Options configures a Coordinator. All fields are required unless their comments state otherwise.
type Options struct {
	Group      *config.Group
	Self       string // this member's name
	Dispatcher Dispatcher
	// Siblings returns how many other processes of this dispatcher are alive, and whether one of them is newer than this one.
	Siblings    func() (alive int, newer bool)
	MaxDeadline time.Duration // the longest deadline of any request class, which limits every attempt
	MaxDelivery time.Duration // from the decision to send an attempt until its last byte has reached the worker or can no longer reach it
	WarmUp      time.Duration // from a worker's start until it is warm
	// BootMarkerPath is the path of a file that does not survive a reboot. If it is empty, other members have to verify the disk after
	// each restart.
	BootMarkerPath string
	TransportUsers []TransportUser // may be empty
	Log            logrus.FieldLogger
}

// TransportUser shares the transport of this process's membership with the Coordinator.
type TransportUser interface {
	// Attach registers handlers with a transport before it starts to serve.
	Attach(*peer.Transport)
	// Detach is called before the transport is closed.
	Detach()
}

// Coordinator runs one member of the group, from Start until Close. Its methods are safe for concurrent use.
type Coordinator struct {
	options Options
	cancel  context.CancelFunc // ends run
	done    chan struct{}      // closed when run has ended
	closing atomic.Bool        // the process is ending and has already transferred leadership

	// mu guards the fields below. It may be held while the dispatcher locks its own mutex, but not vice versa.
	mu           sync.Mutex
	state        *maintenance.State
	seqChangedAt time.Time     // when state got its current Seq
	changed      chan struct{} // closed and replaced at each change of state

	lastReports       map[string]receivedReport     // by member, since this process started
	senderNames       map[uint64]string             // member names by raft ID, from received messages
	promisedPositions map[string]consensus.Position // by incarnation of other members, from received messages

	maxAttemptLifetime time.Duration // upper bound on the time from the decision to send an attempt until its end
	warmUp             time.Duration // Options.WarmUp, or longer after ExtendTimes
	membership         *membership   // nil if this process does not have it
}

// Start starts a Coordinator and returns immediately. If maintenance plans are enabled, plans are unknown to the dispatcher until the
// group has confirmed this process.
func Start(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:            options,
		cancel:             cancel,
		done:               make(chan struct{}),
		state:              maintenance.New(),
		seqChangedAt:       time.Now(),
		changed:            make(chan struct{}),
		lastReports:        map[string]receivedReport{},
		senderNames:        map[uint64]string{},
		promisedPositions:  map[string]consensus.Position{},
		maxAttemptLifetime: options.MaxDeadline + options.MaxDelivery,
		warmUp:             options.WarmUp,
	}
	options.Dispatcher.SetMaxAttemptDuration(options.MaxDeadline)
	options.Dispatcher.SetPlansUnknown(options.Group.MaintenancePlans && !failpoint.Enabled(failpoint.SendBeforeJoin))
	go c.run(ctx)
	return c
}

// run acquires the membership whenever this process may have it, until ctx ends. Repeated errors are logged once.
func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	lastLogged := ""
	for ctx.Err() == nil {
		err := c.runMembership(ctx)
		if err != nil && err.Error() != lastLogged && ctx.Err() == nil {
			lastLogged = err.Error()
			c.options.Log.WithError(err).Warn("cannot take part in the group, retrying")
		}
		sleep(ctx, membershipInterval)
	}
}

// fenceTimeout returns how long this member may still send or run attempts based on an earlier state after an entry was committed. A leader
// that has waited that long needs no report from this member. c.mu must be held.
func (c *Coordinator) fenceTimeout() time.Duration {
	timeout := c.options.Group.LeaseDuration + c.maxAttemptLifetime
	return timeout + timeout/clockDriftDivisor // the clock of the leader, which measures the timeout, may run faster
}

// ExtendTimes raises the durations of Options before a new configuration takes effect. Shorter durations change nothing. If attempts may
// run longer, the dispatcher loses its lease until the group's fence timeout has been extended accordingly.
func (c *Coordinator) ExtendTimes(maxDeadline, maxDelivery, warmUp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmUp = max(c.warmUp, warmUp)
	maxAttemptLifetime := maxDeadline + maxDelivery
	if maxAttemptLifetime <= c.maxAttemptLifetime {
		return
	}
	c.maxAttemptLifetime = maxAttemptLifetime
	c.options.Dispatcher.SetLeaseExpiry(time.Time{}) // before attempts may run longer
	c.options.Dispatcher.SetMaxAttemptDuration(maxDeadline)
}

// LogFields returns the counters of the membership's transport as log fields, or nil without a membership.
func (c *Coordinator) LogFields() logrus.Fields {
	current := c.currentMembership()
	if current == nil {
		return nil
	}
	fields := logrus.Fields{}
	for name, count := range current.transport.Counters.Values() {
		fields["group_"+name] = count
	}
	return fields
}

// TransferLeadership transfers leadership to another voter if this member is the leader. It takes up to requestTimeout. It must be called
// before the process drains.
func (c *Coordinator) TransferLeadership() { c.transferLeadership(context.Background()) }

// Close stops the Coordinator and waits for its goroutines, which may take as long as a disk write.
func (c *Coordinator) Close() {
	c.closing.Store(true)
	c.cancel()
	<-c.done
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
