// Package peer transports messages between the members of a group of dispatchers over HTTP/1.1 on a separate listener: requests with an
// answer, and messages without an answer through a bounded queue for each member. The listener also accepts operators' calls. The package
// handles only paths and bytes; the packages that register a Handler define the messages.
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
	dialTimeout       = 500 * time.Millisecond // for connecting to a member
	headerTimeout     = time.Second            // for reading a request's headers
	requestTimeout    = 10 * time.Second       // for a request and its answer together
	serverIdleTimeout = 2 * time.Minute        // of a connection from a member
	clientIdleTimeout = time.Minute            // of a connection to a member
	maxIdlePerMember  = 2                      // idle connections to each member
	maxConnsPerMember = 8                      // connections to each member; the listener accepts the same number for each member
	maxOperatorConns  = 32                     // additional connections, for operators
)

// Options are the settings of a Transport. Their functions are called from several goroutines.
type Options struct {
	Group   string   // name of the group
	Self    string   // name of this member
	Members []Member // all members, this one included

	Identity          func() Sender                       // returns the identity that this process sends in its messages
	IsPastIncarnation func(name, incarnation string) bool // reports whether a member has begun a later incarnation
	OnUnreachable     func(name string)                   // called with the name of a member for which sending a queued message failed

	Log logrus.FieldLogger
}

// Transport sends messages to the members of a group and serves their messages. Handle and HandleOperator must be called before Serve;
// all other methods are safe for concurrent use. Close stops its goroutines.
type Transport struct {
	Counters Counters

	options Options

	mux       *http.ServeMux
	server    *http.Server // nil before Serve
	serveDone chan error   // the only result of server.Serve

	client    *http.Client
	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	senders   sync.WaitGroup // one goroutine for each queue
	closeOnce sync.Once

	mu     sync.Mutex
	queues map[string]*sendQueue // by member; each is created with the first message
}

// NewTransport returns a Transport that can send at once. It receives only after Serve.
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

// Serve accepts connections on listener in a separate goroutine until Close. Connections over the limit wait to be accepted.
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

// Close closes the listener and all connections, drops queued messages and waits for the Transport's goroutines. Further calls have no
// effect.
func (t *Transport) Close() {
	t.closeOnce.Do(func() {
		t.cancel()
		if t.server != nil {
			_ = t.server.Close() // an error of closing the listener has no effect: the listener is not used again
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
