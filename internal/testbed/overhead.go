package testbed

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"text/tabwriter"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// OverheadOptions are the parameters of Overhead.
type OverheadOptions struct {
	Launch  Launch
	Clients []int         // numbers of concurrent clients, one row of the table each
	Length  time.Duration // duration of each of the two measurements of a round
	Rounds  int
	Profile string // file for a CPU profile of the dispatcher; empty: none
}

// The work and the body of a measured request. Both are small so that the transport dominates the cost.
const (
	overheadWork = 100 * time.Microsecond
	overheadBody = 200 // bytes
)

// overheadScenario has eight large workers behind one dispatcher.
const overheadScenario = `
name = "overhead"
dispatchers = 1
rate = 1.0
for = "1s"
[limits]
memory_mb = 128
sockets = 1024
[[class]]
name = "search"
effect = "safe"
share = 1
work = "100us"
aim = "5s"
patience = "10s"
body = [200, 200]
[[workers]]
kind = "wide"
count = 8
cores = 512
speed = [1.0, 1.0]
`

// Overhead sends requests to a fake worker, alternately directly and through a dispatcher. It prints the latency and the
// throughput of both, the latency that the dispatcher adds, and its CPU time and memory.
func Overhead(ctx context.Context, w io.Writer, o OverheadOptions) error {
	requests := loadgen.NewUniformRequests(overheadWork, overheadBody)
	direct, err := startDirectWorker(requests)
	if err != nil {
		return err
	}
	defer direct.Kill()
	s, err := scenario.Decode("overhead", []byte(overheadScenario))
	if err != nil {
		return err
	}
	r := newRun(s.Generate(1, false), Options{Launch: o.profiledLaunch()})
	defer r.close()
	d, err := r.startSingleDispatcher(ctx, requests)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "clients\tstraight p50 us\tthrough p50 us\tadded us\tthrough p99 us\tstraight per s\tthrough per s\tCPU us a request\tpeak MB\tfailed")
	for _, clients := range o.Clients {
		m := &overheadMeasurement{dispatcher: d, directAddress: direct.Address(0), clients: clients, length: o.Length}
		for round := range o.Rounds {
			if err := m.measureRound(ctx, round); err != nil {
				return err
			}
		}
		d.sample()
		m.writeRow(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	d.terminate(r.stopTimeout())
	return nil
}

// profiledLaunch returns Launch, with a CPU profile if Profile is set.
func (o OverheadOptions) profiledLaunch() Launch {
	if o.Profile == "" {
		return o.Launch
	}
	return func(config string) *exec.Cmd {
		cmd := o.Launch(config)
		cmd.Args = append(cmd.Args, "--cpu-profile", o.Profile)
		return cmd
	}
}

// startSingleDispatcher starts the fleet and one dispatcher, and waits until the dispatcher is ready.
func (r *run) startSingleDispatcher(ctx context.Context, requests fakes.RequestLookup) (*dispatcher, error) {
	var err error
	if r.dir, err = os.MkdirTemp("", tempDirPrefix); err != nil {
		return nil, fmt.Errorf("creating the directory for the configuration: %w", err)
	}
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	r.load = loadgen.New(r.schedule, r.ledger, addresses)
	if r.fleet, err = fakes.New(r.schedule, r.ledger, requests, nil); err != nil {
		return nil, err
	}
	d := r.addDispatcher(addresses[0])
	return d, d.start(ctx)
}

// overheadMeasurement holds the measurements for one number of clients. Each slice has one value per round.
type overheadMeasurement struct {
	dispatcher    *dispatcher
	directAddress string // of the worker
	clients       int
	length        time.Duration

	directP50, throughP50, throughP99 []float64 // microseconds
	directRate, throughRate           []float64 // requests per second
	cpu                               []float64 // of the dispatcher, microseconds per request
	failed                            int64
}

// measureRound measures once directly and once through the dispatcher.
func (m *overheadMeasurement) measureRound(ctx context.Context, round int) error {
	direct := loadgen.RunClosedLoop(ctx, m.directAddress, fmt.Sprintf("s%d-%d", m.clients, round), m.clients, overheadBody, m.length)
	cpuBefore := m.dispatcher.cpu()
	through := loadgen.RunClosedLoop(ctx, m.dispatcher.listen, fmt.Sprintf("t%d-%d", m.clients, round), m.clients, overheadBody, m.length)
	cpu := m.dispatcher.cpu() - cpuBefore
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if direct.Requests == 0 || through.Requests == 0 {
		return fmt.Errorf("too few requests answered: %d directly, %d through the dispatcher; at least 1 each is required", direct.Requests, through.Requests)
	}
	m.directP50 = append(m.directP50, float64(direct.Latency.ValueAtPercentile(50)))
	m.throughP50 = append(m.throughP50, float64(through.Latency.ValueAtPercentile(50)))
	m.throughP99 = append(m.throughP99, float64(through.Latency.ValueAtPercentile(99)))
	m.directRate = append(m.directRate, direct.PerSecond())
	m.throughRate = append(m.throughRate, through.PerSecond())
	m.cpu = append(m.cpu, float64(cpu.Microseconds())/float64(through.Requests))
	m.failed += direct.Failed + through.Failed
	return nil
}

// writeRow writes the medians over the rounds as a row of the table.
func (m *overheadMeasurement) writeRow(w io.Writer) {
	directP50, throughP50 := report.Median(m.directP50), report.Median(m.throughP50)
	fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\n", m.clients, directP50, throughP50,
		throughP50-directP50, report.Median(m.throughP99), report.Median(m.directRate), report.Median(m.throughRate), report.Median(m.cpu),
		float64(m.dispatcher.used().rss)/(1<<20), m.failed)
}
