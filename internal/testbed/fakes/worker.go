package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/invariant"
)

// Order is what a client asked for, as its worker has to find it.
type Order struct {
	Work   time.Duration
	Slots  int
	Memory float64
	Kind   string // of the workers that run it; empty: all
	Target string
	Body   uint64 // hash
}

// Book knows the requests that clients sent.
type Book interface {
	Find(id string) (Order, bool)
}

// Config is what all workers of a fleet share.
type Config struct {
	Ledger         *invariant.Ledger
	Book           Book
	Dispatchers    int
	Notes          bool          // workers tell of starts and progress
	IdleClose      time.Duration // idle connections are closed after this
	Fails          func() float64
	OnOverload     func(worker int) // a worker was pushed over; may be nil
	SuppressOutput bool             // nothing is taken down: for measuring the rig's own ceiling
	Net            Net              // that the workers' hosts are in
}

// Worker is one stand-in. Each start is a life of its own, with addresses of its own: one for each dispatcher, so that
// it is known who sent what, and links can be cut one by one.
type Worker struct {
	Name  string
	Index int

	cfg  *Config
	spec Spec

	mu          sync.Mutex
	incarnation int
	machine     *Machine
	links       []*link
	timer       *time.Timer
	draining    bool
	errorShare  float64
	errFor      map[int]bool  // dispatchers all of whose jobs fail
	served      int           // jobs begun
	did         time.Duration // work done, on a core of speed 1
	falls       int
	idle        chan struct{} // closed when a drain has come to its end
	mayEnd      bool          // a drain has lasted long enough to end when nothing is left
}

// NewWorker returns a worker that is not running.
func NewWorker(cfg *Config, name string, index int, spec Spec) *Worker {
	return &Worker{Name: name, Index: index, cfg: cfg, spec: spec}
}

// Start begins a life; the worker listens when it returns.
func (w *Worker) Start(warm bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill() // troubles may overlap
	w.incarnation++
	w.draining, w.errorShare, w.idle = false, 0, nil
	w.machine = NewMachine(w.spec, w.cfg.Ledger.Now(), warm)
	w.timer = time.AfterFunc(time.Hour, func() { w.due() })
	w.timer.Stop()
	w.links = nil
	for d := range w.cfg.Dispatchers {
		l, err := net.Listen("tcp", w.Host()+":0")
		if err != nil {
			for _, k := range w.links {
				k.listener.Close()
			}
			return fmt.Errorf("worker %s: listening: %w", w.Name, err)
		}
		k := &link{w: w, incarnation: w.incarnation, dispatcher: d, listener: l.(*net.TCPListener), conns: map[*conn]bool{}}
		w.links = append(w.links, k)
		go k.accept()
	}
	return nil
}

// Host is the worker's own.
func (w *Worker) Host() string { return w.cfg.Net.Host(w.Index) }

// Address is where one dispatcher reaches the worker in its present life.
func (w *Worker) Address(dispatcher int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if dispatcher >= len(w.links) {
		return ""
	}
	return w.links[dispatcher].listener.Addr().String()
}

// Incarnation is which start of the worker this is.
func (w *Worker) Incarnation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Stats are how many jobs began, how much work was done, and how often the worker was pushed over.
func (w *Worker) Stats() (jobs int, work time.Duration, falls int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served, w.did, w.falls
}

// Kill ends the process at once: connections are reset, new ones refused.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill()
}

func (w *Worker) kill() {
	if w.machine == nil {
		return
	}
	w.machine = nil
	w.timer.Stop()
	if w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
	for _, k := range w.links {
		k.listener.Close()
		k.heal()
		for c := range k.conns {
			c.reset(invariant.Died)
		}
	}
}

// Drain makes the worker take nothing new. The channel is closed when it has ended what it has and stood there for least;
// where that takes longer than patience, what waits is handed back and what runs is lost.
func (w *Worker) Drain(least, patience time.Duration) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := make(chan struct{})
	if w.machine == nil {
		close(done)
		return done
	}
	w.draining, w.idle, w.mayEnd = true, done, false
	life := w.incarnation
	time.AfterFunc(least, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == life && w.machine != nil && w.idle != nil {
			w.mayEnd = true
			w.step(func(*Machine) {})
		}
	})
	time.AfterFunc(patience, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == life && w.machine != nil && w.idle != nil {
			w.returnQueued()
			w.kill()
		}
	})
	return done
}

// returnQueued returns what waits, unstarted.
func (w *Worker) returnQueued() {
	for _, k := range w.links {
		for c := range k.conns {
			if c.job != nil && !c.attempt.Ran {
				w.machine.Drop(c.job)
				c.last(`"state":"returned"`, invariant.Returned)
			} else if c.job != nil {
				c.last(`"state":"lost"`, invariant.Died)
			}
			c.flush()
		}
	}
}

// Slow makes all work take factor times as long; a factor of 1 ends that.
func (w *Worker) Slow(factor float64) { w.change(func(m *Machine) { m.Slow(factor) }) }

// Hang stops or resumes all work.
func (w *Worker) Hang(on bool) { w.change(func(m *Machine) { m.Hang(on) }) }

// Err makes a share of the jobs fail at once; a share of 0 ends that.
func (w *Worker) Err(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errorShare = share
}

// ErrFor makes all jobs of one dispatcher fail at once, or ends that.
func (w *Worker) ErrFor(dispatcher int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.errFor == nil {
		w.errFor = map[int]bool{}
	}
	w.errFor[dispatcher] = on
}

// Partition makes the worker silent towards one dispatcher, or heals that.
func (w *Worker) Partition(dispatcher int, on bool) {
	w.mu.Lock()
	var k *link
	if w.machine != nil && dispatcher < len(w.links) {
		k = w.links[dispatcher]
	}
	w.mu.Unlock()
	if k == nil {
		return
	}
	if on {
		k.partition()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k.heal()
	for c := range k.conns {
		c.reset(invariant.Died)
	}
}

func (w *Worker) change(f func(*Machine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine != nil {
		w.step(f)
	}
}

// due is the machine's timer.
func (w *Worker) due() { w.change(func(*Machine) {}) }

// step brings the machine to the present, changes it and carries out what it tells. The lock is held.
func (w *Worker) step(f func(*Machine)) {
	m, now := w.machine, w.cfg.Ledger.Now()
	w.reportEvents(m.Advance(now))
	if w.machine != m {
		return // it fell
	}
	f(m)
	w.reportEvents(m.Advance(now))
	if w.machine != m {
		return
	}
	if at, ok := m.Next(); ok {
		w.timer.Reset(at - w.cfg.Ledger.Now())
	} else {
		w.timer.Stop()
	}
	if running, waiting := m.Busy(); w.draining && w.mayEnd && running+waiting == 0 {
		w.kill()
	}
}

// reportEvents passes notes on to those whose jobs they are about.
func (w *Worker) reportEvents(notes []JobEvent) {
	for _, n := range notes {
		if n.Kind == Overloaded {
			w.falls++
			w.cfg.Ledger.Overload(invariant.Overload{Worker: w.Index, Incarnation: w.incarnation, At: w.cfg.Ledger.Now(), Sent: n.Sent, Allowed: n.Allowed, SlowStartFactor: n.SlowStartFactor})
			w.kill() // and it stays down
			if w.cfg.OnOverload != nil {
				go w.cfg.OnOverload(w.Index)
			}
			return
		}
		c := w.connOf(n.Job)
		if c == nil {
			continue
		}
		switch n.Kind {
		case Began:
			w.served++
			w.cfg.Ledger.Do(func() { c.attempt.Ran = true })
			if w.cfg.Notes {
				c.say(`"state":"started"`)
			}
		case Progressed:
			if w.cfg.Notes {
				c.say(`"state":"running","share":` + strconv.FormatFloat(min(n.Progress, 1), 'f', 3, 64))
			}
		case Finished:
			w.did += c.work
			c.done()
		case Failed:
			c.last(`"state":"failed"`, invariant.Errored)
		}
		c.flush()
	}
}

func (w *Worker) connOf(j *Job) *conn {
	for _, k := range w.links {
		if c := k.jobs[j]; c != nil {
			return c
		}
	}
	return nil
}

// link is what one dispatcher reaches of a worker's life.
type link struct {
	w           *Worker
	incarnation int
	dispatcher  int
	listener    *net.TCPListener
	conns       map[*conn]bool
	jobs        map[*Job]*conn
	healed      chan struct{} // not nil: the link is cut, and until when
	fill        []net.Conn    // what keeps the kernel from bringing connections up while it is cut
}

func (k *link) accept() {
	for {
		raw, err := k.listener.AcceptTCP()
		if err != nil {
			k.w.mu.Lock()
			healed := k.healed
			k.w.mu.Unlock()
			if healed == nil && !isTimeout(err) {
				return // closed
			}
			if healed != nil {
				<-healed
				k.clear()
			}
			continue
		}
		c := &conn{k: k, TCPConn: raw}
		k.w.mu.Lock()
		if k.w.machine == nil || k.w.incarnation != k.incarnation {
			k.w.mu.Unlock()
			_ = raw.Close() // its worker is gone
			return
		}
		k.conns[c] = true
		k.w.mu.Unlock()
		go c.serve()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// conn is a connection from a dispatcher. It carries one request at a time.
type conn struct {
	*net.TCPConn
	k *link

	first time.Duration // when the first byte of the request came; 0: none yet
	fresh bool          // nothing has come yet of the next request

	// Under the worker's lock.
	id      string
	job     *Job
	attempt *invariant.Attempt
	work    time.Duration
	out     []byte
	silent  bool // the link was cut meanwhile: nothing goes through any more
	ended   bool
}

// Read notes when a request's first byte comes. What comes over a cut link has not come.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.fresh {
		c.first, c.fresh = c.k.w.cfg.Ledger.Now(), false
	}
	c.k.w.mu.Lock()
	healed := c.k.healed
	c.k.w.mu.Unlock()
	if healed != nil {
		<-healed
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// serve reads requests until the connection ends, which drops the job that is out on it.
func (c *conn) serve() {
	r := bufio.NewReaderSize(c, 4<<10)
	for {
		c.fresh = r.Buffered() == 0
		if !c.fresh {
			c.first = c.k.w.cfg.Ledger.Now()
		}
		if c.k.w.cfg.IdleClose > 0 {
			_ = c.SetReadDeadline(time.Now().Add(c.k.w.cfg.IdleClose)) // fails on a closed connection, as the next read does
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			c.k.w.mu.Lock()
			if isTimeout(err) && c.job != nil {
				c.k.w.mu.Unlock() // it works on: only idle connections are closed
				continue
			}
			if !errors.Is(err, io.EOF) && !c.fresh && c.job == nil && !isNetErr(err) && c.k.healed == nil {
				c.k.w.odd(c.k.dispatcher, err.Error())
			}
			c.drop()
			c.k.w.mu.Unlock()
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
		if err != nil {
			c.k.w.mu.Lock()
			c.drop() // its last byte never came: it is no attempt
			c.k.w.mu.Unlock()
			return
		}
		c.k.w.take(c, req, body)
	}
}

func isNetErr(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF)
}

func (w *Worker) odd(dispatcher int, what string) {
	if !w.cfg.SuppressOutput {
		w.cfg.Ledger.ProtocolFault(invariant.ProtocolFault{Worker: w.Index, Dispatcher: dispatcher, At: w.cfg.Ledger.Now(), What: what})
	}
}

// take begins a request whose last byte has come.
func (w *Worker) take(c *conn, req *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer c.flush()
	if w.machine == nil || w.incarnation != c.k.incarnation {
		c.reset(invariant.Died)
		return
	}
	if c.job != nil {
		w.odd(c.k.dispatcher, "a second request on a connection that carries one")
		c.drop()
		return
	}
	id := req.Header.Get("X-Request-Id")
	switch {
	case req.Method == http.MethodGet && (req.URL.Path == "/alive" || req.URL.Path == "/metrics/load"):
		c.head(http.StatusOK, "")
		return
	case id == "":
		c.head(http.StatusNotFound, "")
		return
	}
	order, ok := w.cfg.Book.Find(id)
	if !ok {
		w.odd(c.k.dispatcher, "a request under the id "+strconv.Quote(id)+" that no client sent")
		c.head(http.StatusBadRequest, "")
		return
	}
	a := &invariant.Attempt{ID: id, Worker: w.Index, Incarnation: w.incarnation, Dispatcher: c.k.dispatcher, First: c.first, Last: w.cfg.Ledger.Now()}
	switch {
	case req.Method != http.MethodPost || req.RequestURI != order.Target:
		a.Changed = fmt.Sprintf("%s %s came in place of POST %s", req.Method, req.RequestURI, order.Target)
	case xxhash.Sum64(body) != order.Body:
		a.Changed = fmt.Sprintf("the body of %d bytes is not the client's", len(body))
	}
	c.id, c.attempt, c.work = id, a, order.Work
	if !w.cfg.SuppressOutput {
		w.cfg.Ledger.Attempt(a)
	}
	j := &Job{Work: order.Work.Seconds(), Slots: order.Slots, Memory: order.Memory}
	j.Fails = w.errFor[c.k.dispatcher] || w.errorShare > 0 && w.cfg.Fails() < w.errorShare
	if w.draining || order.Kind != "" && order.Kind != w.spec.Kind {
		c.reject()
		return
	}
	w.step(func(m *Machine) {
		if !m.Offer(j) {
			c.reject()
			return
		}
		c.job = j
		if c.k.jobs == nil {
			c.k.jobs = map[*Job]*conn{}
		}
		c.k.jobs[j] = c
		c.out = append(c.out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	})
}

// head writes an answer that is no job's.
func (c *conn) head(status int, more string) {
	c.out = append(c.out, fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), more)...)
}

func (c *conn) reject() {
	c.head(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n")
	c.over(invariant.TurnedAway)
}

// over notes the end of the attempt that is out.
func (c *conn) over(end invariant.End) {
	if c.job != nil {
		delete(c.k.jobs, c.job)
		c.job = nil
	}
	if a := c.attempt; a != nil {
		c.k.w.cfg.Ledger.Do(func() { a.End, a.Ended = end, c.k.w.cfg.Ledger.Now() })
		c.attempt = nil
	}
}

// say appends a line about the job that is out.
func (c *conn) say(what string) {
	line := `{"id":` + strconv.Quote(c.id) + `,"from":"` + c.k.w.Name + `",` + what + "}\n"
	c.out = append(strconv.AppendInt(c.out, int64(len(line)), 16), "\r\n"...)
	c.out = append(append(c.out, line...), "\r\n"...)
}

// last is the last line.
func (c *conn) last(what string, end invariant.End) {
	c.say(what)
	c.out = append(c.out, "0\r\n\r\n"...)
	c.over(end)
}

// done answers with a result that only this attempt has.
func (c *conn) done() {
	a := c.attempt
	result := fmt.Sprintf("%s ran at %s, life %d, from %d", c.id, c.k.w.Name, a.Incarnation, a.Last)
	c.k.w.cfg.Ledger.Do(func() { a.Result = xxhash.Sum64String(result) })
	c.last(`"state":"done","result":`+strconv.Quote(result), invariant.Done)
}

// flush writes what has been said. A dispatcher that does not read is cut off.
func (c *conn) flush() {
	if len(c.out) == 0 {
		return
	}
	if c.k.healed == nil && !c.silent {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second)) // fails on a closed connection, as the write does
		if _, err := c.Write(c.out); err != nil {
			c.drop()
		}
	}
	c.out = c.out[:0]
}

// drop ends the connection: the dispatcher closed it, or broke the protocol. Work for it stops.
func (c *conn) drop() {
	c.end(invariant.Dropped)
	_ = c.Close() // it may be closed already
}

// reset breaks the connection.
func (c *conn) reset(end invariant.End) {
	_ = c.SetLinger(0) // fails on a closed connection
	c.end(end)
	_ = c.Close() // it may be closed already
}

// end ends what is out on the connection, once. The worker's lock is held. It may come back here: work that stops makes
// room, what then begins may push the machine over, and that ends all connections.
func (c *conn) end(end invariant.End) {
	if c.ended {
		return
	}
	c.ended = true
	w, j := c.k.w, c.job
	c.over(end)
	delete(c.k.conns, c)
	if j != nil && w.machine != nil && w.incarnation == c.k.incarnation {
		w.machine.Drop(j)
		w.step(func(*Machine) {})
	}
}
