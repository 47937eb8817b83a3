// Package discovery follows the list of endpoints that discovery serves: watch, poll and backoff.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// propagationDeadline is the platform's word on silence and on calls that came to nothing: whatever became of a call, and however a watch
// fell silent, a change counts as told so long after discovery had it and could be reached.
const propagationDeadline = 6 * time.Second

// timing is how long we wait where discovery says nothing. Its sums are bound by toldWithin, see silent and refused.
type timing struct {
	watchIdle     time.Duration // a watch without a line, which is due every 2 s, is gone
	request       time.Duration // one call: to connect, and for the head of its answer ...
	listBody      time.Duration // ... and so much more for the whole list, where that was asked for
	maxRetryDelay time.Duration // between calls that came to nothing, at the most
	maxBusyDelay  time.Duration // after a call that was turned away, at the most
	congestible   bool          // it has only so much time for calls, one that it does not answer may be one too many
}

// The patience with discovery that is asked over a network, which itself gives up after a second what it cannot carry, and with an agent on our own machine to which lists are pushed. That one
// answers at once and at no cost; it is silent while discovery is down, and what it has counts as told from the moment of its return:
// sends to a runner that drains may go on for 0.5 s then, or what the settings say. Two calls in that time, at the least.
var (
	polledTiming = timing{watchIdle: 2750 * time.Millisecond, request: 1200 * time.Millisecond, listBody: 250 * time.Millisecond,
		maxRetryDelay: 150 * time.Millisecond, maxBusyDelay: 1500 * time.Millisecond, congestible: true}
	pushedTiming = timing{watchIdle: 3 * time.Second, request: 150 * time.Millisecond, listBody: 850 * time.Millisecond, maxRetryDelay: 100 * time.Millisecond,
		maxBusyDelay: 1500 * time.Millisecond}
)

// maxLostRequests is how many calls in a row may come to nothing, and the next one still tells us in time.
const maxLostRequests = 1

// afterSilence is the longest from a watch's last line to the whole list by another call.
func (t timing) afterSilence() time.Duration {
	return t.watchIdle + (maxLostRequests+1)*(t.maxRetryDelay+t.request+t.listBody)
}

// afterBusy is the longest from a call that was turned away to the whole list by a further one.
func (t timing) afterBusy() time.Duration {
	return (maxLostRequests + 1) * (t.maxBusyDelay + t.request + t.listBody)
}

// Times and bounds of the watch.
const (
	initialRetryDelay    = 50 * time.Millisecond
	requestCost          = 200 * time.Millisecond // of discovery for one call, by which a fleet's calls are spread
	minBusyWindow        = 1 * time.Second        // of that spread
	maxBusyDoublings     = 2                      // times that the spread doubles at the most
	maxListBytes         = 8 << 20                // bytes of one list
	maxResponseHeadBytes = 64 << 10               // bytes of an answer\'s head
	maxSinceMs           = 1e14                   // milliseconds: no start is that late
)

// listMessage is the list as discovery words it.
type listMessage struct {
	Index     uint64            `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

type endpointMessage struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   *int    `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"` // whole, but 1.8e12 is a number too
}

// DecodeList decodes one message of discovery. Entries that make no sense are left out and counted in bad; err is set
// where nothing could be read.
func DecodeList(raw []byte) (list engine.EndpointList, badEntries int, err error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return list, 0, fmt.Errorf("the list is not as discovery words it: %w", err)
	}
	list = engine.EndpointList{Version: message.Index, Snapshot: message.Snapshot, Endpoints: make([]engine.Endpoint, 0, len(message.Endpoints))}
	for _, rawEntry := range message.Endpoints {
		var received endpointMessage
		if json.Unmarshal(rawEntry, &received) != nil || received.Name == "" {
			badEntries++
			continue
		}
		entry := engine.Endpoint{
			Name: received.Name, Address: received.Address, Zone: received.Zone, Kind: received.Type, Cell: -1,
			Weight: max(received.Weight, 0), StartedAtMillis: int64(min(max(received.SinceMs, 0), maxSinceMs)),
		}
		if received.Group != nil {
			entry.Cell = *received.Group
		}
		switch received.Status {
		case "up":
			entry.State = dispatch.Ready
		case "removed":
			entry.State = dispatch.Gone
		case "draining":
			entry.State = dispatch.Draining
		default: // whatever it is, it is not known to want jobs
			entry.State = dispatch.Draining
			badEntries++
		}
		if _, _, err := net.SplitHostPort(received.Address); err != nil && entry.State == dispatch.Ready {
			entry.State, entry.Address = dispatch.Draining, "" // nothing can be sent there
			badEntries++
		}
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list, badEntries, nil
}

// EncodeList words a list as discovery does.
func EncodeList(list engine.EndpointList) (json.RawMessage, error) {
	message := listMessage{Index: list.Version, Snapshot: list.Snapshot, Endpoints: make([]json.RawMessage, 0, len(list.Endpoints))}
	for _, entry := range list.Endpoints {
		sent := endpointMessage{
			Name: entry.Name, Address: entry.Address, Zone: entry.Zone, Type: entry.Kind, Weight: entry.Weight, SinceMs: float64(entry.StartedAtMillis),
			Status: map[dispatch.WorkerState]string{dispatch.Ready: "up", dispatch.Draining: "draining", dispatch.Gone: "removed"}[entry.State],
		}
		if entry.Cell >= 0 {
			sent.Group = &entry.Cell
		}
		raw, err := json.Marshal(sent)
		if err != nil {
			return nil, fmt.Errorf("the list: %w", err)
		}
		message.Endpoints = append(message.Endpoints, raw)
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("the list: %w", err)
	}
	return raw, nil
}

// Watcher follows the list at one address, and moves to another without a gap: the old address is watched until the
// new one has told its whole list. It is the watches' one owner; they end with its context.
type Watcher struct {
	Engine *engine.Engine
	Log    logrus.FieldLogger

	ctx       context.Context
	fleetSize int
	pushed    bool

	mu        sync.Mutex
	current   *watch // whose word counts
	successor *watch // takes over with its whole list

	randomMu     sync.Mutex
	randomSource *rand.Rand
}

// random draws from 0 to 1.
func (w *Watcher) random() float64 {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return w.randomSource.Float64()
}

// Source is where the list comes from.
type Source struct {
	Address   string
	Pushed    bool   // it is an agent of our own, which answers at no cost
	FleetSize int    // dispatchers that ask there, about; all are to be carried when they ask together
	HasList   bool   // the store has a list of this source's, ...
	Version   uint64 // ... of this version
	Seed      uint64 // of the waits, another at each dispatcher
}

// NewWatcher follows the list at a source until ctx ends.
func NewWatcher(ctx context.Context, e *engine.Engine, log logrus.FieldLogger, source Source) *Watcher {
	w := &Watcher{Engine: e, Log: log, ctx: ctx, fleetSize: max(source.FleetSize, 1), pushed: source.Pushed, randomSource: rand.New(rand.NewPCG(source.Seed, 2))}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = w.startWatch(source.Address, source.HasList, source.Version)
	return w
}

// MoveTo goes over to another address; it returns at once. An address that was to take over before and has not told its
// list yet is dropped.
func (w *Watcher) MoveTo(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successor != nil {
		w.successor.cancel()
		w.successor = nil
	}
	if address != w.current.address {
		w.successor = w.startWatch(address, false, 0)
	}
}

// Address is where the list that counts comes from.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.address
}

func (w *Watcher) startWatch(address string, hasList bool, version uint64) *watch {
	ctx, cancel := context.WithCancel(w.ctx)
	profile := polledTiming
	if w.pushed {
		profile = pushedTiming
	}
	started := &watch{address: address, watcher: w, timing: profile, cancel: cancel, resume: hasList, hasList: hasList, version: version,
		backoff: backoff{window: time.Duration(w.fleetSize) * requestCost, timing: profile, random: w.random}}
	go started.run(ctx)
	return started
}

// apply takes what a watch was told, if its word counts. An agent that has been told nothing itself has an empty list,
// which must not take the place of a good one.
func (w *Watcher) apply(from *watch, list engine.EndpointList) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from == w.successor && list.Snapshot && len(list.Endpoints) > 0 {
		w.current.cancel()
		w.current, w.successor = from, nil
		w.Engine.Counters.DiscoveryMoves.Add(1)
		w.Log.WithField("discovery", from.address).Info("the list comes from another address now")
	}
	if from != w.current {
		return errors.New("no list to take over with")
	}
	w.Engine.SetWatching(true)
	w.Engine.UpdateEndpoints(list)
	return nil
}

// watchBroken hears that a watch does not stand any more.
func (w *Watcher) watchBroken(broken *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if broken == w.current {
		w.Engine.SetWatching(false)
	}
}

// watch follows the list at one address.
type watch struct {
	timing
	address string
	watcher *Watcher
	cancel  context.CancelFunc
	backoff backoff
	resume  bool // the next call may go on from index

	mu      sync.Mutex // two calls may be open: the watch and the check of its first version
	hasList bool       // the store's list is of this address ...
	version uint64     // ... and of this version
}

var errStaleVersion = errors.New("a version older than the newest came")

var errTooLong = errors.New("the line is too long")

// errNoResponse is a call whose answer did not begin in time, or not at all.
var errNoResponse = errors.New("the answer's head")

// busyError is an answer that says that discovery has more calls than it can take.
type busyError struct {
	status     int
	retryAfter time.Duration // to come back no sooner, as it asks; 0: it does not
}

func (e busyError) Error() string { return "status " + strconv.Itoa(e.status) }

// parseRetryAfter reads Retry-After, in whole or decimal seconds; 0 where it is missing or makes no sense.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// backoff draws the waits between calls. Dispatchers that were cut off together must not come back together: what is too
// much at once stays too much, as calls that waited in vain cost discovery as much as others.
type backoff struct {
	timing
	window        time.Duration // over which the calls of the whole fleet fit
	random        func() float64
	failures      int // failures in a row
	busyResponses int // ... that said that there are too many calls
}

// delay is how long to wait after a call that ended with err; told says that it had brought anything.
func (b *backoff) delay(received bool, err error) time.Duration {
	if received {
		b.failures, b.busyResponses = 0, 0
	}
	var busy busyError
	// One that gives no answer either has more calls than it can take, where that may be: what is given up and asked again at once
	// keeps it from answering any.
	if errors.As(err, &busy) || b.congestible && b.window > propagationDeadline && errors.Is(err, errNoResponse) {
		window := max(b.window, minBusyWindow)
		maxDelay := window << min(b.busyResponses, maxBusyDoublings)
		b.busyResponses++
		// What it asks for is the same for all: the spread comes on top. It may be absurd. Neither may keep us from being told in
		// time, where the calls of the whole fleet fit into that; a larger one would only jam discovery for longer.
		requested, factor := min(busy.retryAfter, window<<maxBusyDoublings), 0.25+0.75*b.random()
		if b.window <= propagationDeadline {
			return min(requested+time.Duration(factor*float64(maxDelay)), time.Duration((0.5+0.5*factor)*float64(b.maxBusyDelay)))
		}
		return requested + time.Duration(factor*float64(maxDelay))
	}
	maxDelay := min(initialRetryDelay<<min(b.failures, 10), b.maxRetryDelay)
	b.failures++
	return time.Duration((0.5 + 0.5*b.random()) * float64(maxDelay))
}

// verifyDelay is how long after a watch was resumed its whole list is asked for: late, as it mostly confirms what is known, and
// a fleet's checks must leave discovery its time for those that know nothing.
func (b *backoff) verifyDelay() time.Duration {
	return time.Duration((0.5 + 0.5*b.random()) * float64(max(b.window, minBusyWindow)<<maxBusyDoublings))
}

// run follows the list until ctx ends. Where the watch breaks or falls silent it begins again, after a wait; the list that
// the store has stays meanwhile.
func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		received, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		var busy busyError
		w.resume = errors.As(err, &busy)
		w.watcher.watchBroken(w)
		w.watcher.Engine.Counters.WatchFailures.Add(1)
		delay := w.backoff.delay(received, err)
		w.watcher.Log.WithError(err).WithFields(logrus.Fields{"discovery": w.address, "again_in": delay}).
			Warn("the watch on discovery broke")
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// follow takes the list and its changes; it tells whether that brought anything. It begins with the whole list, as a
// version that another agent has told, or the same one before it was started again, means nothing. Two exceptions: the
// first watch after our start goes on from the list that we were started with, and one that discovery was too busy for
// from the newest. They need one call in place of two, and see later that their first version meant something.
func (w *watch) follow(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var verifications sync.WaitGroup
	defer verifications.Wait() // guards against the word of a check that comes after the next watch's
	defer cancel()
	w.mu.Lock()
	resumed := w.resume && w.hasList
	w.mu.Unlock()
	if !resumed {
		if received, err = w.fetchSnapshot(ctx, true); !received || !errors.Is(err, io.EOF) {
			return received, err
		}
	}
	w.mu.Lock()
	target := "/discovery/hosts?follow=1&since=" + strconv.FormatUint(w.version, 10)
	w.mu.Unlock()
	first := true
	err = w.readLists(ctx, target, false, func(list engine.EndpointList) error {
		if first && resumed && !list.Snapshot {
			verifications.Go(func() { w.verify(ctx, cancel) })
		}
		err := w.apply(list, first)
		received, first = received || err == nil, false
		return err
	})
	return received, err
}

// fetchSnapshot asks for the whole list; it tells whether one was taken. Where anew is set it counts whatever its version is.
func (w *watch) fetchSnapshot(ctx context.Context, reset bool) (received bool, err error) {
	err = w.readLists(ctx, "/discovery/hosts", true, func(list engine.EndpointList) error {
		list.Snapshot = true
		if reset {
			w.mu.Lock()
			w.version = 0
			w.mu.Unlock()
		}
		err := w.apply(list, true)
		received = received || err == nil
		return err
	})
	return received, err
}

// apply takes a line over. Where it is older than the newest and has to go on from it, the versions meant nothing.
func (w *watch) apply(list engine.EndpointList, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		if first {
			return fmt.Errorf("%w: %d after %d", errStaleVersion, list.Version, w.version)
		}
		return nil // a check has told more meanwhile
	}
	if err := w.watcher.apply(w, list); err != nil {
		return err
	}
	w.hasList, w.version = w.hasList || list.Snapshot, list.Version
	return nil
}

// verify asks for the whole list some time after a watch was resumed, until it has it: nothing else shows that the watch's
// first version meant to this agent what it meant to us. It ends the watch where that is not so.
func (w *watch) verify(ctx context.Context, cancel func()) {
	retries := w.backoff // its own count of failures
	for delay := retries.verifyDelay(); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		received, err := w.fetchSnapshot(ctx, false)
		switch {
		case received:
			return
		case errors.Is(err, errStaleVersion):
			cancel()
		}
		delay = retries.delay(false, err)
	}
}

// readLists sends one request and hands each list of the answer over, until one cannot be read or no line has come for as long as the watch
// may be quiet; an answer that is one list alone has to be there within the time of a call. It returns an error in any case: io.EOF
// where the answer ended in order.
func (w *watch) readLists(ctx context.Context, target string, single bool, handle func(engine.EndpointList) error) error {
	requestDeadline := time.Now().Add(w.request)
	dialer := net.Dialer{Deadline: requestDeadline, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	setDeadline := func(at time.Time) error { return errors.Join(conn.SetDeadline(at), ctx.Err()) }
	if err := setDeadline(requestDeadline); err != nil {
		return err
	}
	request := "GET " + target + " HTTP/1.1\r\nHost: " + w.address + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, maxResponseHeadBytes), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	// The body is left open: closing it would read what is left of a watch. It goes with the connection.
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.watcher.Engine.Counters.DiscoveryBusy.Add(1)
		return busyError{response.StatusCode, parseRetryAfter(response.Header)}
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
	onLine := func() error { return setDeadline(time.Now().Add(w.watchIdle)) }
	if single { // a list that stands on several lines and stops in the middle is no sign of life
		onLine = func() error { return setDeadline(requestDeadline.Add(w.listBody)) }
	}
	if err := onLine(); err != nil {
		return err
	}
	body := &listReader{source: response.Body, onLine: onLine}
	decoder := json.NewDecoder(body) // a list may stand on several lines
	for {
		body.bytesLeft = maxListBytes
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			var syntaxErr *json.SyntaxError
			if errors.As(err, &syntaxErr) {
				w.watcher.Engine.Counters.MalformedUpdates.Add(1) // what it held is missed
			}
			return fmt.Errorf("reading a list: %w", err)
		}
		list, badEntries, err := DecodeList(raw)
		w.watcher.Engine.Counters.MalformedUpdates.Add(int64(badEntries))
		if err != nil {
			w.watcher.Engine.Counters.MalformedUpdates.Add(1)
			return err
		}
		if err := handle(list); err != nil {
			return err
		}
	}
}

// listReader reads an answer of discovery. A line, which may be empty, shows that it lives; bytes that end none do not.
type listReader struct {
	source    io.Reader
	bytesLeft int // bytes until a list is too long
	onLine    func() error
}

func (r *listReader) Read(p []byte) (int, error) {
	if r.bytesLeft <= 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.bytesLeft)])
	r.bytesLeft -= n
	if bytes.IndexByte(p[:n], '\n') >= 0 {
		if deadlineErr := r.onLine(); deadlineErr != nil {
			return 0, deadlineErr
		}
	}
	return n, err
}
