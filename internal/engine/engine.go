// Package engine runs the decision module of one dispatcher. It turns what happens to requests, attempts, workers and timers into
// events for the module, and carries out the actions that the module answers with.
//
// It owns the open requests and their attempts, the endpoint list, the operators' overrides and limits, and what a group of
// dispatchers has decided about workers. All of that is kept in memory alone and guarded by one lock, Engine.mu. Nothing of it
// survives a restart: other packages store what has to and pass it in again.
//
// The engine speaks no protocol and opens no connection. Its callers do: a frontend opens requests and carries attempts out, a
// watcher of discovery updates the endpoints, a coordinator sets the group's restrictions and its lease.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/settings"
)

// maxAttempts bounds the attempts of one request whatever the settings say, so that its decisions fit into a channel.
const maxAttempts = 64

// Decider is what the engine needs of a decision module. It is called under the engine's lock, so that it needs none of its own.
type Decider interface {
	// Handle takes one event, appends the actions that follow from it to out and returns them.
	Handle(now dispatch.Time, event *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

// Options configure an Engine.
type Options struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // the names that Settings were decoded with; the engine owns them from now on
	Seed     uint64              // of the decision module's random numbers
	MaxOpen  int                 // requests that may be open at a time; 0: no limit
	Log      logrus.FieldLogger
	Decider  Decider // in place of the decision module of Settings and Seed, as a baseline or in tests; nil: that module
}

// Engine runs one decision module. Its methods are safe for concurrent use, and so are those of its requests and attempts.
type Engine struct {
	// Counters are atomic, and may be read and changed without the lock.
	Counters Counters

	// leaseInUse tells whether some worker may be sent to under the lease only. It is written under mu and read without it.
	leaseInUse atomic.Bool

	log logrus.FieldLogger // does not change

	// mu guards all fields below, and the fields of each Request and Attempt that change. It is held while the decision module
	// handles an event and while its actions are carried out, so that events reach the module one at a time and in the order
	// of their times. onEndpointRetired and onOutlier are called under it too, and must not call back.
	mu sync.Mutex

	decider Decider
	actions []dispatch.Action // the decider's last answer; kept for its memory

	// The clock and the timer: see clock.go.
	origin   time.Time     // the start of this engine ...
	epoch    dispatch.Time // ... and what the decision module's clock read then
	timer    *time.Timer
	timerDue dispatch.Time // when the timer is due; 0: it is not set

	// Requests: see request.go.
	names        *settings.NameTable
	maxOpen      int
	maxAttempts  int
	requests     []*Request // by id; nil where the id is free
	openRequests int        // requests that are owed an answer
	recentIDs    recentIDs
	admitter     *admitter // nil: the operator has set no limits

	// Workers: see worker.go for the states, endpoints.go for the list.
	workers           []workerState // by id
	listVersion       uint64        // the list's version by discovery's count
	revision          uint64        // updates of the list: its version for the decision module
	synced            bool          // a list has been received from discovery since the process started
	watchingSince     time.Time     // since when the watch on discovery has been up; zero: it is down
	onEndpointRetired func(RetiredEndpoint)
	onOutlier         func(worker string) // nil: nobody listens

	// Stalls of the process: see heartbeat.go.
	lastHeartbeat time.Time // zero: no heartbeat has come, and stalls are not looked for
	pausedUntil   time.Time // nothing is sent before: a stall has just ended

	// What the group has decided: see restrictions.go and lease.go.
	restrictions       Restrictions
	maintenanceWorkers []dispatch.WorkerID // those that the restrictions take out ...
	leasedWorkers      []dispatch.WorkerID // ... and those that may be sent to under the lease only
	maxAttemptDuration time.Duration       // of attempts that begin from now on; 0: no bound
	leaseExpiry        time.Time
	plansUnknown       bool // the group's plans are not known, so that all workers count as leased
	anyWithoutLease    bool // some worker is excluded for want of the lease
}

// New returns an Engine that knows no worker yet. It fails where the decision module does not take the settings. Close stops it.
func New(options Options) (*Engine, error) {
	options.Settings.MaxAttempts = min(options.Settings.MaxAttempts, maxAttempts)
	decider := options.Decider
	if decider == nil {
		dispatcher, err := dispatch.New(options.Settings, options.Seed)
		if err != nil {
			return nil, err
		}
		decider = dispatcher
	}
	engine := &Engine{
		log:               options.Log,
		decider:           decider,
		origin:            time.Now(),
		names:             options.Names,
		maxOpen:           options.MaxOpen,
		maxAttempts:       options.Settings.MaxAttempts,
		onEndpointRetired: func(RetiredEndpoint) {},
	}
	engine.epoch = dispatch.Time(engine.origin.UnixMicro())
	engine.timer = time.AfterFunc(time.Hour, engine.timerFired)
	engine.timer.Stop()
	return engine, nil
}

// Reconfiguration is what changes with a reload of the configuration.
type Reconfiguration struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // the names that Settings were decoded with, and no others; the engine's own keep workers and requests
	MaxOpen  int
	Routes   *routes.Table // nil: the operator has no file, and the limits stay as they are
	Limits   admission.Config
}

// Reconfigure puts settings in force, which the caller has checked, for requests that come from now on. Open requests keep the class
// that they came with. Settings of connections are not the engine's: the caller passes them to the owners of connections.
func (e *Engine) Reconfigure(change Reconfiguration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newSettings := change.Settings
	newSettings.MaxAttempts = min(newSettings.MaxAttempts, maxAttempts)
	event := dispatch.Event{Kind: dispatch.SettingsChanged, Settings: &newSettings}
	event.OldClasses, event.OldTenants = e.names.Adopt(change.Names, &newSettings)
	e.maxAttempts = newSettings.MaxAttempts
	e.maxOpen = change.MaxOpen
	if change.Routes != nil {
		e.setLimits(change.Routes, change.Limits, newSettings.Classes)
	}
	e.handle(e.now(), &event)
}

// Close stops the timer. No request may be opened afterwards.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
}

// OpenRequests returns how many requests are owed an answer.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openRequests
}
