// Case 3: some answers of workers never end, and the dispatcher keeps what comes of them in memory.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchfork-review/rig"
)

const (
	length      = 30 * time.Second // of the traffic
	rate        = 50               // jobs a second
	workers     = 9
	spoiltShare = 0.15      // of the answers: after the report of the start comes a line that never ends
	spoiltBytes = 900 << 10 // of such a line in its first second; then 9 KB each second
	memoryMB    = 64        // limits.memory_mb
)

// state is what the case has counted.
type state struct {
	mu      sync.Mutex
	spoilt  int
	peakKB  int
	killed  bool
	answers map[int]int
}

func main() {
	record := rig.NewRecord(os.Args[1])
	tmp := rig.TempFolder()

	s := &state{answers: map[int]int{}}
	zones := []string{"sala-nord", "sala-centro", "sala-sud"}
	list := rig.List{Index: 41, Snapshot: true}
	for i := range workers {
		w := rig.NewWorker(record, fmt.Sprintf("s-%d", i), s.handle)
		list.Endpoints = append(list.Endpoints, w.Endpoint(zones[i%len(zones)]))
	}
	agent := rig.NewAgent("a", record, list)
	d := rig.StartDispatcher(record, tmp, rig.Config{
		Name: "n1", Listen: rig.FreeAddress(), Discovery: agent.Addr(), Seed: fmt.Sprintf("%016x", time.Now().UnixNano()),
		Limits: map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}, Known: list,
		Settings: rig.Settings(rig.Valdora(), nil),
	})
	d.WaitUp()
	go s.watchMemory(record, d)

	client := rig.NewClient(record, d.Config.Listen)
	var open sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < length && !d.Ended(); i++ {
		class, deadline := "journey-search", 10*time.Second
		if i%2 == 0 {
			class, deadline = "ticket-issue", 5*time.Second
		}
		open.Go(func() {
			a := client.Do(fmt.Sprintf("%08x%08x", i, rand.Uint32()), class, deadline)
			s.mu.Lock()
			s.answers[a.Status]++
			s.mu.Unlock()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	open.Wait()
	crashed := d.Ended()
	rig.End()

	s.mu.Lock()
	defer s.mu.Unlock()
	record.Say("answers by status (0: no whole answer): %v; answers that never end: %d; peak of memory: %.1f MB of %d MB; killed for memory: %v; "+
		"the dispatcher ended before the case did: %v", s.answers, s.spoilt, float64(s.peakKB)/1024, memoryMB, s.killed, crashed)
	if crashed {
		os.Exit(rig.RuleBroken)
	}
}

// handle handles a job at a worker.
func (s *state) handle(j *rig.Job) {
	if rig.Trouble() && rand.Float64() < spoiltShare {
		s.mu.Lock()
		s.spoilt++
		s.mu.Unlock()
		j.Endless(spoiltBytes)
		return
	}
	j.Run(200 * time.Millisecond)
}

// watchMemory is the platform: it kills a dispatcher that is over its limit. Only memory of the process's own counts (RssAnon), not the pages
// of its program.
func (s *state) watchMemory(record *rig.Record, d *rig.Dispatcher) {
	for !d.Ended() {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Pid()))
		for line := range strings.Lines(string(raw)) {
			if !strings.HasPrefix(line, "RssAnon:") {
				continue
			}
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			s.mu.Lock()
			if kb > s.peakKB {
				s.peakKB = kb
				record.Printf("platform: the dispatcher has %d KB of memory", kb)
			}
			over := kb > memoryMB<<10 && !s.killed
			s.killed = s.killed || over
			s.mu.Unlock()
			if over {
				record.Printf("platform: %d KB are over limits.memory_mb = %d: the dispatcher is killed", kb, memoryMB)
				d.Signal(syscall.SIGKILL)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
