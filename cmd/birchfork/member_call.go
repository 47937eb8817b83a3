//go:build !lean

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
)

// memberFlags selects the members to call, and the format of the reply.
type memberFlags struct {
	At   []string `help:"Addresses, host:port, on which members listen for the group; if one does not answer, the next is tried." env:"BIRCHFORK_GROUP" placeholder:"ADDRESS"`
	JSON bool     `name:"json" help:"Print the answer as JSON."`
}

// validate checks the addresses.
func (m *memberFlags) validate() error {
	for _, a := range m.At {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return fmt.Errorf("--at: invalid address %q: must be host:port", a)
		}
	}
	if len(m.At) == 0 {
		return errors.New("missing member address: set --at or BIRCHFORK_GROUP")
	}
	return nil
}

// call sends a request to the members in turn until one replies.
func (m *memberFlags) call(request coordinator.Call) (*coordinator.Reply, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	return (&coordinator.Client{Addresses: m.At}).Do(context.Background(), request)
}

// printJSON prints a reply as JSON if --json is set.
func (m *memberFlags) printJSON(out output, answer any) error {
	if !m.JSON {
		return nil
	}
	raw, err := json.Marshal(answer)
	if err == nil {
		_, err = fmt.Fprintln(out.stdout, string(raw))
	}
	return err
}

// finish prints a reply and converts its code to an error.
func (m *memberFlags) finish(out output, reply *coordinator.Reply) error {
	if err := m.printJSON(out, reply); err != nil {
		return err
	}
	switch {
	case reply.Code == maintenance.CodeRetryLater:
		return &retryLaterError{reply.Text}
	case reply.Code != maintenance.CodeOK:
		return errors.New(reply.Text)
	case !m.JSON && reply.Text != "":
		fmt.Fprintln(out.stdout, reply.Text)
	}
	return nil
}

func (m *memberFlags) callAndFinish(out output, request coordinator.Call) error {
	reply, err := m.call(request)
	if err != nil {
		return err
	}
	return m.finish(out, reply)
}

func (m *memberFlags) propose(out output, command maintenance.Command) error {
	return m.callAndFinish(out, coordinator.Call{Command: &command})
}

// retryLaterError is an errRetryLater with a reason.
type retryLaterError struct{ reason string }

func (e *retryLaterError) Error() string { return e.reason }

func (e *retryLaterError) Is(target error) bool { return target == errRetryLater }
