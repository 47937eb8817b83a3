package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"birchfork/dispatch"
	"birchfork/internal/simprotocol"
)

// decider is the part of the decision module that a host calls.
type decider interface {
	Handle(now dispatch.Time, event *dispatch.Event, actions []dispatch.Action) []dispatch.Action
}

func newDecider(settings dispatch.Settings, seed uint64) (decider, error) {
	return dispatch.New(settings, seed)
}

// run handles messages until the input ends between two batches. Its errors contain the number of the line.
func run(in io.Reader, out io.Writer) error {
	h := newHost(in, out)
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

// host runs many dispatchers in one process. They share no state.
type host struct {
	reader     *simprotocol.Reader
	writer     *simprotocol.Writer
	instances  map[int]decider
	newDecider func(dispatch.Settings, uint64) (decider, error)
	now        dispatch.Time
	message    simprotocol.Message // the message being handled, reused
	actions    []dispatch.Action   // the actions for the last event, reused
}

func newHost(in io.Reader, out io.Writer) *host {
	return &host{
		reader:     simprotocol.NewReader(in),
		writer:     simprotocol.NewWriter(out),
		instances:  map[int]decider{},
		newDecider: newDecider,
	}
}

// step handles one message.
func (h *host) step() error {
	message := &h.message
	if err := h.reader.Read(message); err != nil {
		return err
	}
	switch message.Kind {
	case simprotocol.BatchBegin:
		h.now = message.Now
	case simprotocol.BatchEnd:
		return h.writer.Flush()
	case simprotocol.InstanceStart:
		return h.startInstance(message)
	case simprotocol.InstanceStop:
		delete(h.instances, message.Instance)
	case simprotocol.InstanceEvent:
		return h.handleEvent(message)
	}
	return nil
}

func (h *host) startInstance(message *simprotocol.Message) error {
	instance, err := h.newDecider(message.Settings, message.Seed)
	if err != nil {
		return fmt.Errorf("starting instance %d: %w", message.Instance, err)
	}
	h.instances[message.Instance] = instance
	return nil
}

// handleEvent passes an event to one dispatcher. If the dispatcher panics, the host reports a crash and removes that
// dispatcher; the others continue to run.
func (h *host) handleEvent(message *simprotocol.Message) error {
	instance := h.instances[message.Instance]
	if instance == nil {
		return nil // the dispatcher has panicked earlier
	}
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintf(os.Stderr, "simadapter: instance %d panicked: %v\n%s", message.Instance, cause, debug.Stack())
			h.writer.WriteCrash(message.Instance, fmt.Sprint(cause))
			delete(h.instances, message.Instance)
		}
	}()
	h.actions = instance.Handle(h.now, message.Event, h.actions[:0])
	return h.writer.WriteActions(message.Instance, h.reader.NameTable(message.Instance), h.actions)
}
