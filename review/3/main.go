// Case 3: discovery is asked for the list and turns one call away; the dispatcher then waits for longer than it may.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"birchfork-review/rig"
)

const (
	dispatchers = 200 // group_size: of the fleet; one of them is started
	workers     = 67
	draining    = 19               // workers that begin to drain: the fleet shrinks to 71%
	rate        = 50               // jobs a second
	length      = 45 * time.Second // of the traffic

	reset     = 5 * time.Second        // all connections to discovery are reset
	refuseFor = 400 * time.Millisecond // from then on, calls are turned away
	drain     = 6 * time.Second        // discovery has the drains, and answers calls at once
	ends      = 16 * time.Second       // the processes of the draining workers end

	told  = 6 * time.Second // after discovery had a change and could be reached, it counts as told
	grace = 750*time.Millisecond + 50*time.Millisecond
)

func main() {
	record := rig.NewRecord(os.Args[1])
	tmp := rig.TempFolder()

	var mu sync.Mutex
	var all []*rig.Worker
	cutOff := map[string]time.Time{} // arrivals of jobs that began to run and did not reach their end
	arrivals := map[string][]time.Time{}
	zones := []string{"regina", "saskatoon"}
	list := rig.List{Index: 41, Snapshot: true}
	for i := range workers {
		w := rig.NewWorker(record, fmt.Sprintf("s-%d", i), func(j *rig.Job) {
			mu.Lock()
			arrivals[j.Worker.Name] = append(arrivals[j.Worker.Name], j.At)
			mu.Unlock()
			run := 300 * time.Millisecond
			if j.Class == "alert-send" {
				run = 1200 * time.Millisecond
			}
			if !j.Run(run) {
				mu.Lock()
				cutOff[j.ID] = j.At
				mu.Unlock()
			}
		})
		all = append(all, w)
		e := w.Endpoint(zones[i%2])
		e.Type = "std-5core"
		list.Endpoints = append(list.Endpoints, e)
	}
	discovery := rig.NewAgent("discovery", record, list)
	classes := []rig.Class{
		{Name: "event-ingest", Effect: "guarded", Group: "zone", Deadline: 5, Aim: 0.3, Stretch: 2, Window: 7.5, Worth: 10},
		{Name: "alert-send", Effect: "single_shot", Group: "all", Deadline: 20, Aim: 1.2, Stretch: 1.75, Window: 7.5, Worth: 3},
	}
	d := rig.StartDispatcher(record, tmp, rig.Config{
		Name: "n1", Listen: rig.FreeAddress(), Discovery: discovery.Addr(), Seed: fmt.Sprintf("%016x", time.Now().UnixNano()),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: list,
		Settings: rig.Settings(classes, func(s map[string]any) {
			s["registry_mode"] = "subscribe"
			s["group_size"] = dispatchers
			s["zones"], s["zone"] = zones, zones[0]
			s["machine_types"] = []string{"std-5core"}
			delete(s, "customers")
			limits := s["policy_limits"].(map[string]any)
			limits["attempts_cap"], limits["second_copies"], limits["probes"] = 5, false, false
			limits["connect_timeout"], limits["idle_close"] = 0.2, 10.0
			prices := s["prices"].(map[string]any)
			prices["probe"], prices["waste"], prices["late_fail"], prices["cross_zone"], prices["registry_mode"] = 0.0, 0.036, 0.08, 0.02, 0.005
			safety := s["safety"].(map[string]any)
			safety["stop_sending_within"], safety["fall_multiple"], safety["fall"], safety["warm_within"] = 0.75, 3.0, 3.0, 22.0
			s["weight_kind"] = "off"
		}),
	})
	d.WaitUp()

	begin := time.Now()
	var plan sync.WaitGroup
	plan.Go(func() {
		if rig.Trouble() {
			time.Sleep(time.Until(begin.Add(reset)))
			discovery.ResetWatches(refuseFor)
		}
		time.Sleep(time.Until(begin.Add(drain)))
		var changes []rig.Endpoint
		for _, e := range list.Endpoints[:draining] {
			e.Status = "draining"
			changes = append(changes, e)
		}
		discovery.Push(42, changes...)
		time.Sleep(time.Until(begin.Add(ends)))
		record.Printf("the processes of the draining workers end")
		for _, w := range all[:draining] {
			w.Die()
		}
	})

	client := rig.NewClient(record, d.Config.Listen)
	answers := map[int]int{}
	var open sync.WaitGroup
	for i := 0; time.Since(begin) < length; i++ {
		class, deadline := "event-ingest", 5*time.Second
		if i%3 == 0 {
			class, deadline = "alert-send", 20*time.Second
		}
		open.Go(func() {
			a := client.Do(fmt.Sprintf("%08x%08x", i, rand.Uint32()), class, deadline)
			mu.Lock()
			answers[a.Status]++
			mu.Unlock()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	open.Wait()
	plan.Wait()
	rig.End()

	mu.Lock()
	defer mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, e := range list.Endpoints[:draining] {
		for _, at := range arrivals[e.Name] {
			if after := at.Sub(begin.Add(drain)); after > told+grace {
				late++
				latest = max(latest, after)
			}
		}
	}
	lost := 0
	for _, at := range cutOff {
		if at.Sub(begin.Add(drain)) > told+grace {
			lost++
		}
	}
	record.Say("answers by status: %v; jobs at draining workers later than %d ms after discovery had the drain: %d, the last %d ms after; "+
		"of these cut off by the end of their worker: %d", answers, (told + grace).Milliseconds(), late, latest.Milliseconds(), lost)
	if late > 0 {
		os.Exit(rig.RuleBroken)
	}
}
