package cluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/server"
)

const (
	// memberEnv is the environment variable that makes this test binary run as a member with the failpoint that is its value.
	memberEnv = "GROUPS_TEST_MEMBER"

	// logsEnv is the environment variable that names a directory for the members' debug logs, for the analysis of failures.
	logsEnv = "GROUPS_TEST_LOGS"

	// noFailpoint is the value of memberEnv for a member without a failpoint.
	noFailpoint = "none"
)

const (
	// maxLateRuns is how often a run is repeated because the testbed itself ran late.
	maxLateRuns = 2

	// maxSeeds is how many seeds are tried until a failpoint causes a violation. That depends on chance, for example on which workers
	// requests run.
	maxSeeds = 3
)

func TestMain(m *testing.M) {
	failpointName := os.Getenv(memberEnv)
	if failpointName == "" {
		os.Exit(m.Run())
	}
	if failpointName != noFailpoint {
		failpoint.Set(failpointName)
	}
	if err := runMember(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runMember runs this process as a member until it is shut down.
func runMember(config, operator string) error {
	c, err := server.LoadWithOperator(config, operator, os.Getenv("EDGE_OPERATOR"))
	if err != nil {
		return err
	}
	log := logrus.New()
	if dir := os.Getenv(logsEnv); dir != "" {
		log.SetLevel(logrus.DebugLevel)
		f, err := os.OpenFile(filepath.Join(dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			log.SetOutput(f)
		}
	}
	return server.Run(c, log, nil)
}

// launch is a Launcher that runs members as processes of this test binary.
func launch(failpointName, config, operator string) *exec.Cmd {
	if failpointName == "" {
		failpointName = noFailpoint
	}
	cmd := exec.Command(os.Args[0], config, operator)
	cmd.Env = append(os.Environ(), memberEnv+"="+failpointName)
	return cmd
}

// TestScenarios runs every built-in scenario with real processes and faults. A scenario that expects a violation enables a failpoint that
// has to cause it; all other scenarios must violate no rule and end their plan. Each failpoint needs a scenario that detects it.
func TestScenarios(t *testing.T) {
	scenarios, err := Decode(shippedName, shipped)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range failpoint.Names {
		if !slices.ContainsFunc(scenarios, func(s Scenario) bool { return s.Failpoint == name && s.ExpectedViolation != "" }) {
			t.Errorf("no scenario detects failpoint %s", name)
		}
	}
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			if s.ExpectedViolation != "" {
				checkViolation(t, s)
			} else {
				checkNoViolations(t, s)
			}
		})
	}
}

// runScenario runs a scenario. It repeats a run in which the testbed itself ran late, because such a run is inconclusive.
func runScenario(t *testing.T, s Scenario, seed uint64) *Result {
	t.Helper()
	run := func() *Result {
		r, err := Run(context.Background(), Options{Scenario: s, Seed: seed, Launch: launch})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	r := run()
	for late := 0; r.Report.RanLate && late < maxLateRuns; late++ {
		t.Log("the testbed ran late, repeating the run: " + r.Line(seed))
		r = run()
	}
	t.Log(r.Line(seed))
	return r
}

// checkViolation checks that a scenario's failpoint violates the expected rule with one of a few seeds.
func checkViolation(t *testing.T, s Scenario) {
	t.Helper()
	for seed := range uint64(maxSeeds) {
		if runScenario(t, s, seed+1).violationCounts()[s.ExpectedViolation] > 0 {
			return
		}
	}
	t.Errorf("no run with seeds 1 to %d violated rule %q", maxSeeds, s.ExpectedViolation)
}

// checkNoViolations checks that a scenario violates no rule, that no member crashes and that the plan ends.
func checkNoViolations(t *testing.T, s Scenario) {
	t.Helper()
	r := runScenario(t, s, 1)
	for _, v := range r.Report.Violations {
		t.Errorf("%s", v)
	}
	for _, c := range r.Report.CrashNotes {
		t.Errorf("%s", c)
	}
	if len(r.MaintenanceWindows) != s.Machines || s.Machines > 0 && r.Ended == 0 {
		t.Errorf("%d machines maintained, want %d; plan ended at %v, last status: %s", len(r.MaintenanceWindows), s.Machines, r.Ended, r.LastStatus)
	}
}

// TestDecode_ReportsAllErrors verifies that the error lists every invalid value of a scenario by line and key.
func TestDecode_ReportsAllErrors(t *testing.T) {
	_, err := Decode("f", []byte(`[[scenario]]
members = 2
machines = 20
out = 0
for = "1s"
plant = "nope"
[[scenario.fault]]
kind = "rain"
member = 7
`))
	for _, want := range []string{
		"f:2: scenario[0].members: invalid value 2: must be between 3 and 50",
		"f:3: scenario[0].machines: invalid value 20: must be between 0 and 6",
		"f:4: scenario[0].out: invalid value 0: must be at least 1",
		"f:5: scenario[0].for: invalid value 1s: must be between 10s and 1h0m0s",
		`f:6: scenario[0].plant: unknown failpoint "nope": must be one of `,
		`f:8: scenario[0].fault[0].kind: unknown fault kind "rain": must be one of `,
		"f:9: scenario[0].fault[0].member: unknown member 7: must be between 0 and 1, or -1 for the leader",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want it to contain %q", err, want)
		}
	}
}
