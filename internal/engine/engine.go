// Package engine runs the decision module of one dispatcher. It converts what happens to requests, attempts, workers and timers to events
// for the module, and carries out the actions that the module returns.
//
// It owns the open requests and their attempts, the endpoint list, the operators' overrides and limits, and what a group of dispatchers has
// decided about workers. All of this is kept in memory only and guarded by one lock, Engine.mu. It does not survive a restart: other
// packages store what has to survive and pass it in again.
//
// The engine implements no protocol and opens no connection. Its callers do: a frontend opens requests and carries out attempts, a watcher
// of discovery updates the endpoints, a coordinator sets the group's restrictions and its lease.
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

// maxAttempts limits the attempts of one request whatever the settings say, so that its decisions fit into a channel.
const maxAttempts = 64

// Decider is the interface of a decision module. It is called with the engine's lock held, and needs no lock of its own.
type Decider interface {
	// Handle handles one event, appends the resulting actions to out and returns them.
	Handle(now dispatch.Time, event *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

// Options configure an Engine.
type Options struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // the names used to decode Settings; the engine owns them from now on
	Seed     uint64              // of the decision module's random numbers
	MaxOpen  int                 // maximum number of open requests; 0: no limit
	Log      logrus.FieldLogger
	Decider  Decider // replaces the decision module of Settings and Seed, as a baseline or in tests; nil: that module
}

// Engine runs one decision module. Its methods are safe for concurrent use, and so are those of its requests and attempts.
type Engine struct {
	// Counters are atomic, and may be read and changed without the lock.
	Counters Counters

	// leaseInUse reports whether any worker needs the lease. It is written under mu and read without it.
	leaseInUse atomic.Bool

	log logrus.FieldLogger // not changed after New

	// mu guards all fields below, and the mutable fields of each Request and Attempt. It is held while the decision module handles an event
	// and while its actions are carried out, so that events reach the module one at a time and in the order of their times.
	// onEndpointRetired and onOutlier are called with it held too, and must not call the engine.
	mu sync.Mutex

	decider Decider
	actions []dispatch.Action // the decider's last actions; kept to reuse the memory

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
	openRequests int        // requests that need an answer
	recentIDs    recentIDs
	admitter     *admitter // nil: the operators have set no limits

	// Workers: see worker.go for the states, endpoints.go for the list.
	workers           []workerState // by id
	listVersion       uint64        // discovery's version of the list
	revision          uint64        // number of updates of the list: its version for the decision module
	changes           endpointChanges
	syncedBefore      bool      // the update that is applied is not the first from discovery since the process started
	synced            bool      // a list has been received from discovery since the process started
	watchingSince     time.Time // when the watch on discovery came up; zero: it is down
	onEndpointRetired func(RetiredEndpoint)
	onOutlier         func(worker string) // nil: not set

	slowStartWindow dispatch.Time // of the settings

	// Stalls of the process: see heartbeat.go.
	lastHeartbeat time.Time // zero: there was no heartbeat, and stalls are not detected
	pauseEnd      time.Time // nothing is sent before this time: a stall has just ended

	// The group's decisions: see restrictions.go and lease.go.
	restrictions          Restrictions
	maintenanceWorkers    []dispatch.WorkerID // workers that the restrictions exclude ...
	leasedWorkers         []dispatch.WorkerID // ... and those that need the lease
	maxAttemptDuration    time.Duration       // of attempts that begin from now on; 0: no bound
	leaseExpiry           time.Time
	plansUnknown          bool // the group's plans are unknown, so that all workers need the lease
	leaseExclusionsActive bool // some worker is excluded because the lease has expired
}

// New returns an Engine that knows no worker yet. It fails if the decision module rejects the settings. Close stops it.
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
		slowStartWindow:   options.Settings.SlowStartWindow,
		onEndpointRetired: func(RetiredEndpoint) {},
	}
	engine.epoch = dispatch.Time(engine.origin.UnixMicro())
	engine.timer = time.AfterFunc(time.Hour, engine.timerFired)
	engine.timer.Stop()
	return engine, nil
}

// Reconfiguration is what a reload of the configuration changes.
type Reconfiguration struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // the names used to decode Settings, and no others; the engine's own are kept for workers and requests
	MaxOpen  int
	Routes   *routes.Table // nil: the operators have no file, and the limits stay as they are
	Limits   admission.Config
}

// Reconfigure applies settings, which the caller has checked, to requests that arrive from now on. Open requests keep their class. The
// engine has no settings of connections: the caller passes them to the owners of connections.
func (e *Engine) Reconfigure(change Reconfiguration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newSettings := change.Settings
	newSettings.MaxAttempts = min(newSettings.MaxAttempts, maxAttempts)
	event := dispatch.Event{Kind: dispatch.SettingsChanged, Settings: &newSettings}
	event.OldClasses, event.OldTenants = e.names.Adopt(change.Names, &newSettings)
	e.maxAttempts = newSettings.MaxAttempts
	e.maxOpen = change.MaxOpen
	e.slowStartWindow = newSettings.SlowStartWindow
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

// OpenRequests returns the number of requests that need an answer.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openRequests
}
