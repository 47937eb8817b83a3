package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/store"
	"birchfork/rules"
)

// Times and bounds of the watch.
const (
	watchDial  = 1 * time.Second
	watchQuiet = 5 * time.Second // an empty line is due every 2 s: on longer silence the watch is gone
	askQuiet   = 1 * time.Second // the whole list comes at once
	retryFirst = 50 * time.Millisecond
	retryMost  = 1 * time.Second // after a move the new list is due within 4 s
	newsMost   = 8 << 20         // bytes of one line
	sinceMost  = 1e14            // milliseconds: no start is that late
)

// hosts is the list as discovery words it.
type hosts struct {
	Index     uint64            `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

type endpoint struct {
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
func DecodeList(raw []byte) (l store.List, bad int, err error) {
	var h hosts
	if err := json.Unmarshal(raw, &h); err != nil {
		return l, 0, fmt.Errorf("the list is not as discovery words it: %w", err)
	}
	l = store.List{Index: h.Index, Whole: h.Snapshot, Entries: make([]store.Entry, 0, len(h.Endpoints))}
	for _, r := range h.Endpoints {
		var e endpoint
		if json.Unmarshal(r, &e) != nil || e.Name == "" {
			bad++
			continue
		}
		n := store.Entry{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, Cell: -1,
			Weight: max(e.Weight, 0), Since: int64(min(max(e.SinceMs, 0), sinceMost)),
		}
		if e.Group != nil {
			n.Cell = *e.Group
		}
		switch e.Status {
		case "up":
			n.State = rules.Ready
		case "removed":
			n.State = rules.Gone
		case "draining":
			n.State = rules.Draining
		default: // whatever it is, it is not known to want jobs
			n.State = rules.Draining
			bad++
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil && n.State == rules.Ready {
			n.State, n.Address = rules.Draining, "" // nothing can be sent there
			bad++
		}
		l.Entries = append(l.Entries, n)
	}
	return l, bad, nil
}

// Discovery follows the list at one address, and moves to another without a gap: the old address is watched until the
// new one has told its whole list. It is the watches' one owner; they end with its context.
type Discovery struct {
	Store *store.Store
	Log   logrus.FieldLogger

	ctx context.Context

	mu   sync.Mutex
	now  *watch // whose word counts
	next *watch // takes over with its whole list
}

// NewDiscovery follows the list at address until ctx ends.
func NewDiscovery(ctx context.Context, s *store.Store, log logrus.FieldLogger, address string) *Discovery {
	d := &Discovery{Store: s, Log: log, ctx: ctx}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = d.watch(address)
	return d
}

// Move goes over to another address; it returns at once. An address that was to take over before and has not told its
// list yet is dropped.
func (d *Discovery) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next != nil {
		d.next.stop()
		d.next = nil
	}
	if address != d.now.address {
		d.next = d.watch(address)
	}
}

// Address is where the list that counts comes from.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now.address
}

func (d *Discovery) watch(address string) *watch {
	ctx, stop := context.WithCancel(d.ctx)
	w := &watch{address: address, of: d, quiet: watchQuiet, stop: stop}
	go w.run(ctx)
	return w
}

// take takes what a watch was told, if its word counts. An agent that has been told nothing itself has an empty list,
// which must not take the place of a good one.
func (d *Discovery) take(w *watch, l store.List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == d.next && l.Whole && len(l.Entries) > 0 {
		d.now.stop()
		d.now, d.next = w, nil
		d.Store.Counters.ListMoves.Add(1)
		d.Log.WithField("discovery", w.address).Info("the list comes from another address now")
	}
	if w != d.now {
		return errors.New("no list to take over with")
	}
	d.Store.News(l)
	return nil
}

// watch follows the list at one address.
type watch struct {
	address string
	of      *Discovery
	quiet   time.Duration // silent for longer it is given up
	stop    context.CancelFunc
}

// run follows the list until ctx ends. Where the watch breaks or falls silent it begins again, backed off; the list that
// the store has stays meanwhile.
func (w *watch) run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		told, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		w.of.Store.Counters.WatchBroke.Add(1)
		if told {
			wait = retryFirst
		}
		w.of.Log.WithError(err).WithFields(logrus.Fields{"discovery": w.address, "again_in": wait}).
			Warn("the watch on discovery broke")
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, retryMost)
	}
}

// follow takes the whole list and then its changes; it tells whether that brought anything. It begins with the whole
// list each time: a version that another agent has told, or the same one before it was started again, means nothing.
func (w *watch) follow(ctx context.Context) (told bool, err error) {
	var index uint64
	err = w.ask(ctx, min(w.quiet, askQuiet), "/discovery/hosts", func(l store.List) error {
		l.Whole, index = true, l.Index
		err := w.of.take(w, l)
		told = err == nil
		return err
	})
	if !errors.Is(err, io.EOF) || !told {
		return told, err
	}
	err = w.ask(ctx, w.quiet, "/discovery/hosts?follow=1&since="+strconv.FormatUint(index, 10), func(l store.List) error {
		return w.of.take(w, l)
	})
	return told, err
}

// ask sends one request and hands each line of the answer over, until one cannot be read or none has come for quiet. It
// returns an error in any case: io.EOF where the answer ended in order.
func (w *watch) ask(ctx context.Context, quiet time.Duration, target string, take func(store.List) error) error {
	d := net.Dialer{Timeout: watchDial, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	alive := func() error { return errors.Join(conn.SetDeadline(time.Now().Add(quiet)), ctx.Err()) }
	if err := alive(); err != nil {
		return err
	}
	req := "GET " + target + " HTTP/1.1\r\nHost: " + w.address + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(req)); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, headMost), nil)
	if err != nil {
		return fmt.Errorf("the answer's head: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewReader(res.Body)
	for {
		line, err := readLine(lines, newsMost)
		if err != nil {
			return fmt.Errorf("reading a line: %w", err)
		}
		if err := alive(); err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		l, bad, err := DecodeList(line)
		w.of.Store.Counters.BadNews.Add(int64(bad))
		if err != nil {
			w.of.Store.Counters.BadNews.Add(1)
			return err // what the line held is missed
		}
		if err := take(l); err != nil {
			return err
		}
	}
}
