package main

import (
	"sync"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["turned-away"] = turnedAway }

// turnedAway: a dispatcher of a fleet of 204 starts with its last list while discovery turns calls away for one second, as in a restart of
// the whole fleet. One runner of that list drains since before. Nothing new may go to it later than 6 s after discovery can be reached, and
// the grace.
func turnedAway(r *run) error {
	const (
		dispatchers = 204 // of psma-errors today, at most
		refusedFor  = time.Second
		toldWithin  = 6 * time.Second
		grace       = 750*time.Millisecond + 50*time.Millisecond // safety.stop_sending_within, and what sockets add
		length      = 40 * time.Second
	)
	names := []string{"s-1", "s-2", "s-3", "s-4", "s-5"}
	var mu sync.Mutex
	arrived := map[string][]time.Duration{}
	var known []rig.Entry
	for _, name := range names {
		runner, err := rig.NewRunner(r.Record, name, 5, 50, func(rig.Job) time.Duration { return 60 * time.Millisecond })
		if err != nil {
			return err
		}
		r.atEnd(runner.Close)
		runner.OnArrive = func(rig.Job) {
			mu.Lock()
			defer mu.Unlock()
			arrived[runner.Name] = append(arrived[runner.Name], r.Since())
		}
		known = append(known, runner.Entry("regina", "std-5core", "up"))
	}
	discovery, err := r.discovery(41, known)
	if err != nil {
		return err
	}
	lastList := discovery.List()
	if r.trouble {
		discovery.Refuse(true)
	}
	drains := known[2]
	drains.Status = "draining"
	discovery.Set(drains)
	listen, err := rig.FreeAddress()
	if err != nil {
		return err
	}
	// Discovery can be reached from this time on, whenever the dispatcher calls.
	reachable := make(chan time.Duration, 1)
	if r.trouble {
		time.AfterFunc(refusedFor+200*time.Millisecond, func() { // the process needs some of it to start
			discovery.Refuse(false)
			reachable <- r.Since()
		})
	} else {
		reachable <- r.Since()
	}
	config := rig.Config("n0", listen, discovery.Address(), 192, 1024, lastList, rig.PSMA(dispatchers))
	dispatcher, err := r.dispatcher("n0", config)
	if err != nil {
		return err
	}
	clients := sync.WaitGroup{}
	pool := &rig.Pool{Address: dispatcher.Address}
	answers := map[int]int{}
	for tick, n := time.NewTicker(25*time.Millisecond), 0; r.Since() < length; n++ {
		<-tick.C
		class, deadline := "event-ingest", 5*time.Second
		if n%3 == 2 {
			class, deadline = "alert-send", 20*time.Second
		}
		clients.Go(func() {
			id := rig.NewID()
			answer := pool.Do(rig.Message(id, class, "", deadline, "{}"), deadline+time.Second)
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
	from := <-reachable
	limit := from + toldWithin + grace
	mu.Lock()
	defer mu.Unlock()
	r.Say("answers by status: %v", answers)
	r.Say("discovery could be reached from %.3f s on; nothing new may come to s-3 after %.3f s", from.Seconds(), limit.Seconds())
	late := 0
	var first, last time.Duration
	for _, at := range arrived["s-3"] {
		if at > limit {
			late++
			if first == 0 {
				first = at
			}
			last = at
		}
	}
	if late > 0 {
		r.Broken("%d requests came to the draining runner s-3 after the limit, from %.3f s to %.3f s", late, first.Seconds(), last.Seconds())
	}
	return nil
}
