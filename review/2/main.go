// Case 2: a bad client sends the ids of other clients' open requests while a dispatcher is upgraded.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"birchfork-review/rig"
)

const (
	workers  = 9
	rate     = 20                    // jobs a second of the usual client
	length   = 20 * time.Second      // of the traffic
	upgrade  = 5 * time.Second       // the platform starts the new process
	badPause = 50 * time.Millisecond // between two requests of the bad client
	jobTime  = 800 * time.Millisecond
	killWait = 3700 * time.Millisecond // after SIGTERM: the longest deadline, 3 s at most, and 0.7 s
)

// open has the usual client's requests that have no answer yet.
type open struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (o *open) set(id string, isOpen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isOpen {
		o.ids[id] = true
	} else {
		delete(o.ids, id)
	}
}

// any returns the id of an open request; "" if there is none.
func (o *open) any() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.ids {
		return id
	}
	return ""
}

func main() {
	record := rig.NewRecord(os.Args[1])
	tmp := rig.TempFolder()
	var mu sync.Mutex
	runs := map[string][]string{} // workers that began to run a ticket, by id
	zones := []string{"sala-nord", "sala-centro", "sala-sud"}
	list := rig.List{Index: 41, Snapshot: true}
	for i := range workers {
		w := rig.NewWorker(record, fmt.Sprintf("s-%d", i), func(j *rig.Job) {
			mu.Lock()
			runs[j.ID] = append(runs[j.ID], j.Worker.Name)
			mu.Unlock()
			j.Run(jobTime)
		})
		list.Endpoints = append(list.Endpoints, w.Endpoint(zones[i%len(zones)]))
	}
	agent := rig.NewAgent("a", record, list)
	config := rig.Config{
		Name: "n1", Listen: rig.FreeAddress(), Discovery: agent.Addr(), Operator: rig.FreeAddress(),
		Seed:   fmt.Sprintf("%016x", time.Now().UnixNano()),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: list,
		Settings: rig.Settings(rig.Valdora(), nil),
	}
	old := rig.StartDispatcher(record, tmp, config)
	old.WaitUp()

	begin := time.Now()
	var plan sync.WaitGroup
	if rig.Trouble() {
		plan.Go(func() {
			time.Sleep(time.Until(begin.Add(upgrade)))
			next := config
			next.Operator = rig.FreeAddress()
			rig.StartDispatcher(record, tmp, next)
			waitReady(next.Operator)
			record.Printf("platform: the new process is ready, SIGTERM to the old one")
			old.Signal(syscall.SIGTERM)
			time.Sleep(killWait)
			old.Signal(syscall.SIGKILL)
		})
	}

	usual := rig.NewClient(record, config.Listen)
	requests := &open{ids: map[string]bool{}}
	usualAnswers, badAnswers := map[int]int{}, map[int]int{}
	var clients sync.WaitGroup
	clients.Go(func() {
		for time.Since(begin) < length {
			time.Sleep(badPause)
			id := requests.any()
			if id == "" {
				continue
			}
			clients.Go(func() {
				record.Printf("bad client: sends the id %s of an open request", id)
				a := rig.NewClient(record, config.Listen).Do(id, "ticket-issue", 5*time.Second)
				mu.Lock()
				badAnswers[a.Status]++
				mu.Unlock()
			})
		}
	})
	for i := 0; time.Since(begin) < length; i++ {
		clients.Go(func() {
			id := fmt.Sprintf("%08x%08x", i, rand.Uint32())
			time.AfterFunc(50*time.Millisecond, func() { requests.set(id, true) })
			a := usual.Do(id, "ticket-issue", 5*time.Second)
			requests.set(id, false)
			mu.Lock()
			usualAnswers[a.Status]++
			mu.Unlock()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	clients.Wait()
	plan.Wait()
	rig.End()

	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			record.Say("BROKEN: ticket-issue %s ran at %v", id, at)
		}
	}
	record.Say("usual client's answers by status: %v; bad client's: %v; tickets that ran: %d, more than once: %d", usualAnswers, badAnswers, len(runs), twice)
	if twice > 0 {
		os.Exit(rig.RuleBroken)
	}
}

// waitReady waits until a process answers the operators' call that it is ready.
func waitReady(operator string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		response, err := client.Get("http://" + operator + "/-/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	rig.CannotRun("the new process is not ready within 6 s")
}
