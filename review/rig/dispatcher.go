package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Class is a class of the settings.
type Class struct {
	Name     string
	Effect   string // free, guarded or single_shot
	Group    string
	Deadline float64
	Aim      float64
	Stretch  float64
	Window   float64
	Worth    float64
}

// Valdora returns the classes of valdora-planner.
func Valdora() []Class {
	return []Class{
		{"journey-search", "free", "all", 10, 0.4, 1.75, 5, 5},
		{"ticket-issue", "single_shot", "all", 5, 0.4, 2, 5, 3},
	}
}

// Config is the file $EDGE_CONFIG of a dispatcher.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Operator  string         `json:"operator,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Settings returns the settings of valdora-planner with the given classes; change may alter them.
func Settings(classes []Class, change func(map[string]any)) map[string]any {
	type m = map[string]any
	var list []m
	var stretches []float64
	var kinds, priorities []int
	for i, c := range classes {
		list = append(list, m{
			"name": c.Name, "effect": c.Effect, "group": c.Group, "deadline": c.Deadline, "aim": c.Aim, "late_worth": 0.0, "stream": false,
			"window": c.Window, "worth": c.Worth,
		})
		stretches = append(stretches, c.Stretch)
		kinds = append(kinds, -1)
		priorities = append(priorities, len(classes)-1-i)
	}
	settings := m{
		"classes": list,
		"clients": m{"marks_retry": true},
		"customers": []m{
			{"name": "linee-urbane", "quota_rps": 14.0, "share": 0.37}, {"name": "bus-provincia", "quota_rps": 14.0, "share": 0.37},
			{"name": "ferrovia-valle", "quota_rps": 5.0, "share": 0.14}, {"name": "navetta-lago", "quota_rps": 5.0, "share": 0.12},
		},
		"extra": m{
			"class_kind": kinds, "class_priority": priorities, "class_stretch": stretches, "memory_unit": "a worker has one unit for each slot",
			"notes": "1 it has started, 2 share done", "progress": 1.0, "queue_order": "fifo", "report_x0": "free slots",
			"report_x1": "free memory", "tells_start": true,
		},
		"family": "jobs", "goal": m{"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
		"group_size": 2, "machine_types": []string{"calc-a3", "calc-b5", "calc-c2"}, "ordinal": 0, "over_share_worth": 0.05,
		"policy_limits": m{
			"attempts_cap": 6, "cancel": true, "connect_timeout": 0.25, "cpu_us_per_request": 10.0, "cpu_us_per_s": 12000, "idle_close": 30.0,
			"max_retry_after": 2.0, "open_cap": 30000, "peers": false, "probes": true, "retry_after": true, "second_copies": true,
			"streams_per_conn": 1,
		},
		"prices": m{
			"connection": 0.0, "cross_zone": 0.022, "handshake": 0.0, "late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0,
			"probe": 0.004, "registry_mode": 0.0, "waste": 0.04,
		},
		"registry_mode": "automatic", "report": m{"how": "off", "names": []string{}},
		"safety": m{
			"answer_slack": 0.008, "ask_within": 10.0, "cold_from": 0.12, "fall": 1.5, "fall_multiple": 2.5, "stop_sending_within": 0.5,
			"warm_within": 24.0,
		},
		"tick": 0.002, "tier": 0, "tiers": []string{"route-workers"}, "weight_kind": "rough", "worth_by": "request",
		"zone": "sala-nord", "zones": []string{"sala-nord", "sala-centro", "sala-sud"},
	}
	if change != nil {
		change(settings)
	}
	return settings
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Dispatcher is a process that the command run of the deploy file has started.
type Dispatcher struct {
	Config Config
	folder string
	cmd    *exec.Cmd
	ended  chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*Dispatcher
)

// runCommand returns the value of the key run of the deploy file.
func runCommand(root string) string {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		CannotRun("%v", err)
	}
	for line := range strings.Lines(string(raw)) {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == "run" {
			parts := strings.Split(value, `"`)
			if len(parts) >= 3 {
				return parts[1]
			}
		}
	}
	CannotRun("deploy/balancer.toml has no key run")
	return ""
}

// Root returns the repository's root, which run.sh passes.
func Root() string {
	root := os.Getenv("REVIEW_ROOT")
	if _, err := os.Stat(filepath.Join(root, "bin", "birchfork")); err != nil {
		CannotRun("bin/birchfork is missing: run the build command of the deploy file first")
	}
	return root
}

// StartDispatcher starts a dispatcher whose files are in a folder, which has to exist.
func StartDispatcher(record *Record, folder string, config Config) *Dispatcher {
	d := &Dispatcher{Config: config, folder: folder, ended: make(chan struct{})}
	d.WriteConfig(config)
	root := Root()
	d.cmd = exec.Command("/bin/sh", "-c", runCommand(root))
	d.cmd.Dir = root
	tmp := filepath.Join(folder, "tmp-"+config.Name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		CannotRun("%v", err)
	}
	d.cmd.Env = append(os.Environ(), "EDGE_NAME="+config.Name, "EDGE_LISTEN="+config.Listen, "EDGE_DISCOVERY="+config.Discovery,
		"EDGE_CONFIG="+d.path(), "TMPDIR="+tmp)
	if config.Operator != "" {
		d.cmd.Env = append(d.cmd.Env, "EDGE_OPERATOR="+config.Operator)
	}
	log, err := os.OpenFile(filepath.Join(folder, config.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		CannotRun("%v", err)
	}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		CannotRun("starting a dispatcher: %v", err)
	}
	startedMu.Lock()
	started = append(started, d)
	startedMu.Unlock()
	record.Printf("dispatcher %s started: process %d at %s, discovery %s", config.Name, d.cmd.Process.Pid, config.Listen, config.Discovery)
	go func() {
		err := d.cmd.Wait()
		record.Printf("dispatcher %s, process %d, ended: %v", config.Name, d.cmd.Process.Pid, err)
		close(d.ended)
	}()
	return d
}

func (d *Dispatcher) path() string { return filepath.Join(d.folder, d.Config.Name+".json") }

// WriteConfig replaces the file of the configuration.
func (d *Dispatcher) WriteConfig(config Config) {
	d.Config = config
	raw, err := json.MarshalIndent(config, "", " ")
	if err == nil {
		err = os.WriteFile(d.path()+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(d.path()+".new", d.path())
	}
	if err != nil {
		CannotRun("%v", err)
	}
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(s syscall.Signal) { d.cmd.Process.Signal(s) }

// WaitUp waits until GET /up answers 200.
func (d *Dispatcher) WaitUp() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		response, err := client.Get("http://" + d.Config.Listen + "/up")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if d.Ended() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	CannotRun("dispatcher %s is not ready: see %s", d.Config.Name, filepath.Join(d.folder, d.Config.Name+".log"))
}

// Ended reports whether the process has ended.
func (d *Dispatcher) Ended() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// KillAll kills all processes that were started and waits for their end.
func KillAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, d := range started {
		if !d.Ended() {
			d.cmd.Process.Kill()
		}
	}
	for _, d := range started {
		select {
		case <-d.ended:
		case <-time.After(5 * time.Second):
			fmt.Fprintln(os.Stderr, "a process did not end:", d.cmd.Process.Pid)
		}
	}
}

// Pid returns the process's id.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }
