package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed"
)

// FormGroup changes the options of a testbed run so that its dispatchers form a group, without faults between them. The members' files
// are kept until remove is called.
func FormGroup(o *testbed.Options) (remove func(), err error) {
	members := o.Scenario.Dispatchers
	if members < minMembers {
		return nil, fmt.Errorf("invalid number of dispatchers %d: a group has at least %d", members, minMembers)
	}
	dir, err := os.MkdirTemp("", "birchfork-group-")
	if err != nil {
		return nil, fmt.Errorf("creating the members' directory: %w", err)
	}
	remove = func() { _ = os.RemoveAll(dir) } // leftovers remain in the temporary directory
	addresses, err := testbed.FreeAddresses(members)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	file := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(file, []byte(groupConfig(addresses)), 0o600); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	launch := o.Launch
	o.Launch = func(config string) *exec.Cmd {
		cmd := launch(config)
		cmd.Args = append(cmd.Args, "--operator", file)
		if cmd.Env == nil {
			cmd.Env = os.Environ()
		}
		cmd.Env = append(cmd.Env, "TMPDIR="+dir)
		return cmd
	}
	o.Alongside = func(ctx context.Context, _ *testbed.Environment) { bootstrapAt(ctx, addresses[0]) }
	return remove, nil
}

// groupConfig returns the operator configuration that all members at the given addresses share.
func groupConfig(addresses []string) string {
	var b strings.Builder
	b.WriteString("[group]\nname = \"lab\"\n")
	for member, address := range addresses {
		writeMemberSection(&b, member, address, len(addresses))
	}
	return b.String()
}

// bootstrapAt calls a member until it has bootstrapped the group.
func bootstrapAt(ctx context.Context, address string) {
	client := &coordinator.Client{Addresses: []string{address}}
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		r, err := client.Do(ctx, coordinator.Call{Bootstrap: true})
		if err == nil && r.Code == maintenance.CodeOK {
			return
		}
	}
}
