package main

import (
	"sync"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["silent-start"] = silentStart }

// silentStart: a dispatcher is killed. A runner begins to drain, and the agent has it. Discovery is down for 8 s, into the restart: the
// dispatcher starts with its last list. What the agent has counts as told from the first moment of the new process: nothing new may go to
// that runner later than the grace after the process is up.
func silentStart(r *run) error {
	const (
		quiet = 3 * time.Second
		down  = 8 * time.Second
		grace = 500*time.Millisecond + 50*time.Millisecond
		after = 4 * time.Second
	)
	var mu sync.Mutex
	arrived := map[string][]time.Duration{}
	var list []rig.Entry
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
		list = append(list, runner.Entry("sala-sud", "calc-b5", "up"))
	}
	discovery, err := r.discovery(41, list)
	if err != nil {
		return err
	}
	listen, err := rig.FreeAddress()
	if err != nil {
		return err
	}
	lastList := discovery.List()
	config := rig.Config("n0", listen, discovery.Address(), 192, 1024, lastList, rig.Valdora())
	dispatcher, err := r.dispatcher("n0", config)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var load, clients sync.WaitGroup
	answers := map[int]int{}
	load.Go(func() {
		pool := &rig.Pool{Address: listen}
		tick := time.NewTicker(25 * time.Millisecond)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
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
	})
	time.Sleep(quiet)
	r.Say("dispatcher n0 is killed")
	dispatcher.Kill()
	time.Sleep(200 * time.Millisecond)
	drains := list[2]
	drains.Status = "draining"
	discovery.Set(drains)
	r.Say("s-3 drains, and the agent has it")
	time.Sleep(100 * time.Millisecond)
	back := time.Now().Add(down)
	if r.trouble {
		discovery.Silence(true)
	}
	dispatcher, err = r.dispatcher("n0", config)
	if err != nil {
		return err
	}
	up := r.Since()
	time.Sleep(time.Until(back))
	if r.trouble {
		discovery.Silence(false)
	}
	time.Sleep(after)
	close(stop)
	load.Wait()
	clients.Wait()
	if dispatcher.HasEnded() {
		r.Broken("the dispatcher has ended: %v", dispatcher.Err)
	}
	mu.Lock()
	defer mu.Unlock()
	r.Say("answers by status (0: none, the dispatcher was not there): %v", answers)
	late := 0
	var last time.Duration
	for _, at := range arrived["s-3"] {
		if at > up+grace {
			late++
			last = at
		}
	}
	r.Say("the new process was up at %.3f s; nothing new may come to s-3 after %.3f s", up.Seconds(), (up + grace).Seconds())
	if late > 0 {
		r.Broken("%d requests came to s-3 after that, the last at %.3f s", late, last.Seconds())
	}
	return nil
}
