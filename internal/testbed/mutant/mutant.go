// Package mutant is a small dispatcher with one selectable fault, which proves that the invariant checker finds it. It
// shares no code with the real dispatcher, so that none of that one's guards hides a fault.
package mutant

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mutant is one selectable fault, with the violation that the invariant checker has to report.
type Mutant struct {
	Name, About     string
	Rule, Violation string // empty: a crash
}

// Mutants lists all faults; "none" is the same dispatcher without one.
var Mutants = []Mutant{
	{"none", "keeps all rules", "", ""},
	{"unsafe-twice", "sends a never-twice job again after a failure", "effects", "sent-again"},
	{"refuses-what-ran", "answers a failed never-twice job with a refusal", "effects", "refused-what-may-have-run"},
	{"many-attempts", "sends safe jobs again without end", "effects", "too-many-attempts"},
	{"late", "holds some answers until after the deadline", "answers", "late"},
	{"lost", "closes some connections with no answer", "answers", "lost"},
	{"silent", "never answers some requests", "answers", "lost"},
	{"made-up", "answers some requests that no worker was asked for", "answers", "made-up-answer"},
	{"twice", "answers some requests two times", "answers", "answered-twice"},
	{"after-final", "answers some requests, then sends them", "answers", "sent-after-final"},
	{"changed", "hands some bodies on cut short", "answers", "changed"},
	{"drain", "goes on sending to workers that drain", "drains", "sent-after-drain"},
	{"cold", "sends everything to the worker that started last", "cold", "pushed-over"},
	{"crash", "ends by itself under load", "", "crashed"},
	{"stays", "does not end on SIGTERM", "", "did not end after SIGTERM"},
}

// Find returns a fault by its name; the error of an unknown one lists the names.
func Find(name string) (Mutant, error) {
	var all []string
	for _, f := range Mutants {
		if f.Name == name {
			return f, nil
		}
		all = append(all, f.Name)
	}
	return Mutant{}, fmt.Errorf("no fault %q can be planted; there are %s", name, strings.Join(all, ", "))
}

// config is what the faulty dispatcher reads of the platform's configuration.
type config struct {
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Known     list   `json:"known"`
	Settings  struct {
		Classes []struct {
			Name   string `json:"name"`
			Effect string `json:"effect"`
		} `json:"classes"`
	} `json:"settings"`
}

type list struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

type entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Status  string `json:"status"`
	SinceMs int64  `json:"since_ms"`
}

type dispatcher struct {
	fault   string
	unsafe  map[string]bool
	client  *http.Client
	count   atomic.Int64
	mu      sync.Mutex
	workers map[string]entry
	order   []string
}

// Run serves with a fault until SIGTERM; path is that of the platform's configuration. The error is one of reading the
// configuration or of the listener.
func Run(path, fault string) error {
	if _, err := Find(fault); err != nil {
		return err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	var c config
	if err := json.Unmarshal(raw, &c); err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	d := &dispatcher{
		fault: fault, unsafe: map[string]bool{}, workers: map[string]entry{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	for _, k := range c.Settings.Classes {
		d.unsafe[k.Name] = k.Effect != "free"
	}
	d.take(c.Known)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go d.follow(c.Discovery)
	server := &http.Server{Addr: c.Listen, Handler: d}
	served := make(chan error, 1)
	go func() { served <- server.ListenAndServe() }()
	for {
		select {
		case err := <-served:
			return err
		case <-signals:
			if fault == "stays" {
				continue
			}
			time.Sleep(400 * time.Millisecond) // clients go on coming
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = server.Shutdown(ctx) // what is still open after the timeout ends with the process
			return nil
		}
	}
}

func (d *dispatcher) take(l list) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range l.Endpoints {
		if _, ok := d.workers[e.Name]; !ok {
			d.order = append(d.order, e.Name)
		}
		if d.fault == "drain" && e.Status == "draining" {
			continue
		}
		d.workers[e.Name] = e
	}
}

// follow watches discovery, at one address only.
func (d *dispatcher) follow(address string) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		var l list
		res, err := http.Get("http://" + address + "/discovery/hosts")
		if err != nil {
			continue
		}
		err = json.NewDecoder(res.Body).Decode(&l)
		res.Body.Close()
		if err != nil {
			continue
		}
		d.take(l)
		res, err = http.Get(fmt.Sprintf("http://%s/discovery/hosts?follow=1&since=%d", address, l.Index))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(res.Body); lines.Scan(); {
			var l list
			if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &l) == nil {
				d.take(l)
			}
		}
		res.Body.Close()
	}
}

// choose draws a worker that is up.
func (d *dispatcher) choose() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up []entry
	for _, n := range d.order {
		if d.workers[n].Status == "up" {
			up = append(up, d.workers[n])
		}
	}
	if len(up) == 0 {
		return "", false
	}
	if d.fault == "cold" {
		return slices.MaxFunc(up, func(a, b entry) int { return int(a.SinceMs - b.SinceMs) }).Address, true
	}
	warm := slices.DeleteFunc(slices.Clone(up), func(e entry) bool {
		return e.SinceMs > 0 && time.Since(time.UnixMilli(e.SinceMs)) < 30*time.Second
	})
	if len(warm) > 0 {
		up = warm
	}
	return up[rand.IntN(len(up))].Address, true
}

// some picks a part of the requests for the fault.
func (d *dispatcher) some(fault string) bool { return d.fault == fault && d.count.Load()%7 == 3 }

func (d *dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := d.count.Add(1)
	if d.fault == "crash" && n == 40 {
		os.Exit(3)
	}
	left, _ := time.ParseDuration(r.Header.Get("X-Deadline-Ms") + "ms")
	end := time.Now().Add(left - 30*time.Millisecond)
	lasting := context.WithoutCancel(r.Context()) // what is sent to workers outlasts a client that leaves
	switch {
	case d.some("made-up"):
		_, _ = w.Write([]byte("all is well")) // the client may have gone
		return
	case d.some("after-final"):
		go func() {
			time.Sleep(400 * time.Millisecond)
			_, _, _ = d.forward(lasting, r, body) // sending it is the fault; nobody waits for the result
		}()
		w.WriteHeader(http.StatusInternalServerError)
		return
	case d.some("silent"):
		time.Sleep(left + time.Second)
		panic(http.ErrAbortHandler)
	case d.some("changed"):
		body = body[:len(body)/2]
	}
	ctx, cancel := context.WithDeadline(lasting, end)
	defer cancel()
	status, result := d.serve(ctx, r, body)
	switch {
	case d.some("late"):
		time.Sleep(time.Until(end.Add(280 * time.Millisecond)))
	case d.some("lost"):
		panic(http.ErrAbortHandler)
	case d.some("twice"):
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		one := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(result), result)
		io.WriteString(conn, one+one)
		time.Sleep(100 * time.Millisecond)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(result) // the client may have gone
}

// serve asks workers, up to three times where the class allows it.
func (d *dispatcher) serve(ctx context.Context, r *http.Request, body []byte) (int, []byte) {
	most := 3
	if d.fault == "many-attempts" {
		most = 20
	}
	mayHaveRun := false
	for range most {
		result, ran, err := d.forward(ctx, r, body)
		if err == nil && (d.fault != "many-attempts" || d.unsafe[r.Header.Get("X-Class")]) {
			return http.StatusOK, result
		}
		mayHaveRun = mayHaveRun || ran
		if ctx.Err() != nil || ran && d.unsafe[r.Header.Get("X-Class")] && d.fault != "unsafe-twice" {
			break
		}
	}
	if mayHaveRun && d.unsafe[r.Header.Get("X-Class")] && d.fault != "refuses-what-ran" {
		return http.StatusInternalServerError, nil
	}
	return http.StatusServiceUnavailable, nil
}

var errFailed = errors.New("the worker failed")

// forward sends a request to one worker; ran tells whether it may have run.
func (d *dispatcher) forward(ctx context.Context, r *http.Request, body []byte) (result []byte, ran bool, err error) {
	address, ok := d.choose()
	if !ok {
		return nil, false, errFailed
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil // else net/http might send it again by itself
	req.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	req.Header.Set("X-Deadline-Ms", r.Header.Get("X-Deadline-Ms"))
	res, err := d.client.Do(req)
	if err != nil {
		return nil, !strings.Contains(err.Error(), "connection refused"), err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, res.Header.Get("X-Not-Run") != "1", errFailed
	}
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		var note struct{ State, Result string }
		if json.Unmarshal(lines.Bytes(), &note) != nil {
			break
		}
		switch note.State {
		case "done":
			return []byte(note.Result), true, nil
		case "returned":
			return nil, false, errFailed
		case "failed", "lost":
			return nil, true, errFailed
		}
	}
	return nil, true, errFailed
}
