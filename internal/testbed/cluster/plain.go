package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed"
)

// Plain makes a day's dispatchers a group, with no faults between them, until close is called.
func Plain(o *testbed.Options) (done func(), err error) {
	n := o.Scenario.Dispatchers
	if n < minMembers {
		return nil, fmt.Errorf("%d dispatchers are no group; at least %d", n, minMembers)
	}
	dir, err := os.MkdirTemp("", "birchfork-group-")
	if err != nil {
		return nil, fmt.Errorf("a folder for the members: %w", err)
	}
	done = func() { _ = os.RemoveAll(dir) } // what is left lies in the temporary directory
	links, err := testbed.FreeAddresses(n)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	var b strings.Builder
	b.WriteString("[group]\nname = \"lab\"\n")
	for i, at := range links {
		fmt.Fprintf(&b, "[[group.member]]\nname = \"d%d\"\nlink = %q\nvoter = %t\n", i, at, i < voters(n))
	}
	file := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
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
	o.Alongside = func(ctx context.Context, _ *testbed.Environment) {
		for c := (&coordinator.Client{Addresses: links[:1]}); ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
			if r, err := c.Do(ctx, coordinator.Call{Bootstrap: true}); err == nil && r.Code == maintenance.CodeOK {
				return
			}
		}
	}
	return done, nil
}
