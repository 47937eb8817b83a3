// Package coordinator runs one dispatcher's part in a group of dispatchers. It joins the group, renews the lease, applies committed
// maintenance commands to its own dispatcher, answers operators' calls and, while it leads, advances maintenance plans.
//
// The decisions on plans are in internal/maintenance, raft is in internal/consensus and the transport in internal/peer.
//
// A process of a dispatcher takes part in the group while it has the membership: it listens on the member's address, has the storage open
// and runs the loops of a membership. Of several processes of one dispatcher the newest gets the membership. Coordinator.run owns it; a
// membership's loops end before it is closed, and Close waits for run.
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

// Times of a member.
const (
	membershipInterval   = 100 * time.Millisecond // between attempts to get the membership, and checks whether to yield it
	joinInterval         = 300 * time.Millisecond // between attempts to join, or to have the disk verified
	leaderInterval       = 100 * time.Millisecond // between a leader's proposals
	idleReportInterval   = 2 * time.Second        // between status reports while no plan is under way
	requestTimeout       = time.Second            // for another member's answer
	positionQueryTimeout = 500 * time.Millisecond // for the other members' positions
	commitTimeout        = 2 * time.Second        // for an operator's call to be committed
	pollInterval         = 5 * time.Millisecond   // between checks of a condition that is expected soon
	appliedPollInterval  = 10 * time.Millisecond  // between checks of the applied index, while the state does not change
	goneWorkerRetention  = 15 * time.Minute       // how long a worker that has left the endpoint list counts as unavailable
)

const (
	renewalsPerLease      = 6   // attempts to renew within the duration of a lease
	minObservationReports = 3   // lower bound on the reports that a member may miss before its observations of workers expire
	clockDriftDivisor     = 100 // the rates of monotonic clocks differ by at most 1/clockDriftDivisor
)

// Dispatcher is the dispatcher that a Coordinator controls; engine.Engine implements it. Its methods may be called with the coordinator's
// lock held and must not call the coordinator.
type Dispatcher interface {
	// SetRestrictions replaces the restrictions on workers that follow from the group's committed entries.
	SetRestrictions(engine.Restrictions)
	// SetMaxAttemptDuration limits the duration of attempts that begin after the call.
	SetMaxAttemptDuration(time.Duration)
	// SetLeaseExpiry sets when the lease ends; until then attempts may be sent to workers that need a lease.
	SetLeaseExpiry(until time.Time)
	// SetPlansUnknown sets whether plans may exist that this process does not know. While they may, all workers need a lease.
	SetPlansUnknown(bool)
	// BusyWorkers returns the workers under maintenance or a lease at which an attempt runs or may run, and their hosts.
	BusyWorkers() (names, hosts []string)
	// WorkerStatuses returns the status of all workers, including those that left the endpoint list less than goneFor ago. A worker
	// counts as warming up if it started, or was included again, less than warmUp ago.
	WorkerStatuses(goneFor, warmUp time.Duration) []engine.WorkerStatus
}

// Options configures a Coordinator. All fields are required unless their comment states otherwise.
type Options struct {
	Group      *config.Group
	Self       string // this member's name
	Dispatcher Dispatcher
	// Siblings returns how many other processes of this dispatcher are alive, and whether one of them is newer than this one.
	Siblings    func() (alive int, newer bool)
	MaxDeadline time.Duration // the longest deadline of any request class: no attempt runs longer
	MaxDelivery time.Duration // from the decision to send an attempt until its last byte has arrived at the worker or can no longer arrive
	WarmUp      time.Duration // from a worker's start until it is warm
	// BootMarkerPath is the path of a file that does not survive a reboot of the machine. If it is empty, other members have to verify
	// the disk after each restart.
	BootMarkerPath string
	TransportUsers []TransportUser // may be empty
	Log            logrus.FieldLogger
}

// TransportUser shares the transport of this process's membership with the Coordinator.
type TransportUser interface {
	// Attach registers handlers on a transport before it serves.
	Attach(*peer.Transport)
	// Detach is called before the transport closes.
	Detach()
}

// Coordinator is one member's part in the group, from Start until Close. Its methods are safe for concurrent use.
type Coordinator struct {
	options Options
	cancel  context.CancelFunc // ends run
	done    chan struct{}      // closed when run has ended
	closing atomic.Bool        // the process ends and has transferred leadership already

	// mu guards the fields below. It may be held while the dispatcher locks its own mutex, never the other way round.
	mu           sync.Mutex
	state        *maintenance.State
	seqChangedAt time.Time     // when state got its present Seq
	changed      chan struct{} // closed and replaced at each change of state

	lastReports       map[string]receivedReport     // by member, since this process started
	senderNames       map[uint64]string             // members by raft ID, from the messages they sent
	promisedPositions map[string]consensus.Position // by incarnation of other members: what their messages have promised

	maxAttemptDuration time.Duration // upper bound from the decision to send an attempt until its end
	warmUp             time.Duration // Options.WarmUp, or longer after ExtendTimes
	membership         *membership   // nil: this process does not have it
}

// Start starts a Coordinator and returns at once. Where maintenance plans are in use, the dispatcher treats plans as unknown until the
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
		maxAttemptDuration: options.MaxDeadline + options.MaxDelivery,
		warmUp:             options.WarmUp,
	}
	options.Dispatcher.SetMaxAttemptDuration(options.MaxDeadline)
	options.Dispatcher.SetPlansUnknown(options.Group.MaintenancePlans && !failpoint.Enabled(failpoint.SendBeforeJoin))
	go c.run(ctx)
	return c
}

// run gets the membership whenever this process may have it, until ctx ends. Repeated errors are logged once.
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

// fenceTimeout returns how long after an entry was committed this member may still send or run attempts by an earlier state. A leader that
// has waited that long needs no report from it. c.mu must be held.
func (c *Coordinator) fenceTimeout() time.Duration {
	timeout := c.options.Group.LeaseDuration + c.maxAttemptDuration
	return timeout + timeout/clockDriftDivisor // the clock that measures it may run faster
}

// ExtendTimes replaces times of Options with longer ones before a new configuration takes effect; shorter ones change nothing. If an
// attempt may run longer, the dispatcher has no lease from then on until the group's fence timeout has been extended to match.
func (c *Coordinator) ExtendTimes(maxDeadline, maxDelivery, warmUp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmUp = max(c.warmUp, warmUp)
	maxAttemptDuration := maxDeadline + maxDelivery
	if maxAttemptDuration <= c.maxAttemptDuration {
		return
	}
	c.maxAttemptDuration = maxAttemptDuration
	c.options.Dispatcher.SetLeaseExpiry(time.Time{}) // before any attempt begins that may run longer
	c.options.Dispatcher.SetMaxAttemptDuration(maxDeadline)
}

// LogFields returns the counters of the membership's transport, for the log; nil without a membership.
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

// TransferLeadership transfers leadership to another voter, if this member leads. It takes up to a second. It is to be called before the
// process drains.
func (c *Coordinator) TransferLeadership() { c.transferLeadership(context.Background()) }

// Close stops the Coordinator and waits for its goroutines, which may take as long as a write to the disk.
func (c *Coordinator) Close() {
	c.closing.Store(true)
	c.cancel()
	<-c.done
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
