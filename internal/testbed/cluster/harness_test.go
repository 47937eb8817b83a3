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

// asMemberEnv in the environment makes this test's own binary a member, with the fault that it names.
const asMemberEnv = "GROUPS_TEST_MEMBER"

const noFailpoint = "none"

func TestMain(m *testing.M) {
	who := os.Getenv(asMemberEnv)
	if who == "" {
		os.Exit(m.Run())
	}
	if who != noFailpoint {
		failpoint.Set(who)
	}
	c, err := server.LoadWithOperator(os.Args[1], os.Args[2], os.Getenv("EDGE_OPERATOR"))
	if err == nil {
		log := logrus.New()
		if dir := os.Getenv("GROUPS_TEST_LOGS"); dir != "" { // to look into a failure
			log.SetLevel(logrus.DebugLevel)
			f, err := os.OpenFile(filepath.Join(dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err == nil {
				log.SetOutput(f)
			}
		}
		err = server.Run(c, log, nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func launch(fault, config, operator string) *exec.Cmd {
	if fault == "" {
		fault = noFailpoint
	}
	cmd := exec.Command(os.Args[0], config, operator)
	cmd.Env = append(os.Environ(), asMemberEnv+"="+fault)
	return cmd
}

// Every scenario that comes with the program: real processes of it with faults between them. All rules hold and the plan goes
// through; a planted fault is caught by the name of its rule, and each fault has a scenario that catches it.
func TestScenarios(t *testing.T) {
	all, err := Decode("shipped.toml", shipped)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range failpoint.Names {
		if !slices.ContainsFunc(all, func(s Scenario) bool { return s.Failpoint == name && s.Caught != "" }) {
			t.Errorf("no scenario catches %s", name)
		}
	}
	for _, s := range all {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			play := func(seed uint64) *Result {
				r, err := Run(context.Background(), Options{Scenario: s, Seed: seed, Launch: launch})
				for again := 0; err == nil && r.Report.RanLate && again < 2; again++ { // the rig itself had to wait: it says nothing
					t.Log("ran late, played again: " + r.Line(seed))
					r, err = Run(context.Background(), Options{Scenario: s, Seed: seed, Launch: launch})
				}
				if err != nil {
					t.Fatal(err)
				}
				t.Log(r.Line(seed))
				return r
			}
			if s.Caught != "" {
				for seed := range uint64(3) { // whether a fault shows is chance, as where jobs run is
					if play(seed + 1).broken()[s.Caught] > 0 {
						return
					}
				}
				t.Errorf("rule %q was not seen to break", s.Caught)
				return
			}
			r := play(1)
			for _, b := range r.Report.Violations {
				t.Errorf("%s", b)
			}
			for _, c := range r.Report.CrashNotes {
				t.Errorf("%s", c)
			}
			if len(r.MachineWorks) != s.Machines || s.Machines > 0 && r.Ended == 0 {
				t.Errorf("%d machines were worked on; the plan: %s", len(r.MachineWorks), r.LastStatus)
			}
		})
	}
}

// What is wrong with a scenario is told by line and key, all at once.
func TestDecode_NamesEveryFault(t *testing.T) {
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
		"f:2: scenario[0].members: 2", "f:3: scenario[0].machines: 20", "f:4: scenario[0].out: 0", "f:5: scenario[0].for: 1s",
		`f:6: scenario[0].plant: "nope"`, `f:8: scenario[0].fault[0].kind: "rain"`, "f:9: scenario[0].fault[0].member: there is no member 7",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}
