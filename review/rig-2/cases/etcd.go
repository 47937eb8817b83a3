package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["etcd"] = etcd }

// etcd: the runners' list is in etcd, which the project's agent follows. etcd is down for 30 s. When it is back a runner begins to drain.
// Nothing new may go to that runner later than 6 s after, and the grace.
func etcd(r *run) error {
	const (
		quiet      = 4 * time.Second
		down       = 30 * time.Second
		toldWithin = 6 * time.Second
		grace      = 500*time.Millisecond + 50*time.Millisecond
		after      = 25 * time.Second
		prefix     = "/birchfork/workers/"
	)
	store, err := rig.NewEtcd(r.Record)
	if err != nil {
		return err
	}
	r.atEnd(store.Down)
	var mu sync.Mutex
	arrived := map[string][]time.Duration{}
	var entries []rig.Entry
	value := func(entry rig.Entry, state string) string {
		return fmt.Sprintf(`{"v":1,"address":"%s","zone":"%s","kind":"%s","cell":0,"weight":1,"state":"%s"}`, entry.Address, entry.Zone, entry.Type, state)
	}
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4", "s-5"} {
		runner, err := rig.NewRunner(r.Record, name, 5, 50, func(rig.Job) time.Duration { return 60 * time.Millisecond })
		if err != nil {
			return err
		}
		r.atEnd(runner.Close)
		runner.OnArrive = func(rig.Job) {
			mu.Lock()
			defer mu.Unlock()
			arrived[name] = append(arrived[name], r.Since())
		}
		entry := runner.Entry("sala-sud", "calc-b5", "up")
		entries = append(entries, entry)
		store.Put(prefix+name, value(entry, "up"))
	}
	agent, err := r.agent(store.Address(), prefix)
	if err != nil {
		return err
	}
	listen, err := rig.FreeAddress()
	if err != nil {
		return err
	}
	dispatcher, err := r.dispatcher("n0", rig.Config("n0", listen, agent, 192, 1024, nil, rig.Valdora()))
	if err != nil {
		return err
	}
	var drainsAt time.Duration
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		time.Sleep(quiet)
		if r.trouble {
			store.Down()
			time.Sleep(down)
			if err := store.Up(); err != nil {
				r.Say("etcd: %v", err)
			}
		} else {
			time.Sleep(down)
		}
		store.Put(prefix+"s-3", value(entries[2], "draining"))
		mu.Lock()
		drainsAt = r.Since()
		mu.Unlock()
		time.Sleep(after)
	}()
	clients := sync.WaitGroup{}
	pool := &rig.Pool{Address: dispatcher.Address}
	answers := map[int]int{}
	tick := time.NewTicker(25 * time.Millisecond)
	for n, running := 0, true; running; n++ {
		select {
		case <-finished:
			running = false
		case <-tick.C:
		}
		class, deadline := "ticket-issue", 5*time.Second
		if n%2 == 1 {
			class, deadline = "journey-search", 10*time.Second
		}
		clients.Go(func() {
			id := rig.NewID()
			answer := pool.Do(rig.Message(id, class, "linee-urbane", deadline, "{}"), deadline+time.Second)
			r.Log("client: %s of %s: %v", id, class, answer)
			mu.Lock()
			answers[answer.Status]++
			mu.Unlock()
		})
	}
	clients.Wait()
	if dispatcher.HasEnded() {
		r.Broken("the dispatcher has ended: %v", dispatcher.Err)
	}
	mu.Lock()
	defer mu.Unlock()
	limit := drainsAt + toldWithin + grace
	r.Say("answers by status: %v", answers)
	r.Say("s-3 drains from %.3f s on, with etcd up; nothing new may come to it after %.3f s", drainsAt.Seconds(), limit.Seconds())
	late := 0
	var last time.Duration
	for _, at := range arrived["s-3"] {
		if at > limit {
			late++
			last = at
		}
	}
	if late > 0 {
		r.Broken("%d requests came to s-3 after that, the last at %.3f s", late, last.Seconds())
	}
	return nil
}

// agent starts the project's agent, which ends with the run, and returns its address when it has a list.
func (r *run) agent(store, prefix string) (address string, err error) {
	if address, err = rig.FreeAddress(); err != nil {
		return "", err
	}
	folder := filepath.Join(r.temp, "agent")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	config := filepath.Join(folder, "members.toml")
	text := fmt.Sprintf("listen = %q\n\n[[source]]\nkind = \"etcd\"\nendpoints = [%q]\nprefix = %q\n", address, store, prefix)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return "", err
	}
	log, err := os.Create(filepath.Join(folder, "dispatcher.log"))
	if err != nil {
		return "", err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(r.root, "review", "rig-2", "bin", "birchfork-discovery-agent"), "serve", "--config", config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	r.atEnd(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/discovery/hosts")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return address, nil
		}
	}
	return "", fmt.Errorf("the agent has no list after 15 s")
}
