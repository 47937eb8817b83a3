//go:build !lean

// Package failpoint enables deliberate faults in the program, to prove that the testbed's checks of a group detect them. Only the testbed's
// commands set a failpoint. A lean build has none: there Enabled always returns false, and the compiler removes the code that depends on it.
package failpoint

import (
	"fmt"
	"syscall"
	"time"
)

// The failpoints that violate a rule, which a check has to detect. Scenarios and flags use their values.
const (
	SendWithoutLease    = "no-lease"       // requests are sent without checking the lease
	OverlongLease       = "long-lease"     // a lease is valid for longer than the group's fence timeout
	IgnoreMemberReports = "few-words"      // a machine counts as drained without reports of the members
	IgnoreBudget        = "no-budget"      // machines are drained without checking the disruption budget
	IgnoreUnavailable   = "dead-uncounted" // workers that are out of service for reasons other than maintenance do not count against the budget
	RandomMachineOrder  = "own-order"      // each member chooses the next machine to drain at random
	RepeatCommands      = "acts-twice"     // a repeated call is executed again
	IgnoreRestoredState = "forgets-out"    // a member that restarts with its disk ignores the restored state at first
	SendBeforeJoin      = "sees-anyway"    // a member that starts with an empty disk sends requests before it has received the group's plans
	WaitForLostMembers  = "never-clear"    // a silent member blocks a drain indefinitely
	AnswerBeforeCommit  = "silent-answer"  // a claim of a machine succeeds before it is committed
	IgnoreBusyWorkers   = "ignores-busy"   // running attempts do not block a drain
	NoOverrideExchange  = "words-stay"     // members do not exchange overrides
	EnabledWins         = "in-wins"        // of concurrent overrides, one that enables the worker takes precedence
	ResurrectEntries    = "reappears"      // an entry that was seen and removed is accepted again
	EjectOnPeerReport   = "leaves-alone"   // a worker that other members report as an outlier gets no more requests
	NoOutlierReports    = "keeps-mum"      // members do not report outliers
	ReuseDots           = "count-again"    // a member that restarts with an empty disk keeps its incarnation, so its dots start at 1 again
	LastWriteWins       = "clock-wins"     // of two overrides, the one with the later time wins; clocks are skewed as under ClockSkew
	AnswerBeforeSync    = "early-yes"      // operators get a response seconds before an override is synced to disk
	OverwriteReplica    = "overwrites"     // pulled entries replace those of a member instead of being merged with them
	NoEndpointExchange  = "list-untold"    // members do not exchange endpoint lists
	AcceptOutdatedDisk  = "trusts-disk"    // a member resumes from its disk without verifying that the disk is not outdated
)

// The failpoints that are conditions which a correct program has to tolerate. They violate no rule.
const (
	ClockSkew    = "clocks-apart" // the wall clocks of the members differ by hours
	OlderBuild   = "older"        // the build supports one command level less
	NewerEntries = "newer-words"  // the build also writes an entry of an unknown kind with each override
	DiskFull     = "disk-fails"   // writes to the disk fail from diskFaultDelay after it was opened
	DiskStall    = "disk-stalls"  // each synced write takes diskStallTime from diskFaultDelay after the disk was opened
)

// Names lists the failpoints that violate a rule, in the order of the help text.
var Names = []string{
	SendWithoutLease, OverlongLease, IgnoreMemberReports, IgnoreBudget, IgnoreUnavailable, RandomMachineOrder, RepeatCommands,
	IgnoreRestoredState, SendBeforeJoin, WaitForLostMembers, AnswerBeforeCommit, IgnoreBusyWorkers, NoOverrideExchange, EnabledWins,
	ResurrectEntries, EjectOnPeerReport, NoOutlierReports, ReuseDots, LastWriteWins, AnswerBeforeSync, OverwriteReplica, AcceptOutdatedDisk,
	NoEndpointExchange,
}

// enabled is the enabled failpoint; empty: none.
var enabled string

// Set enables one failpoint and disables any other; an empty name disables all. It is not safe for concurrent use with the other functions.
func Set(name string) { enabled = name }

// Enabled reports whether a failpoint is enabled.
func Enabled(name string) bool { return enabled == name }

// skewPerMember is the difference between the clocks of members with consecutive numbers.
const skewPerMember = 2 * time.Hour

// ClockOffset returns the time by which a member's wall clock is ahead: skewPerMember times the last digit of its name under ClockSkew and
// LastWriteWins, else 0.
func ClockOffset(member string) time.Duration {
	skewed := Enabled(ClockSkew) || Enabled(LastWriteWins)
	if !skewed || member == "" {
		return 0
	}
	digit := member[len(member)-1] - '0'
	return time.Duration(digit) * skewPerMember
}

// The times of the disk faults under DiskFull and DiskStall.
const (
	diskFaultDelay = 6 * time.Second // after the disk was opened
	diskStallTime  = 5 * time.Second // duration of each synced write after diskFaultDelay
)

// BeforeSyncedWrite has to be called before each synced write to a disk, with the time at which the disk was opened. From diskFaultDelay
// after that time, it returns syscall.ENOSPC under DiskFull and blocks for diskStallTime under DiskStall.
func BeforeSyncedWrite(openedAt time.Time) error {
	if !Enabled(DiskFull) && !Enabled(DiskStall) {
		return nil
	}
	if time.Since(openedAt) < diskFaultDelay {
		return nil
	}
	if Enabled(DiskFull) {
		return fmt.Errorf("writing to the group's disk: %w", syscall.ENOSPC)
	}
	time.Sleep(diskStallTime)
	return nil
}
