// Package peer carries messages between the members of a group of dispatchers: HTTP/1.1 on a listener of its own, requests with an
// answer, and messages without one through a bounded queue for each member. Operators' calls come by the same listener. The package
// knows paths and bytes; what a message means is for the packages that register a Handler.
package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
)

// Limits of the HTTP server and client.
const (
	maxBodyBytes      = 8 << 20                // of a message or an answer
	maxHeaderBytes    = 4 << 10                // of a request
	dialTimeout       = 500 * time.Millisecond // for a connection to a member
	headerTimeout     = time.Second            // for a request's headers
	requestTimeout    = 10 * time.Second       // for a whole request and its answer
	serverIdleTimeout = 2 * time.Minute        // of a connection from a member
	clientIdleTimeout = time.Minute            // of a connection to a member
	maxIdlePerMember  = 2                      // connections to a member that are kept
	maxConnsPerMember = 8                      // connections to and from a member
	maxOperatorConns  = 32                     // further connections, for operators
)

// Options are the settings of a Transport. All functions are called from several goroutines.
type Options struct {
	Group   string   // name of the group
	Self    string   // name of this member
	Members []Member // all members, this one included

	Identity      func() Sender                       // how this member names itself in what it sends
	IsStale       func(name, incarnation string) bool // reports whether a member has begun a later incarnation
	OnUnreachable func(name string)                   // is told of a member that a queued message could not reach

	Log logrus.FieldLogger
}

// Transport sends messages to the members of a group and serves theirs. Handle and HandleOperator have to be called before Serve; all
// other methods are safe for concurrent use. Close ends its goroutines.
type Transport struct {
	Counters Counters

	options Options

	mux       *http.ServeMux
	server    *http.Server // nil before Serve
	serveDone chan error   // the result of the server's goroutine

	client    *http.Client
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	senders   sync.WaitGroup // one goroutine for each queue
	closeOnce sync.Once

	mu     sync.Mutex
	queues map[string]*sendQueue // by member; begun with the first message
}

// NewTransport returns a Transport that can send at once, and receives from Serve on.
func NewTransport(options Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options: options, mux: http.NewServeMux(), serveDone: make(chan error, 1), ctx: ctx, cancel: cancel, queues: map[string]*sendQueue{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:   maxIdlePerMember,
			MaxConnsPerHost:       maxConnsPerMember,
			IdleConnTimeout:       clientIdleTimeout,
			ResponseHeaderTimeout: requestTimeout,
			DisableCompression:    true,
		}},
	}
}

// Serve accepts connections on listener in a goroutine of its own, until Close. Connections over the limit wait.
func (t *Transport) Serve(listener net.Listener) {
	t.server = &http.Server{
		Handler:           t.mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	maxConns := maxConnsPerMember*len(t.options.Members) + maxOperatorConns
	limited := netutil.LimitListener(listener, maxConns)
	go func() { t.serveDone <- t.server.Serve(limited) }()
}

// Close closes the listener and all connections, drops queued messages and waits for the Transport's goroutines. Further calls do
// nothing.
func (t *Transport) Close() {
	t.closeOnce.Do(func() {
		t.cancel()
		if t.server != nil {
			_ = t.server.Close() // closes a listener that is not used any more
			<-t.serveDone
		}
		t.senders.Wait()
		t.client.CloseIdleConnections()
	})
}

// member returns a member of the group by name.
func (t *Transport) member(name string) (member Member, ok bool) {
	i := slices.IndexFunc(t.options.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return t.options.Members[i], true
}
