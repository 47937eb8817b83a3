package engine

import (
	"context"
	"errors"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/settings"
)

// Job is a request as a front has decoded it.
type Job struct {
	ID     string
	Class  string
	Tenant string // empty: none
	Left   time.Duration
	Slots  int
	Memory float64
	Retry  bool
	Key    string // what the request is about; empty: none
	Method string // this and the next are for the operator's routes
	Path   string
}

// What Open turns away. None of it reaches the module.
var (
	ErrClass  = errors.New("the class is not in the settings")
	ErrTenant = errors.New("the tenant is not in the settings")
	ErrTwice  = errors.New("a request with this id is open, or was of late")
	ErrMany   = errors.New("too many requests are open")
)

// OrderKind tells orders apart.
type OrderKind uint8

// The orders. All but SendOut end the request.
const (
	SendOut OrderKind = iota // Attempt
	Served                   // Result
	Refused                  // RetryAfter
	GivenUp
	TurnedDown // a worker could not use the request: it is at fault itself
)

// Order is what is to be done next for one request.
type Order struct {
	Kind       OrderKind
	Attempt    *Attempt
	Result     []byte
	RetryAfter time.Duration
}

// Request is one open request. Its front takes orders until one ends it, and calls Leave at the end in any case.
type Request struct {
	s        *Store
	id       dispatch.RequestID
	until    time.Time // when its client stops waiting
	orders   chan Order
	attempts []*Attempt
	most     int  // attempts that there is room for among the orders
	final    bool // no answer is owed any more
	hold     hold // what it holds of the operator's limits
}

// Open takes a request in and lets the module decide on it.
func (s *Store) Open(j Job) (*Request, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	class, err := s.names.Class([]byte(settings.Plain(j.Class)))
	if err != nil {
		return nil, ErrClass
	}
	tenant := -1
	if s.names.HasTenants() && j.Tenant != "" {
		if tenant, err = s.names.Tenant([]byte(settings.Plain(j.Tenant))); err != nil {
			return nil, ErrTenant
		}
	}
	if s.mostOpen > 0 && s.open >= s.mostOpen {
		return nil, ErrMany
	}
	// Guards against a stranger who asks under the id of another's request: he gets neither its answer nor its attempts,
	// and no second effect. Clients take a new id for each request.
	if s.lately.has(j.ID) {
		return nil, ErrTwice
	}
	now := s.now()
	held, narrow, err := s.admit(now, &j, class, tenant)
	if err != nil {
		return nil, err
	}
	id, err := s.names.Open([]byte(j.ID))
	if err != nil {
		held.release(now, admission.Neither)
		return nil, ErrTwice
	}
	s.lately.add(j.ID)
	r := &Request{s: s, id: id, until: time.Now().Add(j.Left), orders: make(chan Order, s.attempts+1), most: s.attempts, hold: held}
	for int(id) >= len(s.requests) {
		s.requests = append(s.requests, nil)
	}
	s.requests[id] = r
	s.open++
	s.Counters.Taken.Add(1)
	s.handle(now, &dispatch.Event{
		Kind: dispatch.Arrived, Request: id, Class: class, Tenant: tenant, Left: dispatch.Time(j.Left.Microseconds()),
		Slots: max(j.Slots, 1), Memory: j.Memory, Retry: j.Retry, Narrow: narrow, Key: settings.Key(j.Key),
	})
	return r, nil
}

// Orders is where the module's orders for the request arrive, in their order.
func (r *Request) Orders() <-chan Order { return r.orders }

// Leave says that the front is through with the request. Where no answer had been decided on, its client has gone.
// Attempts that are out go on until they end by themselves or by the module.
func (r *Request) Leave() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if !r.final {
		r.s.Counters.Gone.Add(1)
		r.abandon()
	}
	r.clear()
}

// Fail ends the request, as its time is up or this process ends. It returns the order that answers it: the module's, where that has
// come meanwhile, else a failure, or a refusal where nothing of it can have run.
func (r *Request) Fail() Order {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.final {
		return r.clear()
	}
	r.s.Counters.Overdue.Add(1)
	r.abandon()
	r.clear() // what nobody has begun with never ran
	for _, a := range r.attempts {
		if !a.neverRan {
			return Order{Kind: GivenUp}
		}
	}
	return Order{Kind: Refused}
}

// abandon ends a request that the module has not answered: to the module its client has gone. The lock is held.
func (r *Request) abandon() {
	r.final = true
	r.s.open--
	r.hold.release(r.s.now(), admission.Neither)
	r.s.handle(r.s.now(), &dispatch.Event{Kind: dispatch.ClientGone, Request: r.id})
	r.s.names.NoteFinal(r.id)
	r.s.free(r)
}

// clear takes the orders that are left and returns the final one, if it is among them. Guards against an attempt that
// nobody starts, and so nobody ends. The lock is held.
func (r *Request) clear() (final Order) {
	for {
		select {
		case o := <-r.orders:
			if o.Attempt != nil {
				o.Attempt.ended(dispatch.NotSent, nil)
			} else {
				final = o
			}
		default:
			return final
		}
	}
}

// end gives the final order. The lock is held.
func (r *Request) end(o Order) {
	if r.final {
		return
	}
	r.final = true
	r.s.open--
	r.s.Counters.answered(o.Kind)
	if o.Kind == Refused {
		o.RetryAfter = max(o.RetryAfter, r.hold.comeBack)
	}
	r.hold.ended(r, o.Kind)
	r.orders <- o
	if o.Kind != Served { // an attempt's end notes that one itself
		r.s.names.NoteFinal(r.id)
		r.s.free(r)
	}
}

// free forgets a request whose id nothing can name any more.
func (s *Store) free(r *Request) {
	if s.names.RequestName(r.id) == "" && s.requests[r.id] == r {
		s.requests[r.id] = nil
	}
}

var (
	errCancelled = errors.New("the attempt was cancelled")
	errEnded     = errors.New("the attempt has ended")
)

// Attempt is one attempt of a request at a worker. Whoever carries it out reports its signs of life and its end.
type Attempt struct {
	r      *Request
	number int
	worker dispatch.WorkerID
	addr   string
	since  int64 // the worker's start, as the list told it
	hand   int   // see workerView
	sentAt dispatch.Time
	by     dispatch.Time // its first byte goes out before, or it does not go out; 0: no bound
	began  dispatch.Time // when the job's start was told; 0: it was not
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
	done   bool

	neverRan bool // by its outcome
}

func (r *Request) send(now dispatch.Time, a *dispatch.Action) {
	end := r.until
	if a.Wait > 0 {
		if e := time.Now().Add(time.Duration(a.Wait) * time.Microsecond); e.Before(end) {
			end = e
		}
	}
	if most := r.s.attemptMost; most > 0 {
		if e := time.Now().Add(most); e.Before(end) {
			end = e
		}
	}
	r.s.names.NoteSend(r.id)
	r.hold.sent()
	t := &Attempt{r: r, number: len(r.attempts), worker: a.Worker, sentAt: now, by: a.By}
	if int(a.Worker) < len(r.s.workers) {
		w := &r.s.workers[a.Worker]
		t.addr, t.since, t.hand = w.entry.Address, w.entry.Since, w.hand
		w.flying++
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	t.cancel = cancel
	t.ctx, t.stop = context.WithDeadline(ctx, end)
	r.attempts = append(r.attempts, t)
	r.s.Counters.Sent.Add(1)
	r.orders <- Order{Kind: SendOut, Attempt: t}
}

// Context ends at the attempt's time-out, or when the module cancels it.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled tells whether the module cancelled the attempt.
func (a *Attempt) Cancelled() bool { return errors.Is(context.Cause(a.ctx), errCancelled) }

// Address is where the worker listens.
func (a *Attempt) Address() string { return a.addr }

// Clear tells whether the attempt may still go out: to be asked right before its first byte. Guards against a drain, a
// deadline, or the end of the time in which repeats are dropped, that came while the connection was set up.
func (a *Attempt) Clear() bool {
	s := a.r.s
	s.catchUp(a.ctx)
	if a.ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(a.worker) >= len(s.workers) || a.r.final || a.by > 0 && s.now() >= a.by {
		return false
	}
	w := &s.workers[a.worker]
	return w.ready() && w.out == 0 && s.mayLease(w) && w.entry.Address == a.addr && w.entry.Since == a.since && w.hand == a.hand
}

// Leased tells whether the attempt may go out under the group's lease only: its last byte is then to leave by itself, right
// behind a further look at Clear.
func (a *Attempt) Leased() bool {
	s := a.r.s
	if !s.underLease.Load() {
		return false // where there is no group
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blind || int(a.worker) < len(s.workers) && s.workers[a.worker].leased
}

// Started reports that the job began to run.
func (a *Attempt) Started() { a.sign(dispatch.Event{Kind: dispatch.Started}) }

// Progressed reports the share that is done.
func (a *Attempt) Progressed(share float64) {
	a.sign(dispatch.Event{Kind: dispatch.Progressed, Done: share})
}

func (a *Attempt) sign(e dispatch.Event) {
	s := a.r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.done {
		return
	}
	e.Request, e.Attempt, e.Worker = a.r.id, a.number, a.worker
	now := s.now()
	if e.Kind == dispatch.Started && a.began == 0 {
		a.began = now
	}
	s.handle(now, &e)
}

// Rejected reports that the worker cannot use the request, as it is none. It never ran, no worker is to blame, and no
// other could use it either: the request ends here.
func (a *Attempt) Rejected() {
	r := a.r
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if !r.final {
		r.orders <- Order{Kind: TurnedDown}
		r.abandon()
	}
	a.ended(dispatch.NotSent, nil)
}

// Ended reports the attempt's outcome; answer is the worker's result where it was served. Only the first call counts.
func (a *Attempt) Ended(result dispatch.Result, answer []byte) {
	a.r.s.mu.Lock()
	defer a.r.s.mu.Unlock()
	a.ended(result, answer)
}

func (a *Attempt) ended(result dispatch.Result, answer []byte) {
	if a.done {
		return
	}
	a.done = true
	a.neverRan = result == dispatch.Full || result == dispatch.NotSent || result == dispatch.Unreachable
	a.stop()
	a.cancel(errEnded)
	r, s := a.r, a.r.s
	s.Counters.ended(result)
	s.landed(a, result)
	s.failedInARow(a.worker, result)
	if result == dispatch.OK {
		r.end(Order{Kind: Served, Result: answer})
	}
	now := s.now()
	s.handle(now, &dispatch.Event{
		Kind: dispatch.Ended, Request: r.id, Attempt: a.number, Worker: a.worker, Result: result, Final: r.final,
		Elapsed: now - a.sentAt, Report: dispatch.Report{FreeSlots: -1, Queue: -1},
	})
	s.names.NoteEnd(r.id, r.final)
	s.free(r)
}
