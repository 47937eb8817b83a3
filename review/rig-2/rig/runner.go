package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Job is one request that a runner has read whole.
type Job struct {
	ID, Class string
	Deadline  string
	Arrived   time.Time
}

// Runner is a stand-in for a runner. It runs up to Slots jobs at a time, lets Queue more wait in order, and turns further ones away.
type Runner struct {
	Name    string
	record  *Record
	time    func(Job) time.Duration
	lis     net.Listener
	slots   chan struct{}
	mu      sync.Mutex
	waiting int
	queue   int

	// OnArrive, if set, is called when a job has been read whole.
	OnArrive func(Job)

	conns map[net.Conn]bool
}

// NewRunner starts a runner on a free port.
func NewRunner(record *Record, name string, slots, queue int, runTime func(Job) time.Duration) (*Runner, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{Name: name, record: record, time: runTime, lis: lis, slots: make(chan struct{}, slots), queue: queue, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Entry returns the runner's entry on the list.
func (r *Runner) Entry(zone, kind, status string) Entry {
	return Entry{Name: r.Name, Address: r.lis.Addr().String(), Zone: zone, Type: kind, Group: 0, Status: status, Weight: 1}
}

// Close ends the runner.
func (r *Runner) Close() {
	r.lis.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

func (r *Runner) accept() {
	for {
		conn, err := r.lis.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

func (r *Runner) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		job := Job{request.Header.Get("X-Request-Id"), request.Header.Get("X-Class"), request.Header.Get("X-Deadline-Ms"), time.Now()}
		r.record.Log("%s: job %s of %s has come, %s ms left", r.Name, job.ID, job.Class, job.Deadline)
		if r.OnArrive != nil {
			r.OnArrive(job)
		}
		if !r.run(conn, in, job) {
			return
		}
	}
}

// turnedAway is the answer to a job that never ran.
var turnedAway = []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")

// run answers one job, and reports whether the connection goes on.
func (r *Runner) run(conn net.Conn, in *bufio.Reader, job Job) bool {
	r.mu.Lock()
	full := r.waiting >= r.queue+cap(r.slots)
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		r.record.Log("%s: job %s turned away, it has not run", r.Name, job.ID)
		_, err := conn.Write(turnedAway)
		return err == nil
	}
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	chunk := func(line string) bool {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line)
		return err == nil
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	gone := r.watch(conn, in)
	defer gone.stop()
	select {
	case r.slots <- struct{}{}:
	case <-gone.c:
		r.record.Log("%s: job %s: its connection has ended before it ran", r.Name, job.ID)
		return false
	}
	defer func() { <-r.slots }()
	r.record.Log("%s: job %s runs", r.Name, job.ID)
	chunk(fmt.Sprintf(`{"id":"%s","from":"%s","state":"started"}`, job.ID, r.Name))
	end := time.After(r.time(job))
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	for {
		select {
		case <-gone.c:
			r.record.Log("%s: job %s: its connection has ended while it ran", r.Name, job.ID)
			return false
		case <-progress.C:
			chunk(fmt.Sprintf(`{"id":"%s","from":"%s","state":"running","share":0.5}`, job.ID, r.Name))
		case <-end:
			r.record.Log("%s: job %s is done", r.Name, job.ID)
			gone.stop()
			ok := chunk(fmt.Sprintf(`{"id":"%s","from":"%s","state":"done","result":"result of %s"}`, job.ID, r.Name, job.ID))
			_, err := conn.Write([]byte("0\r\n\r\n"))
			return ok && err == nil
		}
	}
}

// watcher notices the end of a connection while a job runs.
type watcher struct {
	c    chan struct{}
	once sync.Once
	done chan struct{}
	conn net.Conn
}

func (r *Runner) watch(conn net.Conn, in *bufio.Reader) *watcher {
	w := &watcher{c: make(chan struct{}), done: make(chan struct{}), conn: conn}
	go func() {
		defer close(w.done)
		if _, err := in.Peek(1); err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				return
			}
			close(w.c)
		}
	}()
	return w
}

// stop ends the watch.
func (w *watcher) stop() {
	w.once.Do(func() {
		w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		w.conn.SetReadDeadline(time.Time{})
	})
}
