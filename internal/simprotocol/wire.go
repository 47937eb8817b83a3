// Package simprotocol is the codec of the bench's wire: it reads batches of events for many dispatchers, turns names into
// ids, and writes the actions back. It decides nothing.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// MsgKind tells what a line of the input asks of the host.
type MsgKind uint8

// The messages.
const (
	BatchBegin MsgKind = iota // Now
	BatchEnd
	InstanceStart // Instance, Settings, Seed
	InstanceStop  // Instance
	InstanceEvent // Instance, Event
)

// Msg is one message for the host. Event and what it points to are valid until the next Read.
type Msg struct {
	Kind     MsgKind
	Now      dispatch.Time
	Instance int
	Settings dispatch.Settings
	Seed     uint64
	Event    *dispatch.Event
}

// pools is how many numbered worker lists the wire has.
const pools = 16

type poolRow struct {
	worker, zone, kind string
	cell               int
	weight             float64
	state              dispatch.State
	startedAt          dispatch.Time
}

// Reader reads messages. It keeps the names of each instance, which Writer shares.
type Reader struct {
	in        *bufio.Reader
	line      int
	long      []byte
	inBatch   bool
	current   int // instance of the lines to come, -1: none
	names     map[int]*settings.Names
	freeSlots map[int]string // the report value that tells free slots, by instance
	pool      [pools][]poolRow
	havePool  [pools]bool
	event     dispatch.Event
	list      []dispatch.Worker
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in: bufio.NewReaderSize(in, 1<<18), current: -1,
		names: map[int]*settings.Names{}, freeSlots: map[int]string{},
	}
}

// Line is the number of the line read last.
func (r *Reader) Line() int { return r.line }

// readLine returns the next line without its end. The last line of the input may lack one.
func (r *Reader) readLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = r.in.ReadSlice('\n')
			r.long = append(r.long, b...)
		}
		b = r.long
	}
	if err != nil && !(errors.Is(err, io.EOF) && len(b) > 0) {
		return nil, err
	}
	r.line++
	return bytes.TrimSuffix(b, []byte{'\n'}), nil
}

// Read returns the next message, io.EOF when the input has ended between two batches, or an error that says what is
// wrong with the line that Line tells.
func (r *Reader) Read(m *Msg) error {
	for {
		b, err := r.readLine()
		if errors.Is(err, io.EOF) {
			if r.inBatch {
				return errors.New("the input ended inside a batch")
			}
			return io.EOF
		}
		if err != nil {
			return fmt.Errorf("reading the input: %w", err)
		}
		name, rest, _ := bytes.Cut(b, []byte{'\t'})
		f := fields{rest: rest, end: len(name) == len(b)}
		known, err := r.message(name, &f, m)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if known {
			return nil
		}
	}
}

// message reads one line; it reports false where the line holds nothing for the host.
func (r *Reader) message(name []byte, f *fields, m *Msg) (bool, error) {
	if string(name) == "BATCH" {
		if r.inBatch {
			return false, errors.New("the last batch has not ended")
		}
		m.Kind, m.Now = BatchBegin, f.time("clock")
		r.inBatch, r.current = true, -1
		return true, f.done()
	}
	if !r.inBatch {
		return false, errors.New("it stands outside a batch")
	}
	switch string(name) {
	case "FLUSH":
		m.Kind, r.inBatch = BatchEnd, false
		return true, f.done()
	case "ON":
		r.current = int(f.whole("i", 0, 1<<30, -1))
		return false, f.done()
	case "POOL":
		return false, r.readPool(f)
	case "ROW":
		return false, errors.New("it stands outside a pool")
	}
	if r.current < 0 {
		return false, errors.New("no instance is set")
	}
	m.Instance = r.current
	if string(name) == "POWER_ON" {
		return true, r.start(f, m)
	}
	n := r.names[r.current]
	if n == nil {
		return false, fmt.Errorf("instance %d has not started", r.current)
	}
	if string(name) == "CRASH_NOW" {
		m.Kind = InstanceStop
		delete(r.names, r.current)
		return true, f.done()
	}
	m.Kind, m.Event = InstanceEvent, &r.event
	return r.readEvent(name, f, n)
}

func (r *Reader) start(f *fields, m *Msg) error {
	if r.names[r.current] != nil {
		return fmt.Errorf("instance %d runs already", r.current)
	}
	seed, err := strconv.ParseUint(string(f.text("prng")), 10, 64)
	if err != nil && f.err == nil {
		return errors.New("prng: not a whole number")
	}
	if f.err != nil {
		return f.err
	}
	p, err := settings.ParsePairs(f.rest)
	if err != nil {
		return err
	}
	n := settings.NewNames()
	m.Kind, m.Seed = InstanceStart, seed
	if m.Settings, err = settings.Decode(p, n); err != nil {
		return err
	}
	r.names[r.current] = n
	r.freeSlots[r.current] = ""
	for _, x := range []string{"x0", "x1"} {
		if p.Text("extra.report_"+x, "") == "free_slots" {
			r.freeSlots[r.current] = x
		}
	}
	return nil
}

func (r *Reader) readPool(f *fields) error {
	page := f.whole("page", 0, pools-1, -1)
	rows := f.whole("rows", 0, 1<<20, -1)
	if err := f.done(); err != nil {
		return err
	}
	list := r.pool[page][:0]
	for range rows {
		b, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return errors.New("the input ended inside a pool")
		}
		if err != nil {
			return err
		}
		name, rest, _ := bytes.Cut(b, []byte{'\t'})
		if string(name) != "ROW" {
			return fmt.Errorf("a ROW is due, not %q", name)
		}
		rf := fields{rest: rest}
		row := poolRow{worker: string(rf.text("runner")), zone: string(rf.next("az")), kind: string(rf.next("sku"))}
		row.cell = int(rf.whole("group", -1, 1<<30, -1))
		switch mode := rf.next("mode"); string(mode) {
		case "healthy":
			row.state = dispatch.Ready
		case "cordoned":
			row.state = dispatch.Draining
		case "deregistered":
			row.state = dispatch.Gone
		default:
			rf.fail(fmt.Errorf("mode: %q is unknown", mode))
		}
		row.weight = rf.number("heft", 0)
		row.startedAt = rf.time("ready_at")
		if err := rf.done(); err != nil {
			return fmt.Errorf("ROW: %w", err)
		}
		list = append(list, row)
	}
	r.pool[page], r.havePool[page] = list, true
	return nil
}

// readEvent fills r.event. It reports false for events that no dispatcher here has a use for.
func (r *Reader) readEvent(name []byte, f *fields, n *settings.Names) (bool, error) {
	e := &r.event
	*e = dispatch.Event{Tenant: -1, Workers: r.list[:0]}
	switch string(name) {
	case "QUERY":
		return true, r.readQuery(f, n)
	case "CLOSED_ATTEMPT":
		e.Kind = dispatch.Ended
		known := r.request(f, n)
		e.Attempt = int(f.whole("try", 0, 1<<20, -1))
		e.Worker = n.KnownWorker(f.text("runner"))
		e.Result = result(f.whole("state_code", 0, 1<<30, -1))
		e.Elapsed = f.time("spent")
		e.Final = f.flag("closed")
		f.next("remark")
		r.report(f)
		if f.done() == nil && known {
			n.NoteEnd(e.Request, e.Final)
		}
		return known, f.err
	case "CHANGE":
		known := r.request(f, n)
		what := f.whole("what", 0, 1<<30, 0)
		e.Worker = n.KnownWorker(f.text("runner"))
		e.Attempt = int(f.whole("try", 0, 1<<20, -1))
		e.Done = f.number("level", 0)
		e.Kind = dispatch.Started
		if what == 2 {
			e.Kind = dispatch.Progressed
		}
		return known && (what == 1 || what == 2), f.done()
	case "FIRST_BYTE":
		e.Kind = dispatch.AnswerBegan
		known := r.request(f, n)
		e.Attempt = int(f.whole("try", 0, 1<<20, -1))
		e.Elapsed = f.time("spent")
		e.Worker = n.KnownWorker(f.text("runner"))
		return known, f.done()
	case "GONE":
		e.Kind = dispatch.ClientGone
		known := r.request(f, n)
		if f.done() == nil && known {
			n.NoteFinal(e.Request)
		}
		return known, f.err
	case "WAKEUP":
		e.Kind = dispatch.TimerFired
		f.text("handle")
		return true, f.done()
	case "PROBE_DONE":
		f.time("spent") // nobody here probes
		f.whole("state_code", 0, 1<<30, -1)
		f.text("runner")
		r.report(f)
		return false, f.done()
	case "MEMBERSHIP":
		return true, r.readMembership(f, n)
	case "DATAGRAM":
		e.Kind = dispatch.Heard
		e.Peer = int(f.whole("src_peer", 0, 1<<30, -1))
		raw := f.next("raw")
		if err := f.done(); err != nil {
			return false, err
		}
		var known bool
		e.Note, known = readNote(raw)
		return known, nil
	}
	return false, errors.New("the message is unknown")
}

// request reads a request's id and reports whether it is open here.
func (r *Reader) request(f *fields, n *settings.Names) bool {
	id, ok := n.Request(f.text("tid"))
	r.event.Request = id
	return ok
}

func result(code int64) dispatch.Result {
	if code >= int64(dispatch.UnknownResult) {
		return dispatch.UnknownResult
	}
	return dispatch.Result(code) // the wire numbers them alike
}

func (r *Reader) readQuery(f *fields, n *settings.Names) error {
	e := &r.event
	e.Kind = dispatch.Arrived
	tid := f.text("tid")
	e.Retry = f.flag("resent")
	tenant, class := f.next("billing"), f.text("kind")
	e.Work = f.time("work")
	e.Left = f.time("left")
	if k, ok := settings.ParseInt(f.next("target_key")); ok && k >= 0 {
		e.Key = uint64(k) + 1 // 0 is none
	}
	f.flag("write")
	f.flag("returned")
	e.Memory = f.number("mem_needed", 0)
	e.Slots = int(f.whole("needs", 0, 1<<20, 1))
	if err := f.done(); err != nil {
		return err
	}
	var err error
	if e.Class, err = n.Class(class); err != nil {
		return err
	}
	if n.HasTenants() && string(tenant) != "0" && !settings.Absent(tenant) {
		if e.Tenant, err = n.Tenant(tenant); err != nil {
			return err
		}
	}
	e.Slots = max(e.Slots, 1)
	e.Request, err = n.Open(tid)
	return err
}

func (r *Reader) readMembership(f *fields, n *settings.Names) error {
	e := &r.event
	mode := f.text("mode")
	page := f.whole("page", 0, pools-1, 0)
	if v, ok := settings.ParseInt(f.next("stamp")); ok && v > 0 {
		e.Version = uint64(v)
	}
	if err := f.done(); err != nil {
		return err
	}
	switch string(mode) {
	case "whole":
		e.Kind = dispatch.ListSnapshot
	case "stale_copy":
		e.Kind, e.Stale = dispatch.ListSnapshot, true
	case "patch":
		e.Kind = dispatch.ListChange
	case "broken":
		e.Kind = dispatch.ListLost
		return nil
	default:
		return fmt.Errorf("mode: %q is unknown", mode)
	}
	if !r.havePool[page] {
		return fmt.Errorf("page: list %d has not been sent", page)
	}
	for _, row := range r.pool[page] {
		w := dispatch.Worker{
			ID: n.Worker(row.worker), Cell: row.cell, State: row.state, StartedAt: row.startedAt, Weight: row.weight,
		}
		w.Tag = n.WorkerTag(w.ID)
		w.Zone, w.Kind = n.Zone(row.zone), n.Kind(row.kind)
		e.Workers = append(e.Workers, w)
	}
	r.list = e.Workers
	return nil
}

// report reads a load report: name:value pairs set apart by commas.
func (r *Reader) report(f *fields) {
	rep := &r.event.Report
	*rep = dispatch.Report{FreeSlots: -1, Queue: -1}
	v := f.next("server_stats")
	if f.err != nil || len(v) == 0 || settings.Absent(v) {
		return
	}
	for len(v) > 0 {
		var one []byte
		one, v, _ = bytes.Cut(v, []byte{','})
		name, value, ok := bytes.Cut(one, []byte{':'})
		x, good := settings.ParseNumber(value)
		if !ok || !good {
			f.fail(fmt.Errorf("server_stats: %q is not name:value", one))
			return
		}
		rep.Known = true
		switch {
		case string(name) == r.freeSlots[r.current]:
			rep.FreeSlots = max(x, 0)
		case string(name) == "pending":
			rep.Queue = max(x, 0)
		}
	}
}

// Names returns the names of a started instance.
func (r *Reader) Names(instance int) *settings.Names { return r.names[instance] }

// noteSize is the length of a note: kind, tag, slots in eighths.
const noteSize = 6

// readNote reads a peer's note; it reports false for what no peer of this version sends.
func readNote(raw []byte) (n dispatch.Note, known bool) {
	var b [2 * noteSize]byte
	if base64.StdEncoding.DecodedLen(len(raw)) > len(b) {
		return n, false
	}
	k, err := base64.StdEncoding.Decode(b[:], raw)
	if err != nil || k != noteSize || b[0] > byte(dispatch.Crowded) {
		return n, false
	}
	n = dispatch.Note{Kind: dispatch.NoteKind(b[0]), Tag: uint64(binary.BigEndian.Uint32(b[1:])), Slots: float64(b[5]) / 8}
	return n, true
}

// appendNote writes a note.
func appendNote(buf []byte, n dispatch.Note) []byte {
	var b [noteSize]byte
	b[0] = byte(n.Kind)
	binary.BigEndian.PutUint32(b[1:], uint32(n.Tag))
	b[5] = byte(min(max(n.Slots*8, 0), 255))
	return base64.StdEncoding.AppendEncode(buf, b[:])
}
