package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"birchfork-review/rig-2/rig"
)

func init() { cases["hidden"] = hidden }

// hidden: a bad client sends requests with both Content-Length and Transfer-Encoding that hide another one in their body, each on a
// connection on which it has asked for /up before. The hidden one must not be passed on. The disruption is that its call of /up has a body;
// without it the call has none, and all else is the same.
func hidden(r *run) error {
	const tries = 20
	var mu sync.Mutex
	arrived := map[string]string{} // runner by id
	var list []rig.Entry
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		runner, err := rig.NewRunner(r.Record, name, 5, 50, func(rig.Job) time.Duration { return 50 * time.Millisecond })
		if err != nil {
			return err
		}
		r.atEnd(runner.Close)
		runner.OnArrive = func(job rig.Job) {
			mu.Lock()
			defer mu.Unlock()
			arrived[job.ID] = name
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
	dispatcher, err := r.dispatcher("n0", rig.Config("n0", listen, discovery.Address(), 192, 1024, discovery.List(), rig.Valdora()))
	if err != nil {
		return err
	}
	usual := r.clientsInPieces(listen, 3, tries*500*time.Millisecond, 0)
	hiddenIDs := map[string]int{}
	for try := range tries {
		inner, err := r.hide(listen, try)
		if err != nil {
			return err
		}
		hiddenIDs[inner] = try
		time.Sleep(200 * time.Millisecond)
	}
	usual.wait()
	if dispatcher.HasEnded() {
		r.Broken("the dispatcher has ended: %v", dispatcher.Err)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, try := range hiddenIDs {
		if runner, ok := arrived[id]; ok {
			r.Broken("the hidden ticket-issue %s of try %d was passed on to %s", id, try, runner)
		}
	}
	return nil
}

// hide plays the bad client once, and returns the id of the hidden request.
func (r *run) hide(address string, try int) (inner string, err error) {
	conn, err := rig.Dial(address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	// The body of the call looks like the head of a request with a long body of its own.
	body := "POST /x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"
	if !r.trouble {
		body = ""
	}
	if body != "" {
		fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: app.svc\r\nContent-Length: %d\r\n\r\n", len(body))
	} else {
		io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
	}
	time.Sleep(100 * time.Millisecond)
	io.WriteString(conn, body)
	up := conn.ReadAnswer(time.Now(), time.Second)
	outer, inner := rig.NewID(), rig.NewID()
	hidden := rig.Message(inner, "ticket-issue", "bus-provincia", 5*time.Second, "{}")
	fmt.Fprintf(conn, "POST /ticket-issue HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: ticket-issue\r\nX-Tenant: bus-provincia\r\n"+
		"X-Deadline-Ms: 5000\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", outer, 5+len(hidden), hidden)
	first := conn.ReadAnswer(time.Now(), time.Second)
	second := rig.Answer{Err: errors.New("the connection has ended")}
	if !first.Lost() && !first.Last {
		second = conn.ReadAnswer(time.Now(), time.Second)
	}
	r.Say("try %d: /up: %v; the request with two lengths, %s: %v; the one hidden in it, %s: %v", try, up, outer, first, inner, second)
	return inner, nil
}
