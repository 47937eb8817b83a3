package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: one of five runners turns some jobs away, as a runner with a full queue does, and some milliseconds later sends that answer
// a second time. No request of the class that must never run twice may run at two runners.
func secondAnswer(r *run) error {
	const (
		length = 40 * time.Second
		rate   = 100                  // requests a second
		oneWay = 8 * time.Millisecond // between the two data centres
	)
	var mu sync.Mutex
	ran := map[string][]string{}
	spoilt, sent := 0, 0
	var list []rig.Entry
	for i, name := range []string{"s-1", "s-2", "s-3", "s-4", "s-5"} {
		runner, err := rig.NewRunner(r.Record, name, 2, 2, func(rig.Job) time.Duration { return time.Duration(40+rand.IntN(120)) * time.Millisecond })
		if err != nil {
			return err
		}
		r.atEnd(runner.Close)
		runner.OnRun = func(job rig.Job) {
			mu.Lock()
			defer mu.Unlock()
			ran[job.ID] = append(ran[job.ID], name)
		}
		if i == 0 {
			n := 0
			runner.TurnAway = func(rig.Job) bool { // every other job: its places are taken by other dispatchers' jobs
				mu.Lock()
				defer mu.Unlock()
				n++
				return n%2 == 0
			}
			if r.trouble {
				runner.AfterTurnedAway = func(conn net.Conn, answer []byte) {
					mu.Lock()
					spoilt++
					delay := time.Duration(1+spoilt%8) * time.Millisecond
					mu.Unlock()
					time.AfterFunc(delay, func() {
						if _, err := conn.Write(answer); err == nil {
							r.Log("%s: the answer is sent a second time, after %v", name, delay)
						}
					})
				}
			}
		}
		entry := runner.Entry("saskatoon", "std-5core", "up")
		way, err := rig.NewProxy(entry.Address, oneWay)
		if err != nil {
			return err
		}
		r.atEnd(way.Close)
		entry.Address = way.Address()
		list = append(list, entry)
	}
	discovery, err := r.discovery(41, list)
	if err != nil {
		return err
	}
	listen, err := rig.FreeAddress()
	if err != nil {
		return err
	}
	dispatcher, err := r.dispatcher("n0", rig.Config("n0", listen, discovery.Address(), 192, 1024, discovery.List(), rig.PSMA(2)))
	if err != nil {
		return err
	}
	clients := sync.WaitGroup{}
	pool := &rig.Pool{Address: dispatcher.Address}
	answers := map[int]int{}
	for n := 0; r.Since() < length; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		class, deadline := "alert-send", 20*time.Second
		if n%2 == 1 {
			class, deadline = "event-ingest", 5*time.Second
		}
		sent++
		clients.Go(func() {
			id := class[:1] + rig.NewID()
			answer := pool.Do(rig.Message(id, class, "", deadline, "{}"), deadline+time.Second)
			r.Log("client: %s of %s: %v", id, class, answer)
			mu.Lock()
			answers[answer.Status]++
			mu.Unlock()
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	if dispatcher.HasEnded() {
		r.Broken("the dispatcher has ended: %v", dispatcher.Err)
	}
	mu.Lock()
	defer mu.Unlock()
	r.Say("%d requests, answers by status: %v; %d answers of s-1 sent a second time", sent, answers, spoilt)
	for id, runners := range ran {
		if id[0] == 'a' && len(runners) > 1 {
			r.Broken("%s of alert-send, which must never run twice, ran at %v", id, runners)
		}
	}
	return nil
}
