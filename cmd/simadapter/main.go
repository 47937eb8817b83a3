// Command benchlink hosts dispatchers on the bench's wire: batches of events on standard input, replies on standard
// output. It ends with status 0 when the input ends, and with 1 and one plain message when a line is malformed.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"birchfork/dispatch"
	"birchfork/internal/simprotocol"
)

func main() {
	// The heap is small and short-lived; collecting at its default pace would be a good part of the CPU used.
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// dispatcher is what the host needs of a decision module.
type dispatcher interface {
	Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action
}

func newDispatcher(s dispatch.Settings, seed uint64) (dispatcher, error) {
	return dispatch.New(s, seed)
}

func run(in io.Reader, out io.Writer) error {
	h := host{
		reader: simprotocol.NewReader(in), writer: simprotocol.NewWriter(out),
		instances: map[int]dispatcher{}, start: newDispatcher,
	}
	for {
		err := h.step()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.reader.Line(), err)
		}
	}
}

// host runs many dispatchers, which share nothing but this process.
type host struct {
	reader    *simprotocol.Reader
	writer    *simprotocol.Writer
	instances map[int]dispatcher
	start     func(dispatch.Settings, uint64) (dispatcher, error)
	now       dispatch.Time
	msg       simprotocol.Msg
	actions   []dispatch.Action
}

func (h *host) step() error {
	m := &h.msg
	if err := h.reader.Read(m); err != nil {
		return err
	}
	switch m.Kind {
	case simprotocol.BatchBegin:
		h.now = m.Now
	case simprotocol.BatchEnd:
		return h.writer.Flush()
	case simprotocol.InstanceStart:
		d, err := h.start(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", m.Instance, err)
		}
		h.instances[m.Instance] = d
	case simprotocol.InstanceStop:
		delete(h.instances, m.Instance)
	case simprotocol.InstanceEvent:
		return h.event(m)
	}
	return nil
}

// event lets one dispatcher decide. A panic in it ends that dispatcher with a plain report, not the process.
func (h *host) event(m *simprotocol.Msg) (err error) {
	d := h.instances[m.Instance]
	if d == nil {
		return nil // it broke earlier
	}
	defer func() {
		if p := recover(); p != nil {
			w := bufio.NewWriter(os.Stderr)
			fmt.Fprintf(w, "benchlink: instance %d: %v\n%s", m.Instance, p, debug.Stack())
			w.Flush()
			h.writer.Die(m.Instance, fmt.Sprint(p))
			delete(h.instances, m.Instance)
		}
	}()
	h.actions = d.Handle(h.now, m.Event, h.actions[:0])
	return h.writer.Actions(m.Instance, h.reader.Names(m.Instance), h.actions)
}
