package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
)

// problemFunc takes one problem of a scenario: the key that it is about, and what is wrong.
type problemFunc func(key, format string, v ...any)

// Check returns an error that names everything that is wrong with a scenario, by key; it is for scenarios that were not decoded from a
// file.
func (s *Scenario) Check() error {
	var problems []string
	s.validate(func(key, format string, v ...any) { problems = append(problems, key+": "+fmt.Sprintf(format, v...)) })
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// validate passes everything that is wrong with a scenario to problem.
func (s *Scenario) validate(problem problemFunc) {
	s.validateFigures(problem)
	s.validateSpecialMembers(problem)
	if s.Failpoint != "" && s.Failpoint != failpoint.ClockSkew && !slices.Contains(failpoint.Names, s.Failpoint) {
		problem("plant", "%q is none of %s", s.Failpoint, strings.Join(failpoint.Names, ", "))
	}
	if s.ExpectedViolation != "" && !slices.Contains(Rules, s.ExpectedViolation) {
		problem("caught", "%q is none of %s", s.ExpectedViolation, strings.Join(Rules, ", "))
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
		problem("members", "%d is not from %d to %d", s.Members, minMembers, maxMembers)
	}
	if s.Machines < 0 || s.Machines > maxMachines {
		problem("machines", "%d is not from 0 to %d", s.Machines, maxMachines)
	}
	if s.MaxUnavailable < 1 {
		problem("out", "%d is not above 0", s.MaxUnavailable)
	}
	if s.For < minLength || s.For > maxLength {
		problem("for", "%v is not from %v to %v", s.For, minLength, maxLength)
	}
	if s.Lease < minLease {
		problem("lease", "%v is less than %v", s.Lease, minLease)
	}
	if s.RenameWorkers && !s.PlanByHost {
		problem("renamed", "it needs hosts = true: a machine that is known by name has no other")
	}
	if s.Work < 0 || s.RandomFaults < 0 {
		problem("work", "work and storm are not below 0")
	}
	if s.RandomOverrides < 0 || s.Plans < 0 || s.Plans > max(s.Machines, 1) {
		problem("plans", "plans are from 0 to the machines, and say is not below 0")
	}
	if s.WithoutPlan && s.Plans > 0 {
		problem("by_hand", "with plans = %d: one or the other", s.Plans)
	}
}

// validateSpecialMembers checks the numbers of members that differ from the others.
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
			problem(special.key, "there is no member %d", special.member)
		}
	}
	if s.JoiningMember != 0 && (s.JoiningMember < voters(s.Members) || s.JoiningMember >= max(s.Members, 1)) {
		problem("joins", "%d is no member that follows: the first %d vote", s.JoiningMember, voters(s.Members))
	}
}

// validateFault checks a fault of the timetable; prefix is that of its keys.
func (s *Scenario) validateFault(f Fault, prefix string, problem problemFunc) {
	if !slices.Contains(FaultKinds, f.Kind) {
		problem(prefix+"kind", "%q is none of %s", f.Kind, strings.Join(FaultKinds, ", "))
	}
	isOfWorker := f.isOneOf(workerFaults)
	switch {
	case isOfWorker && (f.Member < 0 || f.Member >= workers):
		problem(prefix+"member", "there is no worker %d; from 0 to %d", f.Member, workers-1)
	case !isOfWorker && (f.Member < -1 || f.Member >= max(s.Members, 1)):
		problem(prefix+"member", "there is no member %d; -1 is the one that leads then", f.Member)
	}
	if f.At < 0 || f.For < 0 {
		problem(prefix+"at", "at and for are not below 0")
	}
}

// validateOverride checks an override of the timetable; prefix is that of its keys.
func (s *Scenario) validateOverride(o Override, prefix string, problem problemFunc) {
	if o.Member < 0 || o.Member >= max(s.Members, 1) {
		problem(prefix+"member", "there is no member %d", o.Member)
	}
	if o.Worker < 0 || o.Worker >= workers-s.Machines {
		problem(prefix+"worker", "%d is not from 0 to %d, which are in no plan", o.Worker, workers-s.Machines-1)
	}
	if o.At < 0 {
		problem(prefix+"at", "%v is below 0", o.At)
	}
}
