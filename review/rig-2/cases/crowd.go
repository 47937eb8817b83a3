package main

import (
	"errors"
	"net"
	"syscall"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["crowd"] = crowd }

// crowd: twelve usual clients keep their connections, and write each request in two pieces, 0.3 s apart. Every 5 s some hundreds of clients
// connect and say nothing. Each request of a usual client whose last byte was written has to get an answer.
func crowd(r *run) error {
	const (
		usual   = 12
		silent  = 400
		sockets = 256
		rounds  = 6
		every   = 5 * time.Second
		between = 300 * time.Millisecond
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
	dispatcher, err := r.dispatcher("n0", rig.Config("n0", listen, discovery.Address(), 96, sockets, discovery.List(), rig.Valdora()))
	if err != nil {
		return err
	}
	clients := r.clientsInPieces(dispatcher.Address, usual, rounds*every+time.Second, between)
	for range rounds {
		time.Sleep(every - 500*time.Millisecond)
		if r.trouble {
			r.crowd(dispatcher.Address, silent)
		}
		time.Sleep(500 * time.Millisecond)
	}
	clients.wait()
	if dispatcher.HasEnded() {
		r.Broken("the dispatcher has ended: %v", dispatcher.Err)
	}
	return nil
}

// crowd lets clients connect that say nothing and go after 2 s at most.
func (r *run) crowd(address string, n int) {
	begin := time.Now()
	var conns []net.Conn
	for range n {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			if !errors.Is(err, syscall.ECONNRESET) {
				r.Log("crowd: %v", err)
			}
			continue
		}
		conns = append(conns, conn)
	}
	r.Say("%d clients have connected within %.0f ms, and say nothing", len(conns), time.Since(begin).Seconds()*1000)
	time.AfterFunc(2*time.Second, func() {
		for _, conn := range conns {
			conn.Close()
		}
	})
}
