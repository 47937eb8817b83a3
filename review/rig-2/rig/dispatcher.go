package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Dispatcher is one process of the project's program, started with the deploy file's command.
type Dispatcher struct {
	Config  map[string]any
	Address string
	root    string
	folder  string
	record  *Record
	cmd     *exec.Cmd
	ended   chan struct{}
	Err     error // of the end; set when ended is closed
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// runCommand returns the key run of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(found[1]), nil
}

// Start starts a dispatcher in a folder, with a folder of its own for temporary files, and waits until it is up.
func Start(record *Record, root, folder string, config map[string]any) (*Dispatcher, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Config: config, Address: config["listen"].(string), root: root, folder: folder, record: record, ended: make(chan struct{})}
	if err := d.WriteConfig(); err != nil {
		return nil, err
	}
	temp := filepath.Join(folder, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(d.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d.cmd = exec.Command("/bin/sh", "-c", command)
	d.cmd.Dir = root
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.Env = append(os.Environ(),
		"EDGE_NAME="+fmt.Sprint(config["name"]), "EDGE_LISTEN="+d.Address, "EDGE_DISCOVERY="+fmt.Sprint(config["discovery"]),
		"EDGE_CONFIG="+d.configPath(), "TMPDIR="+temp)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	record.Say("dispatcher %v started", config["name"])
	go func() {
		d.Err = d.cmd.Wait()
		close(d.ended)
	}()
	return d, d.awaitUp()
}

func (d *Dispatcher) configPath() string { return filepath.Join(d.folder, "config.json") }

// LogPath is the file with what the dispatcher has logged.
func (d *Dispatcher) LogPath() string { return filepath.Join(d.folder, "dispatcher.log") }

// WriteConfig replaces the file of the configuration.
func (d *Dispatcher) WriteConfig() error {
	raw, err := json.MarshalIndent(d.Config, "", " ")
	if err != nil {
		return err
	}
	path := d.configPath()
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (d *Dispatcher) awaitUp() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if d.HasEnded() {
			return fmt.Errorf("the dispatcher has ended: %w", d.Err)
		}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + d.Address + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.record.Say("dispatcher %v is up", d.Config["name"])
			return nil
		}
	}
	return errors.New("the dispatcher is not up after 20 s")
}

// HasEnded reports whether the process has ended.
func (d *Dispatcher) HasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Ended is closed when the process has ended.
func (d *Dispatcher) Ended() <-chan struct{} { return d.ended }

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(signal syscall.Signal) {
	d.record.Say("dispatcher %v gets %v", d.Config["name"], signal)
	d.cmd.Process.Signal(signal)
}

// Pid is the id of the process.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }

// Kill ends the process, if it has not ended.
func (d *Dispatcher) Kill() {
	if d == nil || d.cmd == nil || d.cmd.Process == nil {
		return
	}
	d.cmd.Process.Kill()
	<-d.ended
}
