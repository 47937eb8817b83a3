package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Launch returns the command that runs one dispatcher with a configuration file.
type Launch func(config string) *exec.Cmd

// Times of dispatcher processes.
const (
	readyTimeout  = 10 * time.Second
	readyInterval = 15 * time.Millisecond
	killTimeout   = 2 * time.Second // for a process to end after SIGKILL
)

// dispatcher is one dispatcher of the run: a sequence of processes under one name and address.
type dispatcher struct {
	index  int
	run    *run
	path   string // of its configuration
	listen string

	mu           sync.Mutex
	endpointList json.RawMessage // in its configuration; nil until the first one is written
	current      *process        // nil until the first one is started
	starts       int
	usage        usage
}

// process is one process of a dispatcher.
type process struct {
	cmd    *exec.Cmd
	log    logTail
	done   chan struct{}              // closed when it has ended
	exitAs invariant.ProcessEventKind // the event to record when it ends
}

// currentProcess returns the process that was started last, or nil.
func (d *dispatcher) currentProcess() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// record records an event of the dispatcher's process at the current time.
func (d *dispatcher) record(kind invariant.ProcessEventKind, detail string) {
	d.run.ledger.ProcessEvent(invariant.ProcessEvent{Dispatcher: d.index, At: d.run.ledger.Now(), Kind: kind, Detail: detail})
}

// writeConfig writes the configuration that the platform would deliver now and replaces the previous one atomically.
func (d *dispatcher) writeConfig() error {
	r, agent := d.run, d.run.fleet.Discovery.Agents[d.index]
	d.mu.Lock()
	defer d.mu.Unlock()
	values := configValues{
		scenario: r.schedule.Scenario, dispatcher: d.index, seed: r.schedule.Seed*1_000_003 + uint64(d.index)*1009 + uint64(d.starts),
		listen: d.listen, discovery: agent.Address(),
	}
	if r.options.DiscoveryAddress != nil {
		values.discovery = r.options.DiscoveryAddress(d.index, values.discovery)
	}
	if r.options.ConfiguredScenario != nil {
		values.scenario = r.options.ConfiguredScenario(d.index, values.scenario)
	}
	if d.endpointList == nil || !r.options.KeepFirstList {
		d.endpointList = agent.Known()
	}
	values.endpointList = d.endpointList
	raw, err := values.encode()
	if err != nil {
		return fmt.Errorf("encoding the configuration of dispatcher %d: %w", d.index, err)
	}
	next := d.path + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return fmt.Errorf("writing the configuration of dispatcher %d: %w", d.index, err)
	}
	return os.Rename(next, d.path)
}

// start starts a process, waits until it is ready and lets clients use it again.
func (d *dispatcher) start(ctx context.Context) error {
	p, err := d.startProcess()
	if err != nil {
		return err
	}
	if err := d.awaitReady(ctx, p); err != nil {
		return err
	}
	d.record(invariant.Ready, "")
	d.run.load.Dispatcher(d.index).Down(false)
	return nil
}

// noRaceExitDelay disables the sleep of one second at the exit of a build with the race detector, which would take a third of
// the time that a dispatcher has to end.
const noRaceExitDelay = "GORACE=atexit_sleep_ms=0"

// startProcess starts a process and makes it the dispatcher's current one.
func (d *dispatcher) startProcess() (*process, error) {
	if err := d.writeConfig(); err != nil {
		return nil, err
	}
	p := &process{cmd: d.run.options.Launch(d.path), done: make(chan struct{}), exitAs: invariant.Crashed}
	if dir := d.run.options.Logs; dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("d%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("opening the log of dispatcher %d: %w", d.index, err)
		}
		p.log.file = f
	}
	if p.cmd.Env == nil {
		p.cmd.Env = os.Environ()
	}
	p.cmd.Env = append(p.cmd.Env, noRaceExitDelay)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	d.record(invariant.Started, "")
	if err := d.run.spawner.start(p.cmd); err != nil {
		return nil, fmt.Errorf("starting dispatcher %d: %w", d.index, err)
	}
	d.mu.Lock()
	d.current = p
	d.starts++
	d.mu.Unlock()
	go d.awaitExit(p)
	return p, nil
}

// awaitReady polls the process until it reports that it is ready.
func (d *dispatcher) awaitReady(ctx context.Context, p *process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	timeout := max(readyTimeout, d.run.options.StartTimeout)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		res, err := client.Get("http://" + d.listen + "/up")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
			return fmt.Errorf("dispatcher %d ended before it was up: %s", d.index, p.log.lastLine())
		}
	}
	return fmt.Errorf("dispatcher %d was not up within %v: %s", d.index, timeout, p.log.lastLine())
}

// awaitExit waits for the end of a process and records how it ended.
func (d *dispatcher) awaitExit(p *process) {
	err := p.cmd.Wait()
	now := d.run.ledger.Now()
	if p.log.file != nil {
		p.log.file.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := p.cmd.ProcessState; s != nil {
		d.usage.cpu += s.UserTime() + s.SystemTime()
	}
	kind, detail := p.exitAs, ""
	if kind == invariant.Exited && err != nil {
		kind = invariant.Crashed
	}
	if kind == invariant.Crashed {
		detail = fmt.Sprintf("%v: %s", p.cmd.ProcessState, p.log.lastLine())
	}
	if kind != invariant.Killed { // kill has recorded it before the signal
		d.run.ledger.ProcessEvent(invariant.ProcessEvent{Dispatcher: d.index, At: now, Kind: kind, Detail: detail})
	}
	close(p.done)
}

// signal records an event and sends a signal to the current process. Except after a reload, an end of the process is recorded
// as exitAs from then on. It returns the process, which may have ended already, or nil if none was started.
func (d *dispatcher) signal(sig syscall.Signal, event, exitAs invariant.ProcessEventKind) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.current
	if p == nil {
		return nil
	}
	select {
	case <-p.done:
		return p
	default:
	}
	d.record(event, "")
	if event != invariant.Reloaded {
		p.exitAs = exitAs
	}
	_ = p.cmd.Process.Signal(sig) // fails on a process that has just ended, which awaitExit records
	return p
}

// kill sends SIGKILL and waits for the end of the process.
func (d *dispatcher) kill() {
	p := d.signal(syscall.SIGKILL, invariant.Killed, invariant.Killed)
	if p == nil {
		return
	}
	select {
	case <-p.done:
	case <-time.After(killTimeout):
	}
}

// terminate sends SIGTERM and waits for the end of the process. A process that has not ended within the timeout is
// killed, as it would be by the platform, and counts as crashed.
func (d *dispatcher) terminate(timeout time.Duration) {
	if p := d.signal(syscall.SIGTERM, invariant.Terminated, invariant.Exited); p != nil {
		d.awaitTermination(p, timeout)
	}
}

// awaitTermination waits for the end of a process that was sent SIGTERM, and kills it after the timeout. Stalls of the testbed
// itself, such as on a busy host, do not count: the time between two ticks counts as two tick intervals at most.
func (d *dispatcher) awaitTermination(p *process, timeout time.Duration) {
	tick := time.NewTicker(lagInterval)
	defer tick.Stop()
	for last, waited := time.Now(), time.Duration(0); waited < timeout; {
		select {
		case <-p.done:
			return
		case now := <-tick.C:
			waited += min(now.Sub(last), 2*lagInterval)
			last = now
		}
	}
	d.mu.Lock()
	p.exitAs = invariant.StopTimedOut
	d.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails on a process that has just ended
	<-p.done
}
