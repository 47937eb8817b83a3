package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Launch returns the command that runs one dispatcher by a configuration file.
type Launch func(config string) *exec.Cmd

// Times of dispatchers' processes.
const (
	readyWait  = 10 * time.Second
	readyEvery = 15 * time.Millisecond
	killNotice = time.Second            // until the clients' front sees that a killed one is gone
	termNotice = 300 * time.Millisecond // after SIGTERM new connections go on coming so long
	killWait   = 2 * time.Second        // for a process to be gone after SIGKILL
)

// spawner starts processes from one thread that lives as long as it does: the kernel ends them with that thread, also
// where this program is killed outright.
type spawner struct {
	requests chan spawn
	quit     chan struct{}
}

type spawn struct {
	cmd  *exec.Cmd
	done chan error
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawn), quit: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		for {
			select {
			case a := <-s.requests:
				a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				a.done <- a.cmd.Start()
			case <-s.quit:
				return
			}
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	a := spawn{cmd, make(chan error, 1)}
	s.requests <- a
	return <-a.done
}

// dispatcher is one dispatcher of the run: process after process under one name and address.
type dispatcher struct {
	index  int
	run    *run
	path   string // of its configuration
	listen string

	mu     sync.Mutex
	known  json.RawMessage // the list in its configuration
	proc   *process
	starts int
	usage  usage
}

// process is one life of a dispatcher.
type process struct {
	cmd   *exec.Cmd
	log   tail
	done  chan struct{}  // closed when it has ended
	ended invariant.What // how an end that comes now counts
}

// usage is what dispatchers used.
type usage struct {
	cpu time.Duration
	rss int64 // peak, bytes
	fds int
}

// tail keeps the end of what a process wrote.
type tail struct {
	whole *os.File // nil: nobody wants it

	mu  sync.Mutex
	buf []byte
}

const maxTailBytes = 4 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.whole != nil {
		_, _ = t.whole.Write(p) // what cannot be written there is in the tail
	}
	t.buf = append(t.buf, p...)
	if len(t.buf) > maxTailBytes {
		t.buf = append(t.buf[:0], t.buf[len(t.buf)-maxTailBytes:]...)
	}
	return len(p), nil
}

// has tells whether the end of it has a text.
func (t *tail) has(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Contains(t.buf, []byte(text))
}

func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.buf)), "\n")
	return lines[len(lines)-1]
}

// configure writes the configuration as the platform would have it now, in place of the old one at once.
func (d *dispatcher) configure() error {
	agent := d.run.fleet.Discovery.Agents[d.index]
	d.mu.Lock()
	defer d.mu.Unlock()
	seed := d.run.day.Seed*1_000_003 + uint64(d.index)*1009 + uint64(d.starts)
	list := agent.Address()
	if d.run.listAt != nil {
		list = d.run.listAt(d.index, list)
	}
	terms := d.run.day.Scenario
	if d.run.onDelivery != nil {
		terms = d.run.onDelivery(d.index, terms)
	}
	if d.known == nil || !d.run.oldLists {
		d.known = agent.Known()
	}
	raw, err := configuration(terms, d.index, seed, d.listen, list, d.known)
	if err != nil {
		return fmt.Errorf("the configuration of dispatcher %d: %w", d.index, err)
	}
	next := d.path + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return fmt.Errorf("the configuration of dispatcher %d: %w", d.index, err)
	}
	return os.Rename(next, d.path)
}

// start starts a process and returns when it says that it is up.
func (d *dispatcher) start(ctx context.Context) error {
	p, err := d.begin()
	if err != nil {
		return err
	}
	if err := d.ready(ctx, p); err != nil {
		return err
	}
	d.run.ledger.Moment(invariant.Moment{Dispatcher: d.index, At: d.run.ledger.Now(), What: invariant.Ready})
	d.run.load.Dispatcher(d.index).Down(false)
	return nil
}

// endsAtOnce keeps a build with the race detector from standing still for a second at its end: that would be a third of the time in
// which a dispatcher has to end.
const endsAtOnce = "GORACE=atexit_sleep_ms=0"

// begin starts a process, which is the dispatcher's from then on.
func (d *dispatcher) begin() (*process, error) {
	if err := d.configure(); err != nil {
		return nil, err
	}
	p := &process{cmd: d.run.launch(d.path), done: make(chan struct{}), ended: invariant.Crashed}
	if d.run.logs != "" {
		f, err := os.OpenFile(filepath.Join(d.run.logs, fmt.Sprintf("d%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("the log of dispatcher %d: %w", d.index, err)
		}
		p.log.whole = f
	}
	if p.cmd.Env == nil {
		p.cmd.Env = os.Environ()
	}
	p.cmd.Env = append(p.cmd.Env, endsAtOnce)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	d.run.ledger.Moment(invariant.Moment{Dispatcher: d.index, At: d.run.ledger.Now(), What: invariant.Started})
	if err := d.run.spawner.start(p.cmd); err != nil {
		return nil, fmt.Errorf("starting dispatcher %d: %w", d.index, err)
	}
	d.mu.Lock()
	d.proc = p
	d.starts++
	d.mu.Unlock()
	go d.wait(p)
	return p, nil
}

// ready asks until the process says that it is up.
func (d *dispatcher) ready(ctx context.Context, p *process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	within := max(readyWait, d.run.upWithin)
	for by := time.Now().Add(within); time.Now().Before(by); {
		res, err := client.Get("http://" + d.listen + "/up")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyEvery):
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
			return fmt.Errorf("dispatcher %d ended before it was up: %s", d.index, p.log.last())
		}
	}
	return fmt.Errorf("dispatcher %d was not up within %v: %s", d.index, within, p.log.last())
}

// wait takes down how a process ended.
func (d *dispatcher) wait(p *process) {
	err := p.cmd.Wait()
	now := d.run.ledger.Now()
	if p.log.whole != nil {
		p.log.whole.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := p.cmd.ProcessState; s != nil {
		d.usage.cpu += s.UserTime() + s.SystemTime()
	}
	what, detail := p.ended, ""
	if what == invariant.Exited && err != nil {
		what = invariant.Crashed
	}
	if what == invariant.Crashed {
		detail = fmt.Sprintf("%v: %s", p.cmd.ProcessState, p.log.last())
	}
	if what != invariant.Killed { // that was taken down before the signal
		d.run.ledger.Moment(invariant.Moment{Dispatcher: d.index, At: now, What: what, Detail: detail})
	}
	close(p.done)
}

// signal sends a signal; an end that follows counts as told.
func (d *dispatcher) signal(sig syscall.Signal, moment invariant.What, ends invariant.What) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.proc
	if p == nil {
		return nil
	}
	select {
	case <-p.done:
		return p
	default:
	}
	d.run.ledger.Moment(invariant.Moment{Dispatcher: d.index, At: d.run.ledger.Now(), What: moment})
	if moment != invariant.Reloaded {
		p.ended = ends
	}
	_ = p.cmd.Process.Signal(sig) // fails on a process that has just ended, which its waiter records
	return p
}

// kill ends the process outright.
func (d *dispatcher) kill() {
	if p := d.signal(syscall.SIGKILL, invariant.Killed, invariant.Killed); p != nil {
		select {
		case <-p.done:
		case <-time.After(killWait):
		}
	}
}

// terminate ends the process in order. One that has not ended when the platform would kill it is killed, which counts.
func (d *dispatcher) terminate(within time.Duration) {
	if p := d.signal(syscall.SIGTERM, invariant.Terminated, invariant.Exited); p != nil {
		d.gone(p, within)
	}
}

// gone waits for the end of a process that was told to end. What stands still with us, as on a host that has other work, does not
// count: of a moment between two beats a beat counts.
func (d *dispatcher) gone(p *process, within time.Duration) {
	beat := time.NewTicker(lagEvery)
	defer beat.Stop()
	for last, waited := time.Now(), time.Duration(0); waited < within; {
		select {
		case <-p.done:
			return
		case now := <-beat.C:
			waited += min(now.Sub(last), 2*lagEvery)
			last = now
		}
	}
	d.mu.Lock()
	p.ended = invariant.Overstayed
	d.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails on a process that has just ended
	<-p.done
}

// sample reads what the process uses. Where the system tells nothing it stays 0.
func (d *dispatcher) sample() {
	d.mu.Lock()
	p := d.proc
	d.mu.Unlock()
	if p == nil {
		return
	}
	at := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(at, "status"))
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return
	}
	kb, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	fds, _ := os.ReadDir(filepath.Join(at, "fd"))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage.rss = max(d.usage.rss, kb<<10)
	d.usage.fds = max(d.usage.fds, len(fds))
}

// used is what all its processes used; cpu of one that runs still is not in it.
func (d *dispatcher) used() usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usage
}

// clockTick is the unit of CPU time under /proc, the same on all Linux machines that Go runs on.
const clockTick = 10 * time.Millisecond

// cpu is the CPU time of the process that runs; 0 where the system does not tell.
func (d *dispatcher) cpu() time.Duration {
	d.mu.Lock()
	p := d.proc
	d.mu.Unlock()
	if p == nil {
		return 0
	}
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(raw, []byte(") ")) // behind the name, which may hold spaces
	fields := bytes.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(string(fields[11]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[12]), 10, 64)
	return time.Duration(user+system) * clockTick
}
