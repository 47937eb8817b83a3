package scenario

import (
	"embed"
	"fmt"
	"io"
	"os"
	"path"
	"strings"
	"time"

	"birchfork/internal/tomlfile"
)

//go:embed shipped/*.toml
var shipped embed.FS

// Shipped returns the names of the built-in scenarios.
func Shipped() []string {
	files, err := shipped.ReadDir("shipped")
	if err != nil {
		panic(err) // the directory is embedded in the program
	}
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".toml"))
	}
	return names
}

// Text returns the file of a built-in scenario.
func Text(name string) ([]byte, error) {
	raw, err := shipped.ReadFile(path.Join("shipped", name+".toml"))
	if err != nil {
		return nil, fmt.Errorf("unknown built-in scenario %q: must be one of %s", name, strings.Join(Shipped(), ", "))
	}
	return raw, nil
}

// Load reads a scenario from a file, or a built-in one if the name contains no dot, slash or backslash.
func Load(nameOrPath string) (*Scenario, error) {
	if !strings.ContainsAny(nameOrPath, "./\\") {
		raw, err := Text(nameOrPath)
		if err != nil {
			return nil, err
		}
		return Decode(nameOrPath, raw)
	}
	f, err := os.Open(nameOrPath)
	if err != nil {
		return nil, fmt.Errorf("reading the scenario: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, tomlfile.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("reading the scenario: %w", err)
	}
	return Decode(nameOrPath, raw)
}

// defaultQueue is the default for WorkerPool.Queue.
const defaultQueue = 1000

// defaults returns the values of keys that a scenario file leaves out: those of a small deployment.
func defaults() Scenario {
	return Scenario{
		For: 20 * time.Second, Rate: 60, Dispatchers: 2, Zones: []string{"one"},
		Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
		Terms: Terms{
			Attempts: 6, DrainGrace: 500 * time.Millisecond, SlowStartMinFactor: 0.12, SlowStartWindow: 12 * time.Second,
			OverloadMultiple: 2.5, OverloadWindow: 1500 * time.Millisecond, Hedging: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond, IdleClose: 30 * time.Second,
			ReportsProgress: true, Progress: time.Second, OverQuotaWeight: 0.05,
		},
		List:    Discovery{Lag: 500 * time.Millisecond, Jitter: 500 * time.Millisecond, Keep: 64},
		Clients: Clients{Retries: 3, RetryWait: 100 * time.Millisecond, HonorRetryAfterShare: 0.5, MarkRetries: true},
	}
}

// Decode parses and validates a scenario. Its error lists every mistake with file, line and key.
func Decode(file string, raw []byte) (*Scenario, error) {
	s := defaults()
	d := tomlfile.Read(file, raw, &s)
	if len(d.Errors()) > 0 {
		return nil, d.Err() // skip check, which would report the values that could not be read as missing
	}
	s.fillDefaults()
	s.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// fillDefaults sets the defaults that depend on other values and those of classes, tenants and workers.
func (s *Scenario) fillDefaults() {
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Tenants {
		if t := &s.Tenants[i]; t.Quota == 0 {
			t.Quota = t.Share * s.Rate / s.tenantShares()
		}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Memory == 0 {
			w.Memory = float64(w.Cores)
		}
		if w.Queue == 0 {
			w.Queue = defaultQueue
		}
	}
}

func (c *Class) fillDefaults() {
	if c.Slots == 0 {
		c.Slots = 1
	}
	if c.PriorityWeight == 0 {
		c.PriorityWeight = 1
	}
	if c.Body == nil {
		c.Body = []int{100, 1000}
	}
	if c.Group == "" {
		c.Group = "all"
	}
	if c.Retry == "" {
		c.Retry = RetryAny
		if c.Effect == Unsafe {
			c.Retry = RetryRefused // after any other failure the request may have taken effect
		}
	}
}
