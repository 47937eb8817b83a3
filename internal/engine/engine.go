// Package engine runs the decision module of one dispatcher. It passes events of requests, attempts, workers and timers to the module, and
// executes the actions that the module returns.
//
// It owns the open requests and their attempts, the endpoint list, the operators' overrides and limits, and the restrictions that a group
// of dispatchers has set on workers. This state is kept in memory only and guarded by one lock, Engine.mu. It is lost at a restart: other
// packages store the parts that have to persist and restore them.
//
// The engine implements no protocol and opens no connection. Its callers do: the frontend opens requests and executes attempts, the
// discovery watcher updates the endpoints, and the coordinator sets the group's restrictions and lease.
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

// maxAttempts is the upper bound on the attempts of one request, whatever the settings. It limits the capacity of the request's channel of
// decisions.
const maxAttempts = 64

// Decider is the interface of a decision module. It is called with the engine's lock held and needs no lock of its own.
type Decider interface {
	// Handle handles one event, appends the resulting actions to out and returns them.
	Handle(now dispatch.Time, event *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

// Options configure an Engine.
type Options struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // the names used to decode Settings; New transfers their ownership to the engine
	Seed     uint64              // seed of the decision module's random numbers
	MaxOpen  int                 // maximum number of open requests; 0: no limit
	Log      logrus.FieldLogger
	Decider  Decider // a baseline or a test's module; nil: the decision module of Settings and Seed
}

// Engine runs one decision module. Its methods are safe for concurrent use, and so are those of its requests and attempts.
type Engine struct {
	// Counters are atomic, and may be read and changed without the lock.
	Counters Counters

	// leaseInUse is true if any worker needs the lease. It is written with mu held and read without it.
	leaseInUse atomic.Bool

	log logrus.FieldLogger // not changed after New

	// mu guards all fields below and the mutable fields of each Request and Attempt. It is held while the decision module handles an event
	// and while the resulting actions are executed, so that the module receives events one at a time and in the order of their times.
	// onEndpointRetired and onOutlier are also called with mu held, and must not call the engine.
	mu sync.Mutex

	decider Decider
	actions []dispatch.Action // the decider's last actions; reused to avoid allocations

	// The clock and the timer: see clock.go.
	origin   time.Time     // time of the engine's start
	epoch    dispatch.Time // reading of the decision module's clock at origin
	timer    *time.Timer
	timerDue dispatch.Time // due time of the timer; 0: not set

	// Requests: see request.go.
	names        *settings.NameTable
	maxOpen      int
	maxAttempts  int
	requests     []*Request // by id; nil for a free id
	openRequests int        // number of requests without an answer
	recentIDs    recentIDs
	sharedIDs    IDSet     // nil: no other process serves this dispatcher's clients
	admitter     *admitter // nil: no limits are set

	// Workers: see worker.go for the states, endpoints.go for the list.
	workers           []workerState // by id
	listVersion       uint64        // discovery's version of the list
	revision          uint64        // number of updates of the list, and its version for the decision module
	changes           endpointChanges
	syncedBefore      bool      // synced was true before the update that is being applied
	synced            bool      // a list has been received from discovery since the process started
	watchingSince     time.Time // time at which the discovery watch came up; zero: it is down
	onEndpointRetired func(RetiredEndpoint)
	onOutlier         func(worker string) // nil: not set

	slowStartWindow dispatch.Time // from the settings

	// Stalls of the process: see heartbeat.go.
	lastHeartbeat time.Time // zero: there was no heartbeat yet, and stalls are not detected
	pauseEnd      time.Time // end of the pause after a stall, during which nothing is sent

	// The group's decisions: see restrictions.go and lease.go.
	restrictions          Restrictions
	maintenanceWorkers    []dispatch.WorkerID // workers that the restrictions exclude
	leasedWorkers         []dispatch.WorkerID // workers that need the lease
	maxAttemptDuration    time.Duration       // limit on the duration of new attempts; 0: none
	leaseExpiry           time.Time
	plansUnknown          bool // the group's plans are unknown; all workers need the lease
	leaseExclusionsActive bool // a worker is excluded because the lease has expired
}

// New returns an Engine without workers. If the decision module rejects the settings, the error wraps a
// *dispatch.SettingsError. Close stops the engine.
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

// Reconfiguration contains the changes of a configuration reload.
type Reconfiguration struct {
	Settings dispatch.Settings
	Names    *settings.NameTable // only the names used to decode Settings; the engine keeps its own names of workers and requests
	MaxOpen  int
	Routes   *routes.Table // nil: there is no operators' file, and the limits are unchanged
	Limits   admission.Config
}

// Reconfigure applies settings, which the caller has validated, to requests that arrive from now on. Open requests keep their class. The
// engine has no connection settings: the caller passes those to the owners of the connections.
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

// Close stops the timer. No request may be opened after Close.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
}

// OpenRequests returns the number of requests that have not been answered yet.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openRequests
}
