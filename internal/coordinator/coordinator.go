// Package coordinator runs one dispatcher's part in a group of dispatchers. It joins the group, renews the lease, applies committed
// maintenance commands to its own dispatcher, answers operators' calls and, while it leads, advances maintenance plans.
//
// What is decided about plans stands in internal/maintenance, agreement in internal/consensus, transport in internal/peer.
//
// A process of a dispatcher takes part while it holds a membership: the group's address is listened on, the storage is open, and the
// loops of a membership run. Of several processes of one dispatcher the newest holds it. Coordinator.run owns the membership, a
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
	pollInterval         = 5 * time.Millisecond   // between checks of something that is about to happen
	appliedInterval      = 10 * time.Millisecond  // between checks of the applied index, while the state does not change
	goneWorkerRetention  = 15 * time.Minute       // a worker that has left the endpoint list counts as unavailable for so long
)

const (
	renewalsPerLease      = 6   // attempts to renew within the time of a lease
	minObservationReports = 3   // reports that a member may miss before its observations of workers expire, at the least
	clockDriftDivisor     = 100 // monotonic clocks differ by at most one part in so many
)

// Dispatcher is what a Coordinator controls: engine.Engine implements it. Its methods are called with the coordinator's lock held, and
// must not call the coordinator.
type Dispatcher interface {
	// SetRestrictions replaces what the group has committed on workers, as far as it restricts this dispatcher.
	SetRestrictions(engine.Restrictions)
	// SetMaxAttemptDuration limits the attempts that begin from now on.
	SetMaxAttemptDuration(time.Duration)
	// SetLeaseExpiry sets until when workers under a lease may be sent to.
	SetLeaseExpiry(until time.Time)
	// SetPlansUnknown says whether this process may lack plans. Then all workers need a lease.
	SetPlansUnknown(bool)
	// BusyWorkers returns the workers under maintenance or a lease where an attempt runs or may run, and their hosts.
	BusyWorkers() (names, hosts []string)
	// WorkerStatuses returns all workers, those that have left for a time, and which began so recently that they are warming up.
	WorkerStatuses(goneFor, warmUp time.Duration) []engine.WorkerStatus
}

// Options configures a Coordinator. All fields are needed unless their comment says otherwise.
type Options struct {
	Group      *config.Group
	Self       string // this member's name
	Dispatcher Dispatcher
	// Siblings returns how many other processes of this dispatcher live, and whether one of them is newer than this one.
	Siblings    func() (alive int, newer bool)
	MaxDeadline time.Duration // the longest deadline of a request class: no attempt runs for longer
	MaxDelivery time.Duration // from the order of an attempt until its last byte has arrived at the worker, or never will
	WarmUp      time.Duration // from a worker's start until it is warm
	// BootMarkerPath names a file that does not outlive the machine's boot. Empty: after a restart others have to verify the disk.
	BootMarkerPath string
	TransportUsers []TransportUser // may be empty
	Log            logrus.FieldLogger
}

// TransportUser uses the transport of this process's membership beside the Coordinator.
type TransportUser interface {
	// Attach registers handlers on a transport that serves soon.
	Attach(*peer.Transport)
	// Detach is called before the transport closes.
	Detach()
}

// Coordinator is one member's part in the group, from Start until Close. Its methods are safe for concurrent use.
type Coordinator struct {
	options Options
	cancel  context.CancelFunc // ends run
	done    chan struct{}      // closed when run has ended
	closing atomic.Bool        // the process ends: leadership was given away already

	// mu guards all below. It is held while the dispatcher is called, never the other way round.
	mu       sync.Mutex
	state    *maintenance.State
	seqSince time.Time     // since when state has its Seq
	changed  chan struct{} // closed, and replaced, when state has changed

	lastReports       map[string]receivedReport     // by member, since this process began
	observedNames     map[uint64]string             // members by raft ID, as their messages came
	observedPositions map[string]consensus.Position // what incarnations of other members have promised by their messages

	maxAttempt time.Duration // from the order of an attempt until it runs no more
	warmUp     time.Duration // Options.WarmUp, or what ExtendTimes has made of it
	membership *membership   // nil: this process has none
}

// Start starts a member's part and returns at once. Until the group has confirmed this process, the dispatcher is told that it may lack
// plans, if plans are in use.
func Start(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:           options,
		cancel:            cancel,
		done:              make(chan struct{}),
		state:             maintenance.New(),
		seqSince:          time.Now(),
		changed:           make(chan struct{}),
		lastReports:       map[string]receivedReport{},
		observedNames:     map[uint64]string{},
		observedPositions: map[string]consensus.Position{},
		maxAttempt:        options.MaxDeadline + options.MaxDelivery,
		warmUp:            options.WarmUp,
	}
	options.Dispatcher.SetMaxAttemptDuration(options.MaxDeadline)
	options.Dispatcher.SetPlansUnknown(options.Group.MaintenancePlans && !failpoint.Enabled(failpoint.SendBeforeJoin))
	go c.run(ctx)
	return c
}

// run holds a membership whenever this process may have one, until ctx ends.
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

// fenceTimeout is the longest that this member may still send or run anything by a state that it had before a committed entry. Whoever
// has waited for so long need not hear from it. c.mu must be held.
func (c *Coordinator) fenceTimeout() time.Duration {
	timeout := c.options.Group.LeaseDuration + c.maxAttempt
	return timeout + timeout/clockDriftDivisor // whoever measures it may have the quicker clock
}

// ExtendTimes replaces times of Options by longer ones, for a configuration that is about to be in force; shorter ones change nothing.
// Once it returns, the dispatcher has no lease until the group waits for as long.
func (c *Coordinator) ExtendTimes(maxDeadline, maxDelivery, warmUp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmUp = max(c.warmUp, warmUp)
	maxAttempt := maxDeadline + maxDelivery
	if maxAttempt <= c.maxAttempt {
		return
	}
	c.maxAttempt = maxAttempt
	c.options.Dispatcher.SetLeaseExpiry(time.Time{}) // before any attempt begins that may run for longer
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

// TransferLeadership gives leadership to another voter, if this member has it. It takes up to a second. A process calls it before it
// drains.
func (c *Coordinator) TransferLeadership() { c.transferLeadership(context.Background()) }

// Close ends this member's part and waits until it has ended, which may take as long as a write to the disk.
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
