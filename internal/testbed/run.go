// Package testbed runs a complete deployment on the loopback interface of one machine: real dispatchers, each in its own
// process, between fake workers, a fake discovery service and generated clients. It injects the faults of a scenario, checks
// the four rules against what clients, workers and discovery observed, and reports the result.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// PolicyRules is the policy name of the decision module. The other policies are those of package baseline.
const PolicyRules = "rules"

// Times of a run.
const (
	stragglerWait  = 500 * time.Millisecond // after the end of the load and the faults, to observe what is sent too late
	sampleInterval = 250 * time.Millisecond
	lagInterval    = 5 * time.Millisecond
	maxStopTime    = 3 * time.Second        // after SIGTERM, the platform sends SIGKILL at the longest deadline of a class or at this, whichever is shorter
	stopMargin     = 700 * time.Millisecond // added to that time
)

// Options are the parameters of a run.
type Options struct {
	Scenario          *scenario.Scenario
	Seed              uint64
	RandomFaults      bool   // inject random faults beside those of the scenario
	Policy            string // name in the report
	Mutant            string // name in the report
	Launch            Launch
	MeasureThroughput bool // call MeasureThroughput first

	Alongside       func(context.Context, *Environment)      // runs alongside the faults, from the start of the load; its context ends with the load; may be nil
	AdditionalCheck func(*Environment) []invariant.Violation // checks rules beyond the four; may be nil

	// StartTimeout replaces readyTimeout if it is longer, for dispatchers that have to wait for others before they are ready.
	StartTimeout time.Duration

	// ConfiguredScenario returns the scenario from which the configuration of a dispatcher is made; nil: the scenario of the
	// run.
	ConfiguredScenario func(dispatcher int, s *scenario.Scenario) *scenario.Scenario

	Logs          string // directory for the logs of dispatchers, one file each; empty: none
	KeepFirstList bool   // configurations keep the first endpoint list across restarts, as in a deployment

	// WorkerAddress and DiscoveryAddress map the address of a worker or of discovery to the one that a dispatcher uses for it;
	// nil: the same address.
	WorkerAddress, DiscoveryAddress func(dispatcher int, address string) string

	Progress func(done, all int) // called periodically with the number of requests that have ended; may be nil
}

// run is the state of one run.
type run struct {
	options     Options
	schedule    *scenario.Schedule
	ledger      *invariant.Ledger
	fleet       *fakes.Fleet // nil until started
	load        *loadgen.Generator
	spawner     *spawner
	dir         string // of the configurations; empty until created
	dispatchers []*dispatcher
	faults      *faultInjector
	arrivalLag  report.Histogram // delay of requests after their scheduled arrival
	clockLag    report.Histogram // delay of the ticks of a periodic timer
}

func newRun(schedule *scenario.Schedule, o Options) *run {
	return &run{
		options: o, schedule: schedule, ledger: invariant.NewLedger(), spawner: newSpawner(),
		arrivalLag: report.NewHistogram(), clockLag: report.NewHistogram(),
	}
}

// Run executes a scenario with a seed. If ctx ends early, the report covers the run up to that point. An error means that
// the run could not be started.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	r := newRun(o.Scenario.Generate(o.Seed, o.RandomFaults), o)
	defer r.close()
	var err error
	if r.dir, err = os.MkdirTemp("", tempDirPrefix); err != nil {
		return nil, fmt.Errorf("creating the directory for the configurations: %w", err)
	}
	throughput := 0.0
	if o.MeasureThroughput {
		if throughput, err = MeasureThroughput(ctx); err != nil {
			return nil, err
		}
	}
	addresses, err := FreeAddresses(o.Scenario.Dispatchers)
	if err != nil {
		return nil, err
	}
	r.load = loadgen.New(r.schedule, r.ledger, addresses)
	if r.fleet, err = fakes.New(r.schedule, r.ledger, r.load, o.WorkerAddress); err != nil {
		return nil, fmt.Errorf("starting the fleet: %w", err)
	}
	for _, a := range addresses {
		r.addDispatcher(a)
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.execute(ctx)
	verdict := invariant.Check(r.ledger, r.terms())
	if o.AdditionalCheck != nil {
		verdict.Violations = append(verdict.Violations, o.AdditionalCheck(&Environment{r})...)
	}
	result := r.report(verdict)
	result.Policy, result.Mutant = o.Policy, o.Mutant
	result.Interrupted = ctx.Err() != nil
	result.Testbed.MaxThroughput = throughput
	return result, nil
}

// tempDirPrefix is the prefix of the directories that hold the configurations of dispatchers.
const tempDirPrefix = "birchfork-lab-"

// addDispatcher adds the next dispatcher of the run; it is not started yet.
func (r *run) addDispatcher(address string) *dispatcher {
	i := len(r.dispatchers)
	d := &dispatcher{index: i, run: r, listen: address, path: filepath.Join(r.dir, fmt.Sprintf("d%d.json", i))}
	r.dispatchers = append(r.dispatchers, d)
	return d
}

// FreeAddresses returns loopback addresses that nobody listens on. Each has its own IP address, from which no outgoing
// connection is made, so that its port stays free until a dispatcher listens on it, also across restarts.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	subnet := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", subnet[0], int(subnet[1])^(i/250), 1+i%250))
		if err != nil {
			return nil, fmt.Errorf("finding a free port: %w", err)
		}
		out = append(out, l.Addr().String())
		l.Close()
	}
	return out, nil
}

// startAll starts all dispatchers concurrently and waits until they are ready.
func (r *run) startAll(ctx context.Context) error {
	errs := make(chan error, len(r.dispatchers))
	for _, d := range r.dispatchers {
		go func() { errs <- d.start(ctx) }()
	}
	all := make([]error, 0, len(r.dispatchers))
	for range r.dispatchers {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// execute runs the load and the faults, from the first arrival until all dispatchers have ended.
func (r *run) execute(ctx context.Context) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	monitoring, stopMonitor := context.WithCancel(context.WithoutCancel(ctx))
	monitored := make(chan struct{})
	go func() {
		defer close(monitored)
		r.monitor(monitoring)
	}()
	r.faults = &faultInjector{run: r}
	loadEnded := r.startLoad(loadCtx)
	r.faults.injectAll(loadCtx)
	if r.options.Alongside != nil {
		r.faults.running.Go(func() { r.options.Alongside(loadCtx, &Environment{r}) })
	}
	<-loadEnded
	if rest := r.load.Origin() + r.schedule.Scenario.For - r.ledger.Now(); rest > 0 {
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
	endLoad()
	r.faults.running.Wait()
	time.Sleep(stragglerWait)
	r.sampleAll()
	r.stopAll()
	stopMonitor()
	<-monitored
}

// startLoad starts the clients and returns once the load has begun. The channel is closed when all their requests have ended.
func (r *run) startLoad(ctx context.Context) <-chan struct{} {
	began, ended := make(chan struct{}), make(chan struct{})
	r.load.ReportLag = func(d time.Duration) { r.arrivalLag.Add(max(d, 0)) }
	r.load.OnStart = func() { close(began) }
	go func() {
		defer close(ended)
		r.load.Run(ctx)
	}()
	<-began
	return ended
}

// monitor measures the testbed's own lag and the resource usage of the dispatchers, and reports progress, until ctx ends.
func (r *run) monitor(ctx context.Context) {
	tick, sample := time.NewTicker(lagInterval), time.NewTicker(sampleInterval)
	defer tick.Stop()
	defer sample.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			r.clockLag.Add(max(now.Sub(last)-lagInterval, 0))
			last = now
		case <-sample.C:
			r.sampleAll()
			if r.options.Progress != nil {
				r.options.Progress(int(r.load.Done.Load()), len(r.schedule.Requests))
			}
			last = time.Now() // the time that sampling takes does not count as lag
		}
	}
}

// sampleAll reads the resource usage of all dispatchers.
func (r *run) sampleAll() {
	for _, d := range r.dispatchers {
		d.sample()
	}
}

// stopTimeout returns the time after SIGTERM at which the platform sends SIGKILL.
func (r *run) stopTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.schedule.Scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxStopTime) + stopMargin
}

// stopAll terminates all dispatchers concurrently and waits until they have ended.
func (r *run) stopAll() {
	done := make(chan struct{})
	for _, d := range r.dispatchers {
		go func() {
			d.terminate(r.stopTimeout())
			done <- struct{}{}
		}()
	}
	for range r.dispatchers {
		<-done
	}
}

// close ends all processes of the run and removes its files, whatever stage it has reached.
func (r *run) close() {
	for _, d := range r.dispatchers {
		d.kill()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir) // files that cannot be removed stay in the temporary directory
	}
	close(r.spawner.quit)
}
