package testbed

import (
	"context"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/loadgen"
)

// Parameters of the throughput measurement.
const (
	throughputDuration    = 300 * time.Millisecond
	throughputConnections = 32
	throughputWork        = time.Microsecond
	throughputBody        = 100 // bytes
)

// MeasureThroughput returns the number of requests per second that the testbed itself handles when its clients send directly
// to a fake worker.
func MeasureThroughput(ctx context.Context) (float64, error) {
	w, err := startDirectWorker(loadgen.NewUniformRequests(throughputWork, throughputBody))
	if err != nil {
		return 0, err
	}
	defer w.Kill()
	return loadgen.RunClosedLoop(ctx, w.Address(0), "ceiling", throughputConnections, throughputBody, throughputDuration).PerSecond(), nil
}

// startDirectWorker starts one worker that clients reach without a dispatcher. Its capacity is too large to limit the
// throughput.
func startDirectWorker(requests fakes.RequestLookup) (*fakes.Worker, error) {
	config := &fakes.Config{
		Ledger: invariant.NewLedger(), Requests: requests, Dispatchers: 1, ReportsProgress: true, Fails: func() float64 { return 1 }, SuppressOutput: true,
	}
	spec := fakes.Spec{
		Cores: 1024, Speed: 1, Memory: 1 << 20, Queue: 1 << 20, SlowStartWindow: 1, OverloadMultiple: 100, OverloadWindow: time.Second,
	}
	w := fakes.NewWorker(config, "w1", 0, spec)
	return w, w.Start(true)
}
