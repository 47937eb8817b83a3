//go:build !lean

package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/server"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/baseline"
	"birchfork/internal/testbed/mutant"
)

// executablePath returns the path of this program, which the testbed also starts as the dispatchers. Tests replace it.
var executablePath = os.Executable

// dispatcherLauncher returns a function that starts dispatchers: this program as is, under a baseline policy, or as a mutant.
func dispatcherLauncher(policy, mutantName string) (testbed.Launch, error) {
	path, err := executablePath()
	if err != nil {
		return nil, fmt.Errorf("locating this executable: %w", err)
	}
	args := []string{"testbed", "dispatcher", "--policy", policy}
	switch {
	case mutantName != "":
		if _, err := mutant.Find(mutantName); err != nil {
			return nil, err
		}
		args = []string{"testbed", "dispatcher", "--plant", mutantName}
	case policy == testbed.PolicyRules:
		args = []string{"serve"}
	case !slices.Contains(baseline.Policies, policy):
		return nil, fmt.Errorf("--policy: unknown policy %q: must be one of %s, %s", policy, testbed.PolicyRules, strings.Join(baseline.Policies, ", "))
	}
	return launchProgram(path, args...), nil
}

// withOperatorFile adds an operator's file to the dispatchers that launch starts.
func withOperatorFile(launch testbed.Launch, file, policy string) (testbed.Launch, error) {
	switch {
	case file == "":
		return launch, nil
	case policy != testbed.PolicyRules:
		return nil, errors.New("--operator requires --policy rules: it narrows the rules of the decision module")
	}
	file, err := filepath.Abs(file)
	if err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	if _, err := os.Stat(file); err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	return func(config string) *exec.Cmd {
		cmd := launch(config)
		cmd.Args = append(cmd.Args, "--operator", file)
		return cmd
	}, nil
}

// launchProgram returns a function that starts dispatchers of a program.
func launchProgram(path string, args ...string) testbed.Launch {
	return func(config string) *exec.Cmd {
		return exec.Command(path, append(slices.Clone(args), "--config", config)...)
	}
}

type testbedDispatcher struct {
	Config string `required:"" placeholder:"FILE"`
	Policy string `placeholder:"NAME"`
	Mutant string `name:"plant" placeholder:"FAULT"`
}

// Run serves under the given policy, or as the given mutant.
func (c *testbedDispatcher) Run(out output) error {
	if c.Mutant != "" {
		return mutant.Run(c.Config, c.Mutant)
	}
	config, err := server.Load(c.Config, "")
	if err != nil {
		return err
	}
	decider, err := baseline.New(c.Policy, config.Settings, config.Seed)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.stderr)
	return server.Run(config, log, decider)
}

// testbedMember serves as one member of a group with a failpoint enabled.
type testbedMember struct {
	Failpoint string `name:"plant" required:""`
	Config    string `required:""`
	Operator  string `required:""`
}

// Run serves with the failpoint enabled.
func (c *testbedMember) Run(out output) error {
	if !slices.Contains(append([]string{failpoint.DiskFull, failpoint.DiskStall, failpoint.NewerEntries, failpoint.OlderBuild, failpoint.ClockSkew}, failpoint.Names...), c.Failpoint) {
		return fmt.Errorf("--plant: unknown failpoint %q", c.Failpoint)
	}
	failpoint.Set(c.Failpoint)
	config, err := server.LoadWithOperator(c.Config, c.Operator, os.Getenv("EDGE_OPERATOR"))
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.stderr)
	log.SetLevel(logrus.WarnLevel)
	return server.Run(config, log, nil)
}
