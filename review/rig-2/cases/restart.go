package main

import (
	"syscall"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["restart"] = restart }

// restart: a dispatcher is told to end and started again, some times. Usual clients keep their connections and write slowly, each request in
// two pieces, 0.3 s apart. Each request whose last byte was written has to get an answer.
func restart(r *run) error {
	const (
		usual   = 12
		rounds  = 5
		between = 300 * time.Millisecond
		kill    = 3*time.Second + 700*time.Millisecond // the longest deadline, 3 s at most, and 0.7 s
		quiet   = 3 * time.Second
	)
	var list []rig.Entry
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4", "s-5"} {
		runner, err := rig.NewRunner(r.Record, name, 5, 50, func(rig.Job) time.Duration { return 50 * time.Millisecond })
		if err != nil {
			return err
		}
		r.atEnd(runner.Close)
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
	config := rig.Config("n0", listen, discovery.Address(), 192, 1024, discovery.List(), rig.Valdora())
	dispatcher, err := r.dispatcher("n0", config)
	if err != nil {
		return err
	}
	clients := r.clientsInPieces(listen, usual, rounds*(quiet+kill), between)
	for range rounds {
		time.Sleep(quiet)
		if !r.trouble {
			time.Sleep(kill)
			continue
		}
		dispatcher.Signal(syscall.SIGTERM)
		select {
		case <-dispatcher.Ended():
			r.Say("the dispatcher has ended: %v", dispatcher.Err)
		case <-time.After(kill):
			dispatcher.Signal(syscall.SIGKILL)
			<-dispatcher.Ended()
		}
		if dispatcher, err = r.dispatcher("n0", config); err != nil {
			return err
		}
	}
	clients.wait()
	return nil
}
