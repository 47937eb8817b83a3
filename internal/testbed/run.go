// Package testbed plays a whole deployment on loopback: stand-in workers, discovery and clients round real dispatchers that
// run as processes of their own. It breaks things by a timetable, judges the four rules by what clients, workers and
// discovery saw, and reports.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// PolicyRules is the decision module; the others are the baselines'.
const PolicyRules = "rules"

const sighup = syscall.SIGHUP

// Times of a run.
const (
	stragglers          = 500 * time.Millisecond // after the last answer, to see what is sent too late
	sampleEvery         = 250 * time.Millisecond
	lagEvery            = 5 * time.Millisecond
	lateFrom            = 40 * time.Millisecond // the rig's own lag at p99 from which a run says so
	propagationDeadline = 6 * time.Second       // news counts as told so long after it is there to be taken
	maxStopTime         = 3 * time.Second       // the platform kills no sooner than the longest patience, or this ...
	stopSpare           = 700 * time.Millisecond
	seriesBucket        = 500 * time.Millisecond
	ceilingTime         = 300 * time.Millisecond
	ceilingConns        = 32
	maxViolations       = 200
)

// Options is what a run is made of.
type Options struct {
	Scenario     *scenario.Scenario
	Seed         uint64
	RandomFaults bool
	Policy       string // for the report
	Mutant       string // for the report
	Launch       Launch
	Ceiling      bool // measure the rig's own ceiling first

	Alongside func(context.Context, *Environment)      // plays beside the day's troubles, from its start; its context ends with the day
	CheckMore func(*Environment) []invariant.Violation // what the rules are beside the four; both may be nil

	// UpWithin is how long a dispatcher may take to serve, where that is longer than usual: it may have to wait for others.
	UpWithin time.Duration

	// Told is what a dispatcher is told of the day's terms, in place of the day's own; nil: those.
	OnDelivery func(dispatcher int, s *scenario.Scenario) *scenario.Scenario

	Logs     string // a folder for all that dispatchers log, a file each; empty: none
	OldLists bool   // configurations keep the list of the day's start over a restart, as those of a deployment do

	// WorkerAt and ListAt are by which address a dispatcher reaches one of a worker or of discovery; nil: by itself.
	WorkerAt, ListAt func(dispatcher int, address string) string

	Progress func(done, all int) // hears now and then how many requests have ended; may be nil
}

// run is one run.
type run struct {
	day         *scenario.Day
	ledger      *invariant.Ledger
	fleet       *fakes.Fleet
	load        *loadgen.Generator
	launch      Launch
	spawner     *spawner
	dispatchers []*dispatcher
	faults      *faultInjector
	lag         report.Histogram
	beats       report.Histogram
	alongside   func(context.Context, *Environment)
	listAt      func(dispatcher int, address string) string
	upWithin    time.Duration
	oldLists    bool
	logs        string
	onDelivery  func(dispatcher int, s *scenario.Scenario) *scenario.Scenario
}

// Run plays a day. A run that ctx ends early is reported as far as it came. An error means that nothing could be played.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	r := &run{
		day: o.Scenario.Draw(o.Seed, o.RandomFaults), ledger: invariant.NewLedger(), launch: o.Launch, spawner: newSpawner(),
		lag: report.NewHistogram(), beats: report.NewHistogram(), alongside: o.Alongside,
		listAt: o.ListAt, upWithin: o.UpWithin, onDelivery: o.OnDelivery, oldLists: o.OldLists, logs: o.Logs,
	}
	defer close(r.spawner.quit)
	dir, err := os.MkdirTemp("", "birchfork-lab-")
	if err != nil {
		return nil, fmt.Errorf("a folder for the configurations: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left lies in the temporary directory
	ceiling := 0.0
	if o.Ceiling {
		if ceiling, err = Ceiling(ctx); err != nil {
			return nil, err
		}
	}
	addresses, err := FreeAddresses(o.Scenario.Dispatchers)
	if err != nil {
		return nil, err
	}
	r.load = loadgen.New(r.day, r.ledger, addresses)
	if r.fleet, err = fakes.New(r.day, r.ledger, r.load, o.WorkerAt); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	defer r.fleet.Close()
	for i, a := range addresses {
		r.dispatchers = append(r.dispatchers, &dispatcher{
			index: i, run: r, listen: a, path: filepath.Join(dir, fmt.Sprintf("d%d.json", i)),
		})
	}
	defer r.end()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.play(ctx, o.Progress)
	v := invariant.Check(r.ledger, r.terms())
	if o.CheckMore != nil {
		v.Violations = append(v.Violations, o.CheckMore(&Environment{r})...)
	}
	rep := r.report(v)
	rep.Policy, rep.Mutant, rep.Interrupted, rep.Testbed.Ceiling = o.Policy, o.Mutant, ctx.Err() != nil, ceiling
	return rep, nil
}

// FreeAddresses are loopback addresses that nobody listens on, each of an IP of its own: no connection goes out from
// there, so that the port is still free when its dispatcher takes it, and when it takes it again after a restart.
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

// startAll starts all dispatchers side by side.
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

// play lets the day pass, from its first arrival to the end of all dispatchers.
func (r *run) play(ctx context.Context, progress func(done, all int)) {
	during, over := context.WithCancel(ctx)
	defer over()
	watched, unwatch := context.WithCancel(context.WithoutCancel(ctx))
	watch := make(chan struct{})
	go func() { defer close(watch); r.watch(watched, progress) }()
	r.load.Lag = func(d time.Duration) { r.lag.Add(max(d, 0)) }
	r.faults = &faultInjector{run: r}
	done := make(chan struct{})
	began := make(chan struct{})
	r.load.Began = func() { close(began) }
	go func() { defer close(done); r.load.Run(during) }()
	<-began
	r.faults.injectAll(during)
	if r.alongside != nil {
		r.faults.waits.Go(func() { r.alongside(during, &Environment{r}) })
	}
	<-done
	if rest := r.load.Origin() + r.day.Scenario.For - r.ledger.Now(); rest > 0 {
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
	over()
	r.faults.waits.Wait()
	time.Sleep(stragglers)
	for _, d := range r.dispatchers {
		d.sample()
	}
	r.stopAll()
	unwatch()
	<-watch
}

// watch measures the rig's own lag, and what the dispatchers use.
func (r *run) watch(ctx context.Context, progress func(done, all int)) {
	beat, sample := time.NewTicker(lagEvery), time.NewTicker(sampleEvery)
	defer beat.Stop()
	defer sample.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			now := time.Now()
			r.beats.Add(max(now.Sub(last)-lagEvery, 0))
			last = now
		case <-sample.C:
			for _, d := range r.dispatchers {
				d.sample()
			}
			if progress != nil {
				progress(int(r.load.Done.Load()), len(r.day.Requests))
			}
			last = time.Now() // sampling is no lag of the clock's
		}
	}
}

// stopWithin is when the platform kills after SIGTERM.
func (r *run) stopWithin() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.day.Scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxStopTime) + stopSpare
}

// stopAll ends all dispatchers in order.
func (r *run) stopAll() {
	done := make(chan struct{})
	for _, d := range r.dispatchers {
		go func() { d.terminate(r.stopWithin()); done <- struct{}{} }()
	}
	for range r.dispatchers {
		<-done
	}
}

// end ends whatever still runs, however the run ended.
func (r *run) end() {
	for _, d := range r.dispatchers {
		d.kill()
	}
}

// terms are the rules as the judge has to know them. What the rig itself was late is given to every time limit.
func (r *run) terms() invariant.Terms {
	s := r.day.Scenario
	t := invariant.Terms{
		Attempts: s.Terms.Attempts, DrainGrace: s.Terms.DrainGrace, PropagationDeadline: propagationDeadline,
		Slack: invariant.DefaultSlack + r.ownLag(),
	}
	for _, c := range s.Classes {
		t.Classes = append(t.Classes, invariant.Class{
			Name: c.Name, Safe: c.Effect == scenario.Safe, Keyed: c.Effect == scenario.Keyed, Group: c.Group, Window: c.Window,
		})
	}
	for _, w := range r.day.Workers {
		t.Workers = append(t.Workers, invariant.Worker{Name: w.Name, Zone: w.Zone, Cell: w.Cell})
	}
	return t
}

// ownLag is the most that the rig was late.
func (r *run) ownLag() time.Duration {
	return time.Duration(max(r.lag.At(100), r.beats.At(100)) * float64(time.Millisecond))
}

// report counts the run up.
func (r *run) report(v *invariant.Verdict) *report.Report {
	s, origin := r.day.Scenario, r.load.Origin()
	out := &report.Report{
		Version: report.Version, Scenario: s.Name, About: s.About, Seed: r.day.Seed, Day: r.day.Digest(),
		Seconds: s.For.Seconds(), Rate: s.Rate, Load: s.Load(), Dispatchers: s.Dispatchers,
		Rules: v.Count(), Crashes: len(v.Crashes), Lost: v.Lost, Excused: v.Excused, Outcomes: map[string]int{},
		Testbed: report.TestbedLine{
			LagP99: max(r.lag.At(99), r.beats.At(99)), LagMax: max(r.lag.At(100), r.beats.At(100)),
			Slack: r.terms().Slack.Seconds() * 1000,
		},
	}
	out.RanLate = out.Testbed.LagP99 > lateFrom.Seconds()*1000
	out.Violations = v.Violations[:min(len(v.Violations), maxViolations)]
	for _, c := range v.Crashes {
		out.CrashNotes = append(out.CrashNotes, strings.TrimRight(fmt.Sprintf("dispatcher %d %s at %.3fs: %s", c.Dispatcher, c.What, c.At.Seconds(), c.Detail), ": "))
	}
	r.countRequests(out, origin)
	r.countWork(out)
	out.Started = r.countStarted()
	total := usage{}
	for _, d := range r.dispatchers {
		u := d.used()
		total.cpu += u.cpu
		total.rss, total.fds = max(total.rss, u.rss), max(total.fds, u.fds)
	}
	out.CPUPerRequest = float64(total.cpu.Microseconds()) / float64(max(out.Tries, 1))
	out.RSSPeakMB, out.FDPeak = float64(total.rss)/(1<<20), total.fds
	for _, e := range r.day.Events {
		out.Faults = append(out.Faults, report.FaultMark{Kind: e.Kind, At: e.At.Seconds(), Until: e.Until.Seconds(), Whom: r.whom(&e)})
	}
	out.HadFault()
	if u := &r.faults.misbehaving; u.Sent.Load() > 0 {
		out.Misbehaving = &report.MisbehavingLine{
			Sent: u.Sent.Load(), Answered: u.Answered.Load(), Ignored: u.Ignored.Load(), Served: u.Served.Load(), NoPlace: u.NoPlace.Load(),
		}
		if out.Misbehaving.Served > 0 { // a job was made of what is none
			out.Rules[invariant.Answers] += int(out.Misbehaving.Served)
		}
	}
	return out
}

// whom says whom a trouble hits.
func (r *run) whom(e *scenario.Event) string {
	switch e.Kind {
	case scenario.Jump:
		return fmt.Sprintf("%g times the traffic", e.Factor)
	case scenario.Flood:
		return fmt.Sprintf("%s, %g times", r.day.Scenario.Tenants[e.Tenant].Name, e.Factor)
	case scenario.ListLate, scenario.ListSilent, scenario.ListWrong, scenario.ListMove, scenario.DispKill, scenario.DispTerm,
		scenario.DispHup, scenario.IdleClients, scenario.MisbehavingClients:
		if len(e.Dispatchers) == len(r.dispatchers) {
			return "all dispatchers"
		}
		return "dispatcher " + strings.Trim(fmt.Sprint(e.Dispatchers), "[]")
	}
	if len(e.Workers) == len(r.day.Workers) {
		return "all workers"
	}
	var names []string
	for _, w := range e.Workers {
		names = append(names, r.day.Workers[w].Name)
	}
	return strings.Join(names, " ")
}

// summary collects a class, a tenant or a stretch of time.
type summary struct {
	requested, inTime int
	value, good       float64
	latency           report.Histogram
	outcomes          map[string]int
}

func newSummary() *summary {
	return &summary{latency: report.NewHistogram(), outcomes: map[string]int{}}
}

func (p *summary) goodput() float64 {
	if p.value == 0 {
		return 0
	}
	return p.good / p.value
}

// countRequests counts what became of the clients' wishes.
func (r *run) countRequests(out *report.Report, origin time.Duration) {
	s := r.day.Scenario
	whole := newSummary()
	classes, tenants := make([]*summary, len(s.Classes)), make([]*summary, len(s.Tenants))
	for i := range classes {
		classes[i] = newSummary()
	}
	for i := range tenants {
		tenants[i] = newSummary()
	}
	buckets := make([]*summary, int((s.For+seriesBucket-1)/seriesBucket))
	for i := range buckets {
		buckets[i] = newSummary()
	}
	retries := 0
	for i, res := range r.load.Results() {
		if !res.Requested {
			continue
		}
		w := &r.day.Requests[i]
		out.Requests++
		retries += res.Tries - 1
		took := res.Ended - origin - w.At
		worth := r.day.Value(w)
		good, inTime := 0.0, false
		switch res.Outcome {
		case invariant.Served:
			out.Served++
			good, inTime = worth*s.Classes[w.Class].LateWeight, took <= r.day.Wanted(w)
			if inTime {
				good = worth
				out.ServedInTime++
			}
		case invariant.Refused:
			out.Refused++
		default:
			out.Failed++
		}
		parts := []*summary{whole, classes[w.Class], buckets[min(int(w.At/seriesBucket), len(buckets)-1)]}
		if w.Tenant >= 0 {
			parts = append(parts, tenants[w.Tenant])
		}
		for _, p := range parts {
			p.requested++
			p.value += worth
			p.good += good
			p.outcomes[res.Outcome.String()]++
			if inTime {
				p.inTime++
			}
			if res.Outcome == invariant.Served {
				p.latency.Add(took)
			}
		}
	}
	out.Goodput, out.Latency = whole.goodput(), whole.latency.Latency()
	out.RetriesPerRequest = float64(retries) / float64(max(out.Requests, 1))
	for i, c := range s.Classes {
		out.Classes = append(out.Classes, classes[i].line(c.Name))
	}
	for i, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenants[i].line(t.Name))
	}
	for i, p := range buckets {
		if p.requested > 0 || !out.Interrupted {
			out.Series = append(out.Series, report.Point{
				At: (time.Duration(i) * seriesBucket).Seconds(), Requested: p.requested, InTime: p.inTime, Value: p.value, Good: p.good,
				P50: p.latency.At(50), P99: p.latency.At(99), Outcomes: p.outcomes,
			})
		}
	}
}

func (p *summary) line(name string) report.PartLine {
	return report.PartLine{Name: name, Requests: p.requested, InTime: p.inTime, Goodput: p.goodput(), Latency: p.latency.Latency()}
}

// countWork counts what workers did, and how much of it served nobody.
func (r *run) countWork(out *report.Report) {
	served := map[string]uint64{}
	for _, t := range r.ledger.Tries() {
		out.Tries++
		out.Outcomes[t.Outcome.String()]++
		if t.Outcome == invariant.Served {
			served[t.ID] = t.Result
		}
	}
	ran, wasted := 0, 0
	for _, a := range r.ledger.Attempts() {
		out.Attempts++
		if a.Ran {
			ran++
			if want, ok := served[a.ID]; !ok || a.End != invariant.Done || a.Result != want {
				wasted++
			}
		}
	}
	out.WastedWork = float64(wasted) / float64(max(ran, 1))
	total, capacity := time.Duration(0), 0.0
	for i, w := range r.fleet.Workers {
		_, work, _ := w.Stats()
		total += work
		capacity += float64(r.day.Workers[i].Cores) * r.day.Workers[i].Speed
	}
	for i, w := range r.fleet.Workers {
		jobs, work, falls := w.Stats()
		d := &r.day.Workers[i]
		out.Workers = append(out.Workers, report.WorkerLine{
			Name: w.Name, Kind: d.Kind, Jobs: jobs, Share: work.Seconds() / max(total.Seconds(), 1e-9),
			Capacity: float64(d.Cores) * d.Speed / capacity, PushedOver: falls,
		})
	}
}

// Ceiling is how many requests a second the rig carries straight at a stand-in worker.
func Ceiling(ctx context.Context) (float64, error) {
	book := loadgen.NewBook(time.Microsecond, 100)
	w, err := straight(book)
	if err != nil {
		return 0, err
	}
	defer w.Kill()
	return loadgen.RunClosed(ctx, w.Address(0), "ceiling", ceilingConns, 100, ceilingTime).PerSecond(), nil
}

// straight is one wide worker that nobody stands before.
func straight(book fakes.Book) (*fakes.Worker, error) {
	cfg := &fakes.Config{Ledger: invariant.NewLedger(), Book: book, Dispatchers: 1, Notes: true, Fails: func() float64 { return 1 }, SuppressOutput: true}
	w := fakes.NewWorker(cfg, "w1", 0, fakes.Spec{Cores: 1024, Speed: 1, Memory: 1 << 20, Queue: 1 << 20, SlowStartWindow: 1, OverloadMultiple: 100, OverloadWindow: time.Second})
	return w, w.Start(true)
}
