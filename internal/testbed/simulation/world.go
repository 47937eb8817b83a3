package simulation

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/maintenance"
)

// world is the state of one history.
type world struct {
	options       Options
	random        *rand.Rand
	tick          int
	now           time.Duration // start of the current tick
	members       []*member
	inFlight      []envelope
	partitions    map[[2]int]int // by sender and receiver: tick until which all messages are lost
	pendingFaults []Fault
	leader        int           // index of the member that became leader last; negative: none yet
	leaderLostAt  time.Duration // time of a fault of the leader, reset when another member leads; 0: none

	lastRaftID      uint64
	indexesByRaftID map[uint64]int // member index by raft ID, for all incarnations

	workerNames [][]workerName // by machine: names of its worker, the newest last
	outages     []outage
	attempts    []attempt // running attempts

	maintenanceSince map[string]time.Duration // by machine: when operators learned that it is drained and began maintenance
	returned         map[string]bool          // machines whose maintenance is finished

	committed    map[uint64]string // by index: the entry that was first applied
	applications map[uint64]int    // by index: number of members that have applied the entry
	proposedAt   map[string]time.Duration
	drainChecked map[string]bool // machines whose drain has been checked against the budget

	result *Result
	digest hash.Hash64 // of all committed entries
}

// newWorld returns a world before its first tick, with a group that the first member has bootstrapped.
func newWorld(options Options) (*world, error) {
	w := &world{
		options:          options.withDefaults(),
		random:           rand.New(rand.NewPCG(options.Seed, worldStream)),
		partitions:       map[[2]int]int{},
		pendingFaults:    options.Faults,
		leader:           -1,
		indexesByRaftID:  map[uint64]int{},
		maintenanceSince: map[string]time.Duration{},
		returned:         map[string]bool{},
		committed:        map[uint64]string{},
		applications:     map[uint64]int{},
		proposedAt:       map[string]time.Duration{},
		drainChecked:     map[string]bool{},
		result:           &Result{Costs: make([]Cost, options.Members)},
		digest:           xxhash.New(),
	}
	if options.Faults == nil {
		w.pendingFaults = RandomFaults(options)
	}
	for i := range w.options.Machines {
		w.workerNames = append(w.workerNames, []workerName{{since: 0, name: initialWorkerName(i)}})
	}
	for i := range options.Members {
		speed := 1 + (w.random.Float64()*2-1)/(2*driftDivisor+2)
		m := &member{world: w, index: i, clockSpeed: speed}
		w.members = append(w.members, m)
		if err := m.startEmpty(i == 0); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Simulate simulates one history up to its first violation.
func Simulate(options Options) (*Result, error) {
	w, err := newWorld(options)
	if err != nil {
		return nil, err
	}
	for w.tick < options.Ticks && len(w.result.Violations) == 0 {
		if options.StopWithPlan && w.result.Ended > 0 {
			break
		}
		w.advance()
	}
	w.result.Ticks = w.tick
	w.result.MachinesDone = w.countMachinesDone()
	w.result.Digest = w.digest.Sum64()
	return w.result, nil
}

// advance simulates the current tick and moves on to the next.
func (w *world) advance() {
	w.now = time.Duration(w.tick) * tickInterval
	w.injectFaults()
	w.deliverMessages()
	for _, m := range w.members {
		if m.isRunning() {
			m.advance()
		}
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(a attempt) bool { return a.end <= w.now })
	w.advanceOperators()
	w.tick++
}

// countMachinesDone counts the machines that are done according to any member's state.
func (w *world) countMachinesDone() int {
	count := 0
	for i := range w.options.Machines {
		if slices.ContainsFunc(w.members, func(m *member) bool { return m.isMachineDone(machineName(i)) }) {
			count++
		}
	}
	return count
}

func (m *member) isMachineDone(name string) bool {
	_, machine := m.state.FindMachine("", name)
	return machine != nil && machine.Phase == maintenance.MachineDone
}

// violation records a violation. The format has to begin with the rule and a colon.
func (w *world) violation(format string, arguments ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("%.2fs ", w.now.Seconds())+fmt.Sprintf(format, arguments...))
	w.trace("BROKEN "+format, arguments...)
}

// trace writes a line with the current time to the trace, if there is one.
func (w *world) trace(format string, arguments ...any) {
	if w.options.Trace == nil {
		return
	}
	arguments = append([]any{w.now.Seconds()}, arguments...)
	fmt.Fprintf(w.options.Trace, "%7.2fs "+format+"\n", arguments...)
}
