// Package coordinator is one member's part in a group of dispatchers: it joins, renews the lease, puts what is settled in force
// at its own dispatcher, and while it leads, has the plans go on. What is decided stands in internal/maintenance, agreement in
// internal/consensus; here they meet the links and the dispatcher.
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
	membershipInterval    = 100 * time.Millisecond // between tries to get the voice, and looks whether to give it up
	joinInterval          = 300 * time.Millisecond
	leaderInterval        = 100 * time.Millisecond
	renewalsPerLease      = 6                      // tries in the time of a lease
	idleReportInterval    = 2 * time.Second        // between words to the leader where nothing needs a lease
	minObservationReports = 3                      // words missed that a member sends at the least, until what it has seen of runners lapses
	requestTimeout        = time.Second            // for the leader's answer
	positionQueryTimeout  = 500 * time.Millisecond // for the others to say what they heard of us
	commitTimeout         = 2 * time.Second        // for a call of staff to be settled
	goneWorkerRetention   = 15 * time.Minute       // a runner that has left the list counts as away for so long
	clockDriftDivisor     = 100                    // monotonic clocks differ by one part in so many at the most
)

// Dispatcher is what a council needs of the dispatcher: store.Store has it.
type Dispatcher interface {
	SetRestrictions(engine.Restrictions)
	SetMaxAttemptDuration(time.Duration)
	SetLeaseExpiry(until time.Time)
	SetPlansUnknown(bool)
	BusyWorkers() (names, hosts []string)
	WorkerStatuses(gone, cold time.Duration) []engine.WorkerStatus
}

// Options is all that a Council is made of.
type Options struct {
	Group          *config.Group
	Self           string
	Dispatcher     Dispatcher
	Siblings       func() (alive int, newer bool) // other processes of this dispatcher, and whether one came after us
	MaxDeadline    time.Duration                  // the longest of a class: no attempt runs for longer
	MaxDelivery    time.Duration                  // from an attempt's order until its last byte has come, or never comes
	WarmUp         time.Duration                  // until a started runner is warm
	BootMarkerPath string                         // a file that does not outlive the machine's run; empty: there is none
	TransportUsers []TransportUser                // have our links too
	Log            logrus.FieldLogger
}

// TransportUser has the links of this process's place in the group beside us.
type TransportUser interface {
	Attach(*peer.Transport) // they are open and serve soon
	Detach()                // they close
}

// Coordinator is one member's part, until Close.
type Coordinator struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
	closing atomic.Bool

	mu                sync.Mutex
	state             *maintenance.State
	seqSince          time.Time     // since when the state has its Seq
	changed           chan struct{} // closed when something more is in force
	lastReports       map[string]receivedReport
	confirmed         bool                          // noted on the disk: the loop that renews has it
	observedNames     map[uint64]string             // raft ids by the messages that came
	observedPositions map[string]consensus.Position // how far lives of others have come, by what they said
	maxAttempt        time.Duration                 // the longest from an attempt's order until it runs no more
	warmUp            time.Duration                 // until a started runner is warm
	membership        *membership                   // nil: another process of this dispatcher has it, or we are not in yet
}

// Start takes part. It returns at once: until the group is heard of, the dispatcher is blind where plans are in use.
func Start(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{options: options, cancel: cancel, done: make(chan struct{}), state: maintenance.New(), seqSince: time.Now(), changed: make(chan struct{}), lastReports: map[string]receivedReport{},
		observedNames: map[uint64]string{}, observedPositions: map[string]consensus.Position{}, maxAttempt: options.MaxDeadline + options.MaxDelivery, warmUp: options.WarmUp}
	options.Dispatcher.SetMaxAttemptDuration(options.MaxDeadline)
	options.Dispatcher.SetPlansUnknown(options.Group.MaintenancePlans && !failpoint.Enabled(failpoint.SendBeforeJoin))
	go c.run(ctx)
	return c
}

// run gets the voice, uses it until another process of this dispatcher is to have it, and begins anew.
func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	lastLogged := ""
	for ctx.Err() == nil {
		if err := c.runMembership(ctx); err != nil && err.Error() != lastLogged && ctx.Err() == nil {
			lastLogged = err.Error()
			c.options.Log.WithError(err).Warn("this process has no place in the group yet; it is tried again")
		}
		sleep(ctx, membershipInterval)
	}
}

// fenceTimeout is the longest that something of ours may run at a machine after an entry that we do not know of. The lock is held.
func (c *Coordinator) fenceTimeout() time.Duration {
	timeout := c.options.Group.LeaseDuration + c.maxAttempt
	return timeout + timeout/clockDriftDivisor // whoever measures it may have the quicker clock
}

// ExtendTimes says that the times of Options of these names are others from its return on; only longer ones change anything. There
// is no lease until the group waits for as long.
func (c *Coordinator) ExtendTimes(maxDeadline, maxDelivery, warmUp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmUp = max(c.warmUp, warmUp)
	if attempt := maxDeadline + maxDelivery; attempt > c.maxAttempt {
		c.maxAttempt = attempt
		c.options.Dispatcher.SetLeaseExpiry(time.Time{}) // before any attempt is ordered that may run for longer
		c.options.Dispatcher.SetMaxAttemptDuration(maxDeadline)
	}
}

// LogFields are what has passed on our links, for the log; nil where this process has no place in the group.
func (c *Coordinator) LogFields() logrus.Fields {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil {
		return nil
	}
	fields := logrus.Fields{}
	for name, count := range current.transport.Counters.Values() {
		fields["group_"+name] = count
	}
	return fields
}

// TransferLeadership gives the lead away, within a second: this process stops soon.
func (c *Coordinator) TransferLeadership() { c.transferLeadership() }

// Close ends this member's part, soon.
func (c *Coordinator) Close() {
	c.closing.Store(true)
	c.cancel()
	<-c.done
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
