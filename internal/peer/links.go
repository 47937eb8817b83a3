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
	bodyMost   = 8 << 20                // bytes of a message or an answer
	queueMost  = 256                    // messages that wait for a peer
	queueBytes = 4 << 20                // ... and their bytes
	postWait   = time.Second            // for a peer to take one
	dialWait   = 500 * time.Millisecond // for a connection to come up
	headWait   = time.Second            // for a call's head
	callWait   = 10 * time.Second       // for a whole call and its answer
	restAfter  = 50 * time.Millisecond  // before the next try at a peer that could not be reached
	connsEach  = 8                      // connections that a member may hold here
	connsSpare = 32                     // ... and staff
)

// The headers that say whose a message is.
const (
	groupHeader   = "X-Birchfork-Group"
	foundedHeader = "X-Birchfork-Founded"
	fromHeader    = "X-Birchfork-From"
	lifeHeader    = "X-Birchfork-Life"
	toHeader      = "X-Birchfork-To"
)

// Peer is a member as the operator's file has it.
type Peer struct {
	Name  string
	Link  string // host:port where it listens for the others
	Zone  string
	Voter bool
}

// Sender is whose a message is.
type Sender struct {
	Name    string
	Life    string
	Founded string // which founding of the group it is in; empty: none yet
}

// Refused is a peer's no, in its words.
type Refused struct{ Text string }

func (r *Refused) Error() string { return r.Text }

// Handler takes a message and returns the answer. An error that is a *Refused is told to the sender.
type Handler func(ctx context.Context, from Sender, body []byte) ([]byte, error)

// Options is all that Links are made of.
type Options struct {
	Group string
	Self  string
	Peers []Peer // all members, ourselves too
	Who   func() Sender
	Old   func(name, life string) bool // tells whether a member has begun another life since that one
	Lost  func(name string)            // a peer cannot be reached
	Log   logrus.FieldLogger
}

// Counters count what passes.
type Counters struct {
	Sent, Lost, Dropped, Taken, Refused atomic.Int64
	BytesOut, BytesIn                   atomic.Int64
}

// All are the counters under the names that log and status use.
func (c *Counters) All() map[string]int64 {
	return map[string]int64{
		"sent": c.Sent.Load(), "lost": c.Lost.Load(), "dropped": c.Dropped.Load(), "taken": c.Taken.Load(),
		"refused": c.Refused.Load(), "bytes_out": c.BytesOut.Load(), "bytes_in": c.BytesIn.Load(),
	}
}

// Links carry messages between members until Close.
type Links struct {
	Counters Counters

	o      Options
	server *http.Server
	mux    *http.ServeMux
	client *http.Client
	done   chan error
	ctx    context.Context
	quit   context.CancelFunc
	posts  sync.WaitGroup

	closing sync.Once

	mu     sync.Mutex
	queues map[string]*queue
}

type queue struct {
	peer  Peer
	in    chan message
	bytes atomic.Int64
}

type message struct {
	path string
	body []byte
}

// Open takes messages on l; Handle says what for, before Serve.
func Open(o Options) *Links {
	ctx, quit := context.WithCancel(context.Background())
	return &Links{
		o: o, mux: http.NewServeMux(), done: make(chan error, 1), ctx: ctx, quit: quit, queues: map[string]*queue{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, MaxIdleConnsPerHost: 2, MaxConnsPerHost: connsEach,
			IdleConnTimeout: time.Minute, ResponseHeaderTimeout: callWait, DisableCompression: true,
		}},
	}
}

// Serve answers on a listener until Close.
func (l *Links) Serve(on net.Listener) {
	l.server = &http.Server{
		Handler: l.mux, ReadHeaderTimeout: headWait, ReadTimeout: callWait, WriteTimeout: callWait, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 4 << 10, ErrorLog: log.New(io.Discard, "", 0),
	}
	on = netutil.LimitListener(on, connsEach*len(l.o.Peers)+connsSpare)
	go func() { l.done <- l.server.Serve(on) }()
}

// Handle says who takes messages of members at a path.
func (l *Links) Handle(path string, h Handler) {
	l.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		from := Sender{Name: r.Header.Get(fromHeader), Life: r.Header.Get(lifeHeader), Founded: r.Header.Get(foundedHeader)}
		if text := l.foreign(r, from); text != "" {
			l.Counters.Refused.Add(1)
			http.Error(w, text, http.StatusConflict)
			return
		}
		l.answer(w, r, from, h)
	})
}

// HandleStaff says who takes calls of staff at a path.
func (l *Links) HandleStaff(path string, h Handler) {
	l.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { l.answer(w, r, Sender{}, h) })
}

// foreign says why a message is not for us; empty: it is.
func (l *Links) foreign(r *http.Request, from Sender) string {
	who := l.o.Who()
	switch g := r.Header.Get(groupHeader); {
	case g != l.o.Group:
		return fmt.Sprintf("another group: %q, here is %q", g, l.o.Group)
	case r.Header.Get(toHeader) != l.o.Self:
		return fmt.Sprintf("for member %q, here is %q", r.Header.Get(toHeader), l.o.Self)
	case !slices.ContainsFunc(l.o.Peers, func(p Peer) bool { return p.Name == from.Name }):
		return fmt.Sprintf("%q is no member by our file", from.Name)
	case from.Founded != "" && who.Founded != "" && from.Founded != who.Founded:
		return fmt.Sprintf("another founding of the group: %q, here is %q", from.Founded, who.Founded)
	case l.o.Old(from.Name, from.Life):
		return fmt.Sprintf("an earlier life of %s: %q", from.Name, from.Life)
	}
	return ""
}

func (l *Links) answer(w http.ResponseWriter, r *http.Request, from Sender, h Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		l.Counters.Refused.Add(1)
		http.Error(w, "the message did not come whole, or is too long", http.StatusBadRequest)
		return
	}
	l.Counters.Taken.Add(1)
	l.Counters.BytesIn.Add(int64(len(body)))
	out, err := h(r.Context(), from, body)
	var no *Refused
	switch {
	case errors.As(err, &no):
		http.Error(w, no.Text, http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Write(out)
	}
}

func (l *Links) peer(name string) (Peer, bool) {
	i := slices.IndexFunc(l.o.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return l.o.Peers[i], true
}

// Ask sends a message to a member and returns its answer.
func (l *Links) Ask(ctx context.Context, to, path string, body []byte) ([]byte, error) {
	p, ok := l.peer(to)
	if !ok {
		return nil, fmt.Errorf("%q is no member by our file", to)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Link+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	who := l.o.Who()
	for name, v := range map[string]string{
		groupHeader: l.o.Group, fromHeader: who.Name, lifeHeader: who.Life, foundedHeader: who.Founded, toHeader: to,
	} {
		req.Header.Set(name, v)
	}
	return Do(l.client, req)
}

// Do carries a call out and reads its answer.
func Do(c *http.Client, req *http.Request) ([]byte, error) {
	res, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	out, err := io.ReadAll(io.LimitReader(res.Body, bodyMost))
	switch {
	case err != nil:
		return nil, err
	case res.StatusCode == http.StatusOK:
		return out, nil
	case res.StatusCode == http.StatusConflict:
		return nil, &Refused{string(bytes.TrimSpace(out))}
	}
	return nil, &notTaken{fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(out))}
}

// notTaken is a whole answer that says that a message could not be taken just now.
type notTaken struct{ text string }

func (n *notTaken) Error() string { return n.text }

// answered tells whether an error came as a whole answer: the peer can be reached.
func answered(err error) bool {
	var no *Refused
	var not *notTaken
	return errors.As(err, &no) || errors.As(err, &not)
}

// Post sends a message to a member, behind those that wait for it already. It does not wait; what does not fit is lost.
func (l *Links) Post(to, path string, body []byte) {
	p, ok := l.peer(to)
	if !ok {
		return
	}
	l.mu.Lock()
	q := l.queues[to]
	if q == nil && l.ctx.Err() == nil {
		q = &queue{peer: p, in: make(chan message, queueMost)}
		l.queues[to] = q
		l.posts.Go(func() { l.carry(q) })
	}
	l.mu.Unlock()
	if q == nil {
		return
	}
	if q.bytes.Add(int64(len(body))) <= queueBytes {
		select {
		case q.in <- message{path, body}:
			return
		default:
		}
	}
	q.bytes.Add(-int64(len(body)))
	l.Counters.Dropped.Add(1)
}

// carry sends what waits for one peer, in its order.
func (l *Links) carry(q *queue) {
	for {
		var m message
		select {
		case <-l.ctx.Done():
			return
		case m = <-q.in:
		}
		q.bytes.Add(-int64(len(m.body)))
		ctx, cancel := context.WithTimeout(l.ctx, postWait)
		_, err := l.Ask(ctx, q.peer.Name, m.path, m.body)
		cancel()
		if err == nil {
			l.Counters.Sent.Add(1)
			l.Counters.BytesOut.Add(int64(len(m.body)))
			continue
		}
		l.Counters.Lost.Add(1)
		if answered(err) { // this one alone is lost: it was for another life, say
			continue
		}
		l.o.Lost(q.peer.Name)
		// What waits is old by now: raft says it again.
		for n := len(q.in); n > 0; n-- {
			m := <-q.in
			q.bytes.Add(-int64(len(m.body)))
			l.Counters.Dropped.Add(1)
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(restAfter):
		}
	}
}

// Close ends the links, with what waits.
func (l *Links) Close() {
	l.closing.Do(func() {
		l.quit()
		if l.server != nil {
			l.server.Close()
			<-l.done
		}
		l.posts.Wait()
		l.client.CloseIdleConnections()
	})
}
