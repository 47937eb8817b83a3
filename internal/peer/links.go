// Package peer is who the dispatchers of a group are and what passes between them: HTTP/1.1 of net/http on a listener of
// its own, a bounded queue for each peer. It carries messages for others and knows none of them.
package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
)

// Bounds on what passes.
const (
	maxBodyBytes      = 8 << 20                // bytes of a message or an answer
	maxQueuedMessages = 256                    // messages that wait for a peer
	maxQueuedBytes    = 4 << 20                // ... and their bytes
	sendTimeout       = time.Second            // for a peer to take one
	dialTimeout       = 500 * time.Millisecond // for a connection to come up
	headerTimeout     = time.Second            // for a call's head
	requestTimeout    = 10 * time.Second       // for a whole call and its answer
	retryDelay        = 50 * time.Millisecond  // before the next try at a peer that could not be reached
	maxConnsPerMember = 8                      // connections that a member may hold here
	operatorConns     = 32                     // ... and staff
)

// The headers that say whose a message is.
const (
	groupHeader       = "X-Birchfork-Group"
	clusterHeader     = "X-Birchfork-Founded"
	fromHeader        = "X-Birchfork-From"
	incarnationHeader = "X-Birchfork-Life"
	toHeader          = "X-Birchfork-To"
)

// Member is a member as the operator's file has it.
type Member struct {
	Name    string
	Address string // host:port where it listens for the others
	Zone    string
	Voter   bool
}

// Sender is whose a message is.
type Sender struct {
	Name        string
	Incarnation string
	ClusterID   string // which founding of the group it is in; empty: none yet
}

// RejectedError is a peer's no, in its words.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

// Handler takes a message and returns the answer. An error that is a *Refused is told to the sender.
type Handler func(ctx context.Context, from Sender, body []byte) ([]byte, error)

// Options is all that Links are made of.
type Options struct {
	Group         string
	Self          string
	Members       []Member // all members, ourselves too
	Identity      func() Sender
	IsStale       func(name, life string) bool // tells whether a member has begun another life since that one
	OnUnreachable func(name string)            // a peer cannot be reached
	Log           logrus.FieldLogger
}

// Counters count what passes.
type Counters struct {
	Sent, Lost, Dropped, Accepted, Rejected atomic.Int64
	BytesOut, BytesIn                       atomic.Int64
}

// Values are the counters under the names that log and status use.
func (c *Counters) Values() map[string]int64 {
	return map[string]int64{
		"sent": c.Sent.Load(), "lost": c.Lost.Load(), "dropped": c.Dropped.Load(), "taken": c.Accepted.Load(),
		"refused": c.Rejected.Load(), "bytes_out": c.BytesOut.Load(), "bytes_in": c.BytesIn.Load(),
	}
}

// Transport carry messages between members until Close.
type Transport struct {
	Counters Counters

	options   Options
	server    *http.Server
	mux       *http.ServeMux
	client    *http.Client
	serveDone chan error
	ctx       context.Context
	cancel    context.CancelFunc
	senders   sync.WaitGroup

	closeOnce sync.Once

	mu     sync.Mutex
	queues map[string]*sendQueue
}

type sendQueue struct {
	member      Member
	messages    chan message
	queuedBytes atomic.Int64
}

type message struct {
	path string
	body []byte
}

// NewTransport takes messages on l; Handle says what for, before Serve.
func NewTransport(options Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options: options, mux: http.NewServeMux(), serveDone: make(chan error, 1), ctx: ctx, cancel: cancel, queues: map[string]*sendQueue{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 2, MaxConnsPerHost: maxConnsPerMember,
			IdleConnTimeout: time.Minute, ResponseHeaderTimeout: requestTimeout, DisableCompression: true,
		}},
	}
}

// Serve answers on a listener until Close.
func (t *Transport) Serve(listener net.Listener) {
	t.server = &http.Server{
		Handler: t.mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 4 << 10, ErrorLog: log.New(io.Discard, "", 0),
	}
	listener = netutil.LimitListener(listener, maxConnsPerMember*len(t.options.Members)+operatorConns)
	go func() { t.serveDone <- t.server.Serve(listener) }()
}

// Handle says who takes messages of members at a path.
func (t *Transport) Handle(path string, handler Handler) {
	t.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		from := Sender{Name: r.Header.Get(fromHeader), Incarnation: r.Header.Get(incarnationHeader), ClusterID: r.Header.Get(clusterHeader)}
		if reason := t.rejectionReason(r, from); reason != "" {
			t.Counters.Rejected.Add(1)
			http.Error(w, reason, http.StatusConflict)
			return
		}
		t.serve(w, r, from, handler)
	})
}

// HandleOperator says who takes calls of staff at a path.
func (t *Transport) HandleOperator(path string, handler Handler) {
	t.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, Sender{}, handler) })
}

// rejectionReason says why a message is not for us; empty: it is.
func (t *Transport) rejectionReason(r *http.Request, from Sender) string {
	self := t.options.Identity()
	switch g := r.Header.Get(groupHeader); {
	case g != t.options.Group:
		return fmt.Sprintf("another group: %q, here is %q", g, t.options.Group)
	case r.Header.Get(toHeader) != t.options.Self:
		return fmt.Sprintf("for member %q, here is %q", r.Header.Get(toHeader), t.options.Self)
	case !slices.ContainsFunc(t.options.Members, func(p Member) bool { return p.Name == from.Name }):
		return fmt.Sprintf("%q is no member by our file", from.Name)
	case from.ClusterID != "" && self.ClusterID != "" && from.ClusterID != self.ClusterID:
		return fmt.Sprintf("another founding of the group: %q, here is %q", from.ClusterID, self.ClusterID)
	case t.options.IsStale(from.Name, from.Incarnation):
		return fmt.Sprintf("an earlier life of %s: %q", from.Name, from.Incarnation)
	}
	return ""
}

func (t *Transport) serve(w http.ResponseWriter, r *http.Request, from Sender, handler Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		t.Counters.Rejected.Add(1)
		http.Error(w, "the message did not come whole, or is too long", http.StatusBadRequest)
		return
	}
	t.Counters.Accepted.Add(1)
	t.Counters.BytesIn.Add(int64(len(body)))
	answer, err := handler(r.Context(), from, body)
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		http.Error(w, rejected.Reason, http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Write(answer)
	}
}

func (t *Transport) member(name string) (Member, bool) {
	i := slices.IndexFunc(t.options.Members, func(p Member) bool { return p.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return t.options.Members[i], true
}

// Request sends a message to a member and returns its answer.
func (t *Transport) Request(ctx context.Context, to, path string, body []byte) ([]byte, error) {
	member, ok := t.member(to)
	if !ok {
		return nil, fmt.Errorf("%q is no member by our file", to)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	self := t.options.Identity()
	for name, value := range map[string]string{
		groupHeader: t.options.Group, fromHeader: self.Name, incarnationHeader: self.Incarnation, clusterHeader: self.ClusterID, toHeader: to,
	} {
		req.Header.Set(name, value)
	}
	return do(t.client, req)
}

// do carries a call out and reads its answer.
func do(client *http.Client, req *http.Request) ([]byte, error) {
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	switch {
	case err != nil:
		return nil, err
	case res.StatusCode == http.StatusOK:
		return body, nil
	case res.StatusCode == http.StatusConflict:
		return nil, &RejectedError{string(bytes.TrimSpace(body))}
	}
	return nil, &unavailableError{fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(body))}
}

// unavailableError is a whole answer that says that a message could not be taken just now.
type unavailableError struct{ message string }

func (e *unavailableError) Error() string { return e.message }

// isAnswer tells whether an error came as a whole answer: the peer can be reached.
func isAnswer(err error) bool {
	var rejected *RejectedError
	var unavailable *unavailableError
	return errors.As(err, &rejected) || errors.As(err, &unavailable)
}

// Send sends a message to a member, behind those that wait for it already. It does not wait; what does not fit is lost.
func (t *Transport) Send(to, path string, body []byte) {
	member, ok := t.member(to)
	if !ok {
		return
	}
	t.mu.Lock()
	queue := t.queues[to]
	if queue == nil && t.ctx.Err() == nil {
		queue = &sendQueue{member: member, messages: make(chan message, maxQueuedMessages)}
		t.queues[to] = queue
		t.senders.Go(func() { t.sendLoop(queue) })
	}
	t.mu.Unlock()
	if queue == nil {
		return
	}
	if queue.queuedBytes.Add(int64(len(body))) <= maxQueuedBytes {
		select {
		case queue.messages <- message{path, body}:
			return
		default:
		}
	}
	queue.queuedBytes.Add(-int64(len(body)))
	t.Counters.Dropped.Add(1)
}

// sendLoop sends what waits for one peer, in its order.
func (t *Transport) sendLoop(queue *sendQueue) {
	for {
		var m message
		select {
		case <-t.ctx.Done():
			return
		case m = <-queue.messages:
		}
		queue.queuedBytes.Add(-int64(len(m.body)))
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		_, err := t.Request(ctx, queue.member.Name, m.path, m.body)
		cancel()
		if err == nil {
			t.Counters.Sent.Add(1)
			t.Counters.BytesOut.Add(int64(len(m.body)))
			continue
		}
		t.Counters.Lost.Add(1)
		if isAnswer(err) { // this one alone is lost: it was for another life, say
			continue
		}
		t.options.OnUnreachable(queue.member.Name)
		// What waits is old by now: raft says it again.
		for n := len(queue.messages); n > 0; n-- {
			m := <-queue.messages
			queue.queuedBytes.Add(-int64(len(m.body)))
			t.Counters.Dropped.Add(1)
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// Close ends the links, with what waits.
func (t *Transport) Close() {
	t.closeOnce.Do(func() {
		t.cancel()
		if t.server != nil {
			t.server.Close()
			<-t.serveDone
		}
		t.senders.Wait()
		t.client.CloseIdleConnections()
	})
}
