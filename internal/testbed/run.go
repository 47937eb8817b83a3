// Package testbed runs a complete deployment on the loopback interface of one machine: real dispatchers, each a process of its
// own, between stand-in workers, a stand-in discovery and generated clients. It injects faults by a timetable, checks the
// four rules against what clients, workers and discovery observed, and reports the result.
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

// PolicyRules is the name of the decision module as a policy; the other policies are those of package baseline.
const PolicyRules = "rules"

// Times of a run.
const (
	stragglerWait  = 500 * time.Millisecond // after the last answer, to observe what is sent too late
	sampleInterval = 250 * time.Millisecond
	lagInterval    = 5 * time.Millisecond
	maxStopTime    = 3 * time.Second // the platform kills after the longest deadline of a class or this, whichever is shorter ...
	stopMargin     = 700 * time.Millisecond
)

// Options are the parameters of a run.
type Options struct {
	Scenario          *scenario.Scenario
	Seed              uint64
	RandomFaults      bool   // inject random faults beside those of the scenario
	Policy            string // for the report
	Mutant            string // for the report
	Launch            Launch
	MeasureThroughput bool // measure the testbed's own ceiling first

	Alongside       func(context.Context, *Environment)      // runs beside the day's faults, from the day's start; its context ends with the day; may be nil
	AdditionalCheck func(*Environment) []invariant.Violation // checks further rules beside the four; may be nil

	// StartTimeout is how long a dispatcher may take to become ready, where that is longer than usual: it may have to wait
	// for others.
	StartTimeout time.Duration

	// ConfiguredScenario returns the scenario whose terms a dispatcher gets in its configuration; nil: the scenario of the run.
	ConfiguredScenario func(dispatcher int, s *scenario.Scenario) *scenario.Scenario

	Logs          string // a directory for the logs of dispatchers, one file each; empty: none
	KeepFirstList bool   // configurations keep the first endpoint list over a restart, as those of a deployment do

	// WorkerAddress and DiscoveryAddress return the address through which a dispatcher reaches an address of a worker or of
	// discovery; nil: that address itself.
	WorkerAddress, DiscoveryAddress func(dispatcher int, address string) string

	Progress func(done, all int) // called now and then with the number of requests that have ended; may be nil
}

// run is the state of one run.
type run struct {
	options     Options
	day         *scenario.Day
	ledger      *invariant.Ledger
	fleet       *fakes.Fleet // nil until it was started
	load        *loadgen.Generator
	spawner     *spawner
	dir         string // of the configurations; empty until it was created
	dispatchers []*dispatcher
	faults      *faultInjector
	arrivalLag  report.Histogram // how late arrivals were started
	clockLag    report.Histogram // how late the ticks of a regular timer came
}

func newRun(day *scenario.Day, o Options) *run {
	return &run{
		options: o, day: day, ledger: invariant.NewLedger(), spawner: newSpawner(),
		arrivalLag: report.NewHistogram(), clockLag: report.NewHistogram(),
	}
}

// Run plays the day of a scenario and a seed. A run that ctx ends early is reported as far as it came. An error means that
// the day could not be started.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	r := newRun(o.Scenario.Generate(o.Seed, o.RandomFaults), o)
	defer r.close()
	var err error
	if r.dir, err = os.MkdirTemp("", tempDirPrefix); err != nil {
		return nil, fmt.Errorf("a folder for the configurations: %w", err)
	}
	ceiling := 0.0
	if o.MeasureThroughput {
		if ceiling, err = MeasureThroughput(ctx); err != nil {
			return nil, err
		}
	}
	addresses, err := FreeAddresses(o.Scenario.Dispatchers)
	if err != nil {
		return nil, err
	}
	r.load = loadgen.New(r.day, r.ledger, addresses)
	if r.fleet, err = fakes.New(r.day, r.ledger, r.load, o.WorkerAddress); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	for _, a := range addresses {
		r.addDispatcher(a)
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	verdict := invariant.Check(r.ledger, r.terms())
	if o.AdditionalCheck != nil {
		verdict.Violations = append(verdict.Violations, o.AdditionalCheck(&Environment{r})...)
	}
	result := r.report(verdict)
	result.Policy, result.Mutant = o.Policy, o.Mutant
	result.Interrupted = ctx.Err() != nil
	result.Testbed.MaxThroughput = ceiling
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

// FreeAddresses returns loopback addresses that nobody listens on, each with an IP of its own: no connection goes out from
// there, so that the port is still free when its dispatcher listens on it, and when it does so again after a restart.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	net3 := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", net3[0], int(net3[1])^(i/250), 1+i%250))
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
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

// play runs the day from its first arrival until all dispatchers have ended.
func (r *run) play(ctx context.Context) {
	during, endDay := context.WithCancel(ctx)
	defer endDay()
	monitoring, stopMonitor := context.WithCancel(context.WithoutCancel(ctx))
	monitored := make(chan struct{})
	go func() {
		defer close(monitored)
		r.monitor(monitoring)
	}()
	r.faults = &faultInjector{run: r}
	loadEnded := r.startLoad(during)
	r.faults.injectAll(during)
	if r.options.Alongside != nil {
		r.faults.running.Go(func() { r.options.Alongside(during, &Environment{r}) })
	}
	<-loadEnded
	if rest := r.load.Origin() + r.day.Scenario.For - r.ledger.Now(); rest > 0 {
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
	endDay()
	r.faults.running.Wait()
	time.Sleep(stragglerWait)
	r.sampleAll()
	r.stopAll()
	stopMonitor()
	<-monitored
}

// startLoad starts the clients and returns once the day has begun. The channel is closed when all their requests have ended.
func (r *run) startLoad(ctx context.Context) <-chan struct{} {
	began, ended := make(chan struct{}), make(chan struct{})
	r.load.Lag = func(d time.Duration) { r.arrivalLag.Add(max(d, 0)) }
	r.load.Began = func() { close(began) }
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
				r.options.Progress(int(r.load.Done.Load()), len(r.day.Requests))
			}
			last = time.Now() // the time that sampling takes is no lag of the clock
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
	for _, c := range r.day.Scenario.Classes {
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

// close releases what the run has started, however far it came. No process and no file is left.
func (r *run) close() {
	for _, d := range r.dispatchers {
		d.kill()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir) // what is left lies in the temporary directory
	}
	close(r.spawner.quit)
}
