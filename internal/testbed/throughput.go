package testbed

import (
	"context"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
)

// Parameters of the measurement of the ceiling.
const (
	ceilingDuration    = 300 * time.Millisecond
	ceilingConnections = 32
	ceilingWork        = time.Microsecond
	ceilingBody        = 100 // bytes
)

// MeasureThroughput returns how many requests a second the testbed itself carries when its clients send directly to a stand-in worker.
func MeasureThroughput(ctx context.Context) (float64, error) {
	w, err := startDirectWorker(loadgen.NewBook(ceilingWork, ceilingBody))
	if err != nil {
		return 0, err
	}
	defer w.Kill()
	return loadgen.RunClosed(ctx, w.Address(0), "ceiling", ceilingConnections, ceilingBody, ceilingDuration).PerSecond(), nil
}

// startDirectWorker starts one worker, too large to be the limit, that clients reach without a dispatcher.
func startDirectWorker(book fakes.Book) (*fakes.Worker, error) {
	config := &fakes.Config{
		Ledger: invariant.NewLedger(), Book: book, Dispatchers: 1, ReportsProgress: true, Fails: func() float64 { return 1 }, SuppressOutput: true,
	}
	spec := fakes.Spec{
		Cores: 1024, Speed: 1, Memory: 1 << 20, Queue: 1 << 20, SlowStartWindow: 1, OverloadMultiple: 100, OverloadWindow: time.Second,
	}
	w := fakes.NewWorker(config, "w1", 0, spec)
	return w, w.Start(true)
}
