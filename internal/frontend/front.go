// Package frontend speaks the platform's protocol: HTTP from clients, to workers and to discovery. Each message becomes a
// small typed value once. It decides nothing: what is sent where, repeated or refused comes as orders from the store.
package frontend

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"birchfork/internal/engine"
)

// Bounds on what a client may send, and times.
const (
	bodyMost     = 64 << 10
	bodyFree     = 4 << 10 // of a body that need no place: connections bound them
	headerMost   = 8 << 10
	idMost       = 256
	targetMost   = 4 << 10
	valueMost    = 1 << 10
	deadlineMost = time.Hour
	slotsMost    = 1 << 20
	answerSpare  = 3 * time.Millisecond // kept for the answer's way to the client, whose time runs since it sent
	freshWait    = 1 * time.Second      // for discovery's first word, before we serve by the old list
)

// What a client may take; tests shorten it.
var (
	writeWait   = 2 * time.Second         // to take its answer
	requestWait = 2500 * time.Millisecond // to send a request, from connecting or its first byte on, however it drips
)

// idleWait is for a client's next request.
const idleWait = 5 * time.Minute

// Front serves clients. It is an http.Handler.
type Front struct {
	Store   *engine.Store
	Runners *Runners
	Clients *Clients
	Bodies  Budget // for what bodies hold in memory

	comeBack   atomic.Int64 // see Advise
	mostAdvice atomic.Int64
	born       time.Time
	leaving    atomic.Bool
	stopping   atomic.Bool
	hurry      chan struct{} // closed when all that is open has to end
}

// NewFront returns a front for the requests of s.
func NewFront(s *engine.Store, r *Runners, c *Clients) *Front {
	return &Front{Store: s, Runners: r, Clients: c, born: time.Now(), hurry: make(chan struct{})}
}

// Advise sets when one may come back whom a limit has left no place, and the longest advice that the settings allow; 0
// where they allow none.
func (f *Front) Advise(comeBack, most time.Duration) {
	f.comeBack.Store(int64(min(comeBack, most)))
	f.mostAdvice.Store(int64(most))
}

// Server returns the HTTP server that the front stands on, for connections that Clients knows.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f, ConnContext: withConn, ReadHeaderTimeout: requestWait, ReadTimeout: requestWait, IdleTimeout: idleWait,
		MaxHeaderBytes: headerMost, DisableGeneralOptionsHandler: true, // else net/http answers some by itself and keeps them
	}
}

// Leave makes the front say that it is not up any more; it serves as before.
func (f *Front) Leave() { f.leaving.Store(true) }

// Stop makes the front keep no connection any more.
func (f *Front) Stop() {
	f.Leave()
	f.stopping.Store(true)
}

// Stopping tells whether it does.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// Hurry ends all that is open with a failure.
func (f *Front) Hurry() { close(f.hurry) }

// Up tells whether we can serve: some worker is up, and discovery has told so since our start. Where discovery is
// silent the list kept from before has to do after a while.
func (f *Front) Up() bool {
	some, _ := f.Store.Ready()
	return some && f.Ready()
}

// Ready tells whether this process can serve: it knows the workers, from discovery or from before, and does not leave.
// Unlike Up it does not ask whether one of them is up.
func (f *Front) Ready() bool {
	_, fresh := f.Store.Ready()
	return (fresh || time.Since(f.born) > freshWait) && !f.leaving.Load()
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	counters := &f.Store.Counters
	switch {
	case connOf(r.Context()).misframed():
		f.turnDown(w, r, &badRequest{http.StatusBadRequest, "its length is given in two ways", &counters.BadFraming})
	case r.URL.Path == "/up" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		status := http.StatusOK
		if !f.Up() {
			status = http.StatusServiceUnavailable
		}
		f.reply(w, r, status, nil, false)
	case r.Method != http.MethodPost:
		f.turnDown(w, r, &badRequest{http.StatusMethodNotAllowed, "jobs come by POST", &counters.BadMethods})
	default:
		f.serveJob(w, r)
	}
}

// serveJob is the life of one request, from its body to its release.
func (f *Front) serveJob(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	job, c, err := f.readJob(r)
	if err != nil {
		f.turnDown(w, r, err)
		return
	}
	defer c.release()
	end := came.Add(job.Left - answerSpare)
	job.Left = time.Until(end)
	switch {
	case c.client.gone():
		f.Store.Counters.GoneEarly.Add(1)
		leave()
	case f.Clients.Over():
		f.turnDown(w, r, errNoPlace)
		return
	}
	req, err := f.Store.Open(job)
	if err != nil {
		f.turnDown(w, r, err)
		return
	}
	defer req.Leave()
	// Guards against an answer that the module owes and does not give; it ends requests a little earlier by itself.
	overdue := time.NewTimer(time.Until(end) + answerSpare)
	defer overdue.Stop()
	for {
		var o engine.Order
		// First what ends the request: of several that are ready the next select takes any, and nothing is sent on past its end.
		select {
		case <-r.Context().Done():
			leave()
		case <-f.hurry:
			o = req.Fail()
		default:
			select {
			case o = <-req.Orders():
			case <-r.Context().Done():
				leave()
			case <-f.hurry:
				o = req.Fail()
			case <-overdue.C:
				o = req.Fail()
			}
		}
		switch o.Kind {
		case engine.SendOut:
			c.hold()
			go func() {
				defer c.release()
				f.Runners.attempt(o.Attempt, c)
			}()
			continue
		case engine.Served:
			f.answer(w, r, http.StatusOK, o.Result)
		case engine.Refused:
			retryAfter(w, o.RetryAfter)
			f.answer(w, r, http.StatusServiceUnavailable, []byte("refused\n"))
		case engine.GivenUp:
			f.answer(w, r, http.StatusInternalServerError, []byte("failed\n"))
		case engine.TurnedDown:
			f.turnDown(w, r, &badRequest{http.StatusBadRequest, "a worker cannot use it", &f.Store.Counters.Rejected})
		}
		return
	}
}

// leave ends the service of a request whose client has gone: the connection is closed with nothing written. Guards against the empty
// answer with status 200 that net/http writes for a handler that wrote none: a client that has ended its sending alone would take it
// for a result.
func leave() { panic(http.ErrAbortHandler) }

// answer writes a final answer.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	if f.reply(w, r, status, body, false) != nil {
		f.Store.Counters.Unwritten.Add(1)
	}
}

// badRequest says what is wrong with a request, and where that is counted.
type badRequest struct {
	status int
	why    string
	count  *atomic.Int64
}

func (b *badRequest) Error() string { return b.why }

// errNoPlace refuses a request that a limit leaves no place for.
var errNoPlace = errors.New("no place left")

// turnDown answers what never ran. The connection is closed, as what is behind a request that cannot be read is no next
// request, and nobody asks again at once on the same one.
func (f *Front) turnDown(w http.ResponseWriter, r *http.Request, err error) {
	c := &f.Store.Counters
	var bad *badRequest
	var limited *engine.Limited
	switch {
	case errors.As(err, &bad):
	case errors.Is(err, errNoPlace), errors.Is(err, engine.ErrMany):
		c.TurnedAway.Add(1)
		retryAfter(w, time.Duration(f.comeBack.Load()))
		f.reply(w, r, http.StatusServiceUnavailable, []byte("no place left\n"), true)
		return
	case errors.As(err, &limited): // its connection stays: it has done nothing wrong, and asks again on it
		retryAfter(w, min(limited.ComeBack, time.Duration(f.mostAdvice.Load())))
		f.reply(w, r, http.StatusServiceUnavailable, []byte(err.Error()+"\n"), false)
		return
	case errors.Is(err, engine.ErrClass):
		bad = &badRequest{http.StatusNotFound, err.Error(), &c.BadClasses}
	case errors.Is(err, engine.ErrTwice):
		bad = &badRequest{http.StatusBadRequest, err.Error(), &c.BadIDs}
	default:
		bad = &badRequest{http.StatusBadRequest, err.Error(), &c.BadHeads}
	}
	c.BadRequests.Add(1)
	bad.count.Add(1)
	f.reply(w, r, bad.status, []byte(bad.why+"\n"), true)
}

func retryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
}

// reply writes an answer. A client that does not take it holds its connection for a bounded time only.
func (f *Front) reply(w http.ResponseWriter, r *http.Request, status int, body []byte, last bool) error {
	conn := connOf(r.Context())
	if conn.answer(last || f.stopping.Load()) {
		w.Header().Set("Connection", "close")
	}
	defer conn.answered()
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeWait))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return control.Flush() // else what goes wrong with a short answer would show after our return
}

// passedOn are the headers of a client that go on to workers as they came, beside the id. Idempotency-Key is the standard name of what
// workers drop repeats of a guarded class by: without it a repeat would be another job to them.
var passedOn = []string{"Content-Type", "Idempotency-Key", "X-Class", "X-Tenant", "X-Key"}

// readJob reads a whole request and decodes it. The call that it returns is to be released.
func (f *Front) readJob(r *http.Request) (job engine.Job, c *call, err error) {
	counters := &f.Store.Counters
	job, err = readHead(r)
	if err != nil {
		return job, nil, err
	}
	job.Method, job.Path, job.Key = r.Method, r.URL.Path, r.Header.Get("X-Key")
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	if !plain(target, targetMost) {
		return job, nil, errors.New("the path is no plain word of 4096 characters at most")
	}
	c = &call{method: r.Method, target: target, id: job.ID, client: connOf(r.Context()), budget: &f.Bodies}
	for _, name := range passedOn {
		if v := r.Header.Get(name); v != "" {
			if !plain(strings.ReplaceAll(v, " ", "_"), valueMost) {
				return job, nil, errors.New(name + ": it is no plain text of 1024 characters at most")
			}
			c.headers = append(append(append(append(c.headers, name...), ": "...), v...), "\r\n"...)
		}
	}
	c.hold()
	if err := c.readBody(r); err != nil {
		c.release()
		switch {
		case errors.Is(err, errLongBody):
			err = &badRequest{http.StatusRequestEntityTooLarge, err.Error(), &counters.BadSizes}
		case !errors.Is(err, errNoPlace):
			err = &badRequest{http.StatusBadRequest, "the body did not come whole", &counters.BadBodies}
		}
		return job, nil, err
	}
	if !connOf(r.Context()).take() {
		c.release()
		return job, nil, &badRequest{http.StatusBadRequest, "more came than its length", &counters.BadFraming}
	}
	return job, c, nil
}

// plain tells whether a text is safe to hand on in a head: a worker ends the connection on what it cannot read.
func plain(v string, most int) bool {
	return len(v) <= most && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// readHead decodes a request's head.
func readHead(r *http.Request) (job engine.Job, err error) {
	one := func(name string, needed bool) string {
		v := r.Header.Values(name)
		if err == nil && (len(v) > 1 || needed && (len(v) == 0 || v[0] == "")) {
			err = errors.New(name + ": one value is needed")
		}
		if len(v) == 0 {
			return ""
		}
		return v[0]
	}
	job.ID, job.Class, job.Tenant = one("X-Request-Id", true), one("X-Class", true), one("X-Tenant", false)
	ms, extras := one("X-Deadline-Ms", true), one("X-Extras", false)
	job.Retry = one("X-Retry", false) == "1"
	if err != nil {
		return job, err
	}
	if !plain(job.ID, idMost) {
		return job, errors.New("X-Request-Id: it is no plain word of 256 characters at most")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != job.Class {
		return job, errors.New("the path does not begin with the class")
	}
	n, err := strconv.ParseUint(ms, 10, 32)
	if err != nil || n < 1 || n > uint64(deadlineMost.Milliseconds()) {
		return job, errors.New("X-Deadline-Ms: it is not a number of milliseconds from 1 to an hour")
	}
	job.Left = time.Duration(n) * time.Millisecond
	return job, readExtras(&job, extras)
}

// readExtras reads the further figures that a job has. Those that nothing here uses are passed over.
func readExtras(job *engine.Job, extras string) error {
	job.Slots = 1
	if extras == "" {
		return nil
	}
	for one := range strings.SplitSeq(extras, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(one), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return errors.New("X-Extras: it is not name=value,name=value")
		}
		switch {
		case name == "slots" && (v < 1 || v > slotsMost || v != math.Trunc(v)):
			return errors.New("X-Extras: slots is not a whole number from 1")
		case name == "memory" && (v < 0 || v > slotsMost):
			return errors.New("X-Extras: memory is out of range")
		case name == "slots":
			job.Slots = int(v)
		case name == "memory":
			job.Memory = v
		}
	}
	return nil
}
