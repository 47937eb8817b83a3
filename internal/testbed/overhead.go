package testbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// OverheadOptions is what is measured.
type OverheadOptions struct {
	Launch  Launch
	Clients []int
	Length  time.Duration
	Rounds  int
	Profile string // a file for a CPU profile of the dispatcher; empty: none
}

// The jobs of the measurement: so short that only the way counts.
const (
	overheadWork = 100 * time.Microsecond
	overheadBody = 200
)

// overheadDay is one wide worker behind one dispatcher.
const overheadDay = `
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

// Overhead asks a stand-in worker straight and through a dispatcher, in turns, and prints what the dispatcher adds.
func Overhead(ctx context.Context, w io.Writer, o OverheadOptions) error {
	book := loadgen.NewBook(overheadWork, overheadBody)
	direct, err := straight(book)
	if err != nil {
		return err
	}
	defer direct.Kill()
	s, err := scenario.Decode("overhead", []byte(overheadDay))
	if err != nil {
		return err
	}
	r := &run{day: s.Draw(1, false), ledger: invariant.NewLedger(), launch: o.Launch, spawner: newSpawner()}
	if o.Profile != "" {
		r.launch = func(config string) *exec.Cmd {
			cmd := o.Launch(config)
			cmd.Args = append(cmd.Args, "--cpu-profile", o.Profile)
			return cmd
		}
	}
	defer close(r.spawner.quit)
	dir, err := os.MkdirTemp("", "birchfork-lab-")
	if err != nil {
		return fmt.Errorf("a folder for the configuration: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left lies in the temporary directory
	addresses, err := FreeAddresses(1)
	if err != nil {
		return err
	}
	r.load = loadgen.New(r.day, r.ledger, addresses)
	if r.fleet, err = fakes.New(r.day, r.ledger, book, nil); err != nil {
		return err
	}
	defer r.fleet.Close()
	d := &dispatcher{run: r, listen: addresses[0], path: filepath.Join(dir, "d0.json")}
	r.dispatchers = append(r.dispatchers, d)
	defer r.end()
	if err := d.start(ctx); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "clients\tstraight p50 us\tthrough p50 us\tadded us\tthrough p99 us\tstraight per s\tthrough per s\tCPU us a request\tpeak MB\tfailed")
	for _, n := range o.Clients {
		var sp50, tp50, tp99, srate, trate, cpu []float64
		failed := int64(0)
		for round := range o.Rounds {
			a := loadgen.RunClosed(ctx, direct.Address(0), fmt.Sprintf("s%d-%d", n, round), n, overheadBody, o.Length)
			before := d.cpu()
			b := loadgen.RunClosed(ctx, d.listen, fmt.Sprintf("t%d-%d", n, round), n, overheadBody, o.Length)
			used := d.cpu() - before
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if a.Requests == 0 || b.Requests == 0 {
				return errors.New("nothing was answered")
			}
			sp50, tp50 = append(sp50, float64(a.Latency.ValueAtPercentile(50))), append(tp50, float64(b.Latency.ValueAtPercentile(50)))
			tp99 = append(tp99, float64(b.Latency.ValueAtPercentile(99)))
			srate, trate = append(srate, a.PerSecond()), append(trate, b.PerSecond())
			cpu = append(cpu, float64(used.Microseconds())/float64(b.Requests))
			failed += a.Failed + b.Failed
		}
		d.sample()
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\n", n, report.Median(sp50), report.Median(tp50),
			report.Median(tp50)-report.Median(sp50), report.Median(tp99), report.Median(srate), report.Median(trate), report.Median(cpu),
			float64(d.used().rss)/(1<<20), failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	d.terminate(r.stopWithin())
	return nil
}
