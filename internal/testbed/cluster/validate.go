package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
)

// problemFunc reports one invalid key of a scenario.
type problemFunc func(key, format string, v ...any)

// Check returns an error that lists every invalid value of a scenario by key. It is for scenarios that were not decoded from a file.
func (s *Scenario) Check() error {
	var problems []string
	s.validate(func(key, format string, v ...any) { problems = append(problems, key+": "+fmt.Sprintf(format, v...)) })
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// validate reports every invalid value of a scenario to problem.
func (s *Scenario) validate(problem problemFunc) {
	s.validateFigures(problem)
	s.validateSpecialMembers(problem)
	if s.Failpoint != "" && s.Failpoint != failpoint.ClockSkew && !slices.Contains(failpoint.Names, s.Failpoint) {
		problem("plant", "unknown failpoint %q: must be one of %s", s.Failpoint, strings.Join(failpoint.Names, ", "))
	}
	if s.ExpectedViolation != "" && !slices.Contains(Rules, s.ExpectedViolation) {
		problem("caught", "unknown rule %q: must be one of %s", s.ExpectedViolation, strings.Join(Rules, ", "))
	}
	for i, f := range s.Faults {
		s.validateFault(f, fmt.Sprintf("fault[%d].", i), problem)
	}
	for i, o := range s.Overrides {
		s.validateOverride(o, fmt.Sprintf("word[%d].", i), problem)
	}
}

// validateFigures checks the sizes of the group, its run and its plans.
func (s *Scenario) validateFigures(problem problemFunc) {
	if s.Members < minMembers || s.Members > maxMembers {
		problem("members", "invalid value %d: must be between %d and %d", s.Members, minMembers, maxMembers)
	}
	if s.Machines < 0 || s.Machines > maxMachines {
		problem("machines", "invalid value %d: must be between 0 and %d", s.Machines, maxMachines)
	}
	if s.MaxUnavailable < 1 {
		problem("out", "invalid value %d: must be at least 1", s.MaxUnavailable)
	}
	if s.For < minLength || s.For > maxLength {
		problem("for", "invalid value %v: must be between %v and %v", s.For, minLength, maxLength)
	}
	if s.Lease < minLease {
		problem("lease", "invalid value %v: must be at least %v", s.Lease, minLease)
	}
	if s.RenameWorkers && !s.PlanByHost {
		problem("renamed", "requires hosts = true: a plan that names workers does not find a renamed one")
	}
	if s.Work < 0 || s.RandomFaults < 0 {
		problem("work", "invalid values work = %v, storm = %d: must not be negative", s.Work, s.RandomFaults)
	}
	if s.RandomOverrides < 0 || s.Plans < 0 || s.Plans > max(s.Machines, 1) {
		problem("plans", "invalid values plans = %d, say = %d: plans must be between 0 and %d, say must not be negative",
			s.Plans, s.RandomOverrides, max(s.Machines, 1))
	}
	if s.WithoutPlan && s.Plans > 0 {
		problem("by_hand", "cannot be combined with plans = %d", s.Plans)
	}
}

// validateSpecialMembers checks the keys that select a member by number.
func (s *Scenario) validateSpecialMembers(problem problemFunc) {
	for _, special := range []struct {
		key    string
		member int
	}{
		{"older", s.OlderBuild},
		{"newer", s.NewerEntries},
		{"failing", s.FullDisk},
		{"stalling", s.StallingDisk},
	} {
		if special.member < 0 || special.member >= max(s.Members, 1) {
			problem(special.key, "unknown member %d: must be between 0 and %d", special.member, max(s.Members, 1)-1)
		}
	}
	if s.JoiningMember != 0 && (s.JoiningMember < voters(s.Members) || s.JoiningMember >= max(s.Members, 1)) {
		problem("joins", "invalid value %d: must be a member that does not vote; members 0 to %d vote", s.JoiningMember, voters(s.Members)-1)
	}
}

// validateFault checks a fault of the timetable; prefix precedes its keys in problems.
func (s *Scenario) validateFault(f Fault, prefix string, problem problemFunc) {
	if !slices.Contains(FaultKinds, f.Kind) {
		problem(prefix+"kind", "unknown fault kind %q: must be one of %s", f.Kind, strings.Join(FaultKinds, ", "))
	}
	isWorkerFault := f.isOneOf(workerFaults)
	switch {
	case isWorkerFault && (f.Member < 0 || f.Member >= workers):
		problem(prefix+"member", "unknown worker %d: must be between 0 and %d", f.Member, workers-1)
	case !isWorkerFault && (f.Member < -1 || f.Member >= max(s.Members, 1)):
		problem(prefix+"member", "unknown member %d: must be between 0 and %d, or -1 for the leader", f.Member, max(s.Members, 1)-1)
	}
	if f.At < 0 || f.For < 0 {
		problem(prefix+"at", "invalid values at = %v, for = %v: must not be negative", f.At, f.For)
	}
}

// validateOverride checks an override of the timetable; prefix precedes its keys in problems.
func (s *Scenario) validateOverride(o Override, prefix string, problem problemFunc) {
	if o.Member < 0 || o.Member >= max(s.Members, 1) {
		problem(prefix+"member", "unknown member %d: must be between 0 and %d", o.Member, max(s.Members, 1)-1)
	}
	if o.Worker < 0 || o.Worker >= workers-s.Machines {
		problem(prefix+"worker", "invalid value %d: must be a worker that is in no plan, between 0 and %d", o.Worker, workers-s.Machines-1)
	}
	if o.At < 0 {
		problem(prefix+"at", "invalid value %v: must not be negative", o.At)
	}
}
