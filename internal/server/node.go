// Package server starts and stops a dispatcher: its configuration, limits, signals and drain.
package server

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"birchfork/dispatch"
	"birchfork/internal/admin"
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/hotrestart"
)

// How memory and descriptors are shared out.
const (
	memoryShare   = 0.75                   // of the limit, up to which the heap may grow before it is collected at any price
	comeBack      = 200 * time.Millisecond // for those that find no place: silent clients are cut and jobs end meanwhile
	bodyShare     = 1.0 / 8                // of the limit, for bodies over 4 KiB
	otherSockets  = 16                     // descriptors for the listener, discovery, standard streams and the runtime: 8, the rest spare
	otherPart     = 32                     // and one in so many more
	runnerShare   = 0.4                    // of the other descriptors: connections to workers; more clients than that may have to wait
	doorMost      = 32                     // descriptors for connections to the operators' door at the most ...
	doorPart      = 16                     // ... and one in so many: it answers the newest, and cuts the oldest that say nothing
	clientReserve = 0.9                    // of the clients' part; over it requests are turned away, so that their connections go
)

// How we stop, counted from the signal.
const (
	acceptLeast = 600 * time.Millisecond // new clients go on coming, and those that we have go on asking
	acceptPart  = 0.45                   // of the time that is left, in which all is taken as before: see stop
	lingerFor   = 500 * time.Millisecond // then the listener stays open: a client whose connection we closed comes again
	graceMost   = 3 * time.Second        // the platform kills no sooner than the longest deadline, or this ...
	graceSpare  = 700 * time.Millisecond // ... and so much more
	stopSpare   = 250 * time.Millisecond // we answer the last request so much sooner
	closeWithin = 100 * time.Millisecond // for the last answers to be written
	partWithin  = 100 * time.Millisecond // for our part in the group to end in order: its disk may stand still
	yieldQuiet  = 300 * time.Millisecond // beside a process that serves: until idle connections are closed
)

// Times of the service.
const (
	beatEvery  = 50 * time.Millisecond
	readyEvery = 10 * time.Millisecond
	sweepEvery = 20  // beats
	idlePart   = 0.5 // of the time after which a worker closes an idle connection: we close it then
	idleMost   = 30 * time.Second
)

// Run serves until a signal ends it. Signals are heard during a drain too. A module that is not nil decides in place of
// the decision module: a baseline of the lab's.
func Run(c *Config, log *logrus.Logger, module engine.Decider) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	limit(c.Limits)
	n, err := start(c, log, module)
	if err != nil {
		return err
	}
	served := n.served     // nothing but stop ends the server in order, and waits for that itself
	var stopped chan error // set once we drain
	for {
		select {
		case err := <-served:
			n.tell("broken")
			return fmt.Errorf("serving: %w", err)
		case err := <-stopped:
			n.tell("stopped")
			return err
		case s := <-signals:
			switch {
			case s == syscall.SIGUSR1:
				n.tell("counters")
			case s == syscall.SIGHUP:
				n.reload()
			case stopped == nil:
				served, stopped = nil, make(chan error, 1)
				go func() { stopped <- n.stop() }()
			}
		}
	}
}

// limit keeps the runtime within what the platform leaves us.
func limit(l Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(l.memory(memoryShare))
}

// node is a running dispatcher.
type node struct {
	config    *Config
	began     time.Time
	tuned     atomic.Pointer[Config] // what was taken over since the start; nil: nothing
	log       logrus.FieldLogger
	store     *engine.Store
	pool      *engine.Pool
	front     *frontend.Front
	discovery *frontend.Discovery
	server    *http.Server
	served    chan error
	address   net.Addr
	door      *admin.Door               // nil: there is none
	part      part                      // in the operators' group; nil: they have none
	copies    copies                    // of what the group's members keep in common; nil as well
	counts    []func() map[string]int64 // further counters of the group, for the log
	quit      context.CancelFunc        // ends the watch, the ticking and the sharing
	listening chan struct{}             // closed once clients can connect
	listener  *frontend.SharedListener  // nil: nobody may listen beside us
	sharing   sync.WaitGroup

	process  *hotrestart.Process // what other processes of this dispatcher know of us, and we of them
	beside   atomic.Int32        // others that were alive when we looked last
	newer    atomic.Bool         // one of them came after us
	kept     uint64              // the news of the list that was left for others last
	troubled string              // what went wrong with sharing last: said once
}

// copies are what the members of a group keep in common: staff's words on runners.
type copies interface {
	Say(runner string, out bool, at int64) (note string, err error)
	Local(hotrestart.Words) // what this dispatcher's processes were told
	CaughtUp() bool         // with the others, or it has waited long enough
	Close()
}

// part is this process's part in a group of dispatchers.
type part interface {
	Leave()                                       // this process stops soon
	Close()                                       // it takes part no more
	Stretch(deadline, arrive, warm time.Duration) // attempts, and runners until they are warm, may take longer from now on
	Fields() logrus.Fields                        // for the log
}

// start brings a dispatcher up. It serves when start returns, unless another process of this dispatcher does: then it
// listens for clients once it can serve as well.
func start(c *Config, log logrus.FieldLogger, module engine.Decider) (*node, error) {
	n := &node{config: c, began: time.Now(), log: log, served: make(chan error, 1), listening: make(chan struct{}), process: &hotrestart.Process{}}
	n.claim()
	n.beside.Store(int32(n.process.Others().Alive))
	seed := n.seed()
	var err error
	n.store, err = engine.New(engine.Options{
		Settings: c.Settings, Names: c.Names, Seed: seed, MostOpen: c.MostOpen, Log: log, Module: module,
	})
	if err != nil {
		n.process.Close()
		return nil, err
	}
	if c.Operator != nil {
		n.store.Limit(c.Operator.Table, c.Operator.Limits, c.Settings.Classes)
	}
	n.pool = engine.NewPool(c.dialer(), &n.store.Counters, 0, idleLife(c.Settings))
	n.store.OnNews(func(w engine.WorkerNews) { n.pool.Drop(w.Address) })
	// Before any list: where plans are in use nothing is sent before the group is heard of.
	if err := n.takePart(); err != nil {
		n.store.Close()
		n.process.Close()
		return nil, err
	}
	known := n.known()
	n.exchange() // who is out, before any list
	if len(known.Entries) > 0 {
		n.store.News(known)
	}
	clients := &frontend.Clients{Counters: &n.store.Counters}
	n.front = frontend.NewFront(n.store, &frontend.Runners{Pool: n.pool, Counters: &n.store.Counters}, clients)
	n.shareOut()
	n.advise(c.Settings)
	n.server = n.front.Server()
	n.server.ErrorLog = quietLog(log)
	ctx, quit := context.WithCancel(context.Background())
	n.quit = quit
	if err := n.open(ctx); err != nil {
		quit()
		n.closePart()
		n.store.Close()
		n.process.Close()
		return nil, err
	}
	n.discovery = frontend.NewDiscovery(ctx, n.store, log, frontend.Source{
		Address: c.Discovery, Pushed: c.Pushed, Fleet: c.Settings.GroupSize, Known: len(known.Entries) > 0, Index: known.Index, Seed: seed,
	})
	go n.tick(ctx)
	if n.process.Number() != 0 {
		n.sharing.Go(func() { n.share(ctx) })
	}
	for _, u := range c.Unspoken {
		log.Warn(u)
	}
	return n, nil
}

// seed is for random numbers. Guards against two processes side by side that draw alike.
func (n *node) seed() uint64 {
	if n.beside.Load() > 0 {
		return n.config.Seed + uint64(n.process.Number())
	}
	return n.config.Seed
}

// open opens the operators' door and listens for clients.
func (n *node) open(ctx context.Context) error {
	if n.beside.Load() > 0 {
		if err := n.openDoor(); err != nil {
			return err
		}
		go n.listenOnceReady(ctx)
		return nil
	}
	l, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.openDoor(); err != nil {
		l.Close()
		return err
	}
	go func() { n.served <- n.serve(l) }()
	return nil
}

// listen opens the clients' address.
func (n *node) listen() (net.Listener, error) {
	var l net.Listener
	var err error
	if n.config.Admin != "" {
		if n.listener, err = frontend.ListenShared(n.config.Listen); err == nil {
			l = n.listener
		}
	} else {
		l, err = net.Listen("tcp", n.config.Listen)
	}
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	n.address = l.Addr()
	close(n.listening)
	if err := n.process.Serving(); err != nil {
		n.log.WithError(err).Error("other processes of this dispatcher do not hear that this one serves")
	}
	beside := int(n.beside.Load())
	runners, clients, _ := n.config.share(beside + 1)
	n.log.WithFields(logrus.Fields{
		"name": n.config.Name, "listen": n.address.String(), "known": len(n.config.Known.Entries), "clients_most": clients,
		"runners_most": runners, "beside": beside,
	}).Info("serving")
	return l, nil
}

func (n *node) serve(l net.Listener) error { return n.server.Serve(n.front.Clients.Listen(l)) }

// listenOnceReady waits until we know the workers: until then the process beside us has all clients.
func (n *node) listenOnceReady(ctx context.Context) {
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for !n.front.Ready() {
		select {
		case <-ctx.Done():
			n.served <- http.ErrServerClosed
			return
		case <-t.C:
		}
	}
	l, err := n.listen()
	if err != nil {
		n.served <- err
		return
	}
	n.served <- n.serve(l)
}

// dialer opens connections to workers in the time that the settings allow.
func (c *Config) dialer() engine.Dial {
	d := net.Dialer{Timeout: time.Duration(c.Settings.ConnectTimeout) * time.Microsecond, KeepAlive: -1}
	if c.group() != nil {
		d.Control = c.givesUp
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// givesUp has the kernel hold nothing back for a silent link that a runner could get long after the group takes it for clear: a
// connection that is closed, or whose process ends, is reset with what it has not sent, and one whose process stands still
// gives up after the longest deadline.
func (c *Config) givesUp(_, _ string, raw syscall.RawConn) (err error) {
	outer := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.longest().Milliseconds())))
	})
	return errors.Join(outer, err)
}

// idleLife is how long a connection to a worker may stand idle with us.
func idleLife(s dispatch.Settings) time.Duration {
	if s.IdleClose <= 0 {
		return idleMost
	}
	return min(idleMost, time.Duration(math.Round(float64(s.IdleClose)*idlePart))*time.Microsecond)
}

// quietLog keeps what net/http says of single connections off the log's usual level.
func quietLog(l logrus.FieldLogger) *log.Logger { return log.New(debugWriter{l}, "", 0) }

type debugWriter struct{ log logrus.FieldLogger }

func (w debugWriter) Write(b []byte) (int, error) {
	w.log.Debug(string(b))
	return len(b), nil
}

// tick does what is due every now and then.
func (n *node) tick(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.store.Beat()
			if i%sweepEvery == 0 {
				n.pool.Sweep()
			}
		}
	}
}

// tell logs the counters.
func (n *node) tell(what string) {
	open, idle := n.pool.Open()
	group := logrus.Fields{}
	if n.part != nil {
		maps.Copy(group, n.part.Fields())
	}
	for _, fields := range n.counts {
		for name, count := range fields() {
			group["group_"+name] = count
		}
	}
	n.log.WithFields(n.store.Counters.Fields()).WithFields(n.store.LimitFields()).WithFields(group).WithFields(logrus.Fields{
		"open": n.store.Pending(), "runner_conns": open, "runner_conns_idle": idle,
	}).Info(what)
}

// grace is how long after the signal all has to be answered.
func (n *node) grace() time.Duration {
	return min(n.inForce().longest(), graceMost) + graceSpare - stopSpare
}

// accept is how long all is taken as before, out of the time that is left.
func (n *node) accept(grace time.Duration) time.Duration {
	return min(grace, max(acceptLeast, time.Duration(float64(grace)*acceptPart)))
}

// stop drains. Clients that have a connection here go on using it while it stays open, and where all dispatchers are
// restarted one soon after the other they have no other place to go: so at first all is taken and kept as before, only
// that we are not up any more. Then connections are closed as they fall idle, what is held is finished, and what is not
// finished in time ends as failed.
func (n *node) stop() error {
	if err := n.process.Leaving(); err != nil {
		n.log.WithError(err).Error("other processes of this dispatcher do not hear that this one leaves")
	}
	if n.part != nil {
		go n.part.Leave() // the drain does not wait for it
	}
	select {
	case <-n.listening:
	default: // it never had a client, and the process beside it has all: nothing is owed
		n.front.Leave()
		n.log.Info("stopping before it took clients")
		return n.end()
	}
	if n.listener != nil && n.process.Others().Serving {
		return n.yield()
	}
	began := time.Now()
	grace := max(n.grace(), acceptLeast)
	by := began.Add(grace)
	n.front.Leave()
	n.log.WithField("open", n.store.Pending()).Info("stopping")
	time.Sleep(n.accept(grace))
	n.front.Stop()
	n.front.Clients.CutIdle() // new ones are taken still
	quiet := time.Now().Add(lingerFor)
	// A request of which something has come is waited for as well: once its last byte is here it has been taken.
	for time.Now().Before(by) && (time.Now().Before(quiet) || n.store.Pending() > 0 || n.front.Clients.Owing() > 0) {
		time.Sleep(5 * time.Millisecond)
	}
	return n.end()
}

// yield drains where another process of this dispatcher serves: new connections are its own from now on, those that we
// have are closed with the answer that they wait for, and idle ones after a moment. It ends when nothing is owed.
func (n *node) yield() error {
	began := time.Now()
	by := began.Add(n.grace())
	n.front.Stop()
	n.listener.Finish()
	n.log.WithField("open", n.store.Pending()).Info("stopping: another process of this dispatcher serves")
	for quiet := began.Add(yieldQuiet); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		if time.Now().Before(quiet) {
			continue
		}
		n.front.Clients.CutIdle()
		if n.store.Pending() == 0 && n.front.Clients.Owing() == 0 {
			break
		}
	}
	return n.end()
}

// closePart ends our part in the group.
func (n *node) closePart() {
	if n.part != nil {
		n.part.Close()
		if n.copies != nil {
			n.copies.Close()
		}
	}
}

// leavePart ends our part in the group and what processes of this dispatcher share, and waits for no disk that stands still: what
// staff were told is synced, and the rest is left as by a kill.
func (n *node) leavePart() {
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.closePart()
		n.sharing.Wait()
	}()
	select {
	case <-left:
	case <-time.After(partWithin):
		n.log.Warn("this process ends before its part in the group has: the disk takes long")
	}
}

// end answers what is left and closes all.
func (n *node) end() error {
	n.front.Hurry()
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	err := n.server.Shutdown(ctx)
	n.server.Close()          // what has said nothing yet
	n.front.Clients.Wait(ctx) // our end resets what a client has not read
	if n.door != nil {
		n.door.Close(ctx)
	}
	n.quit()
	n.leavePart()
	n.process.Close()
	n.store.Close()
	n.pool.Close()
	if serve := <-n.served; !errors.Is(serve, http.ErrServerClosed) {
		return fmt.Errorf("serving: %w", serve)
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
