//go:build !lean

// Package failpoint switches deliberate faults on in the program itself, to prove that the testbed's checks of a group detect them.
// Only the testbed's commands set one. A lean build has none: there Enabled is a constant false, and the compiler removes what
// depends on it.
package failpoint

import (
	"fmt"
	"syscall"
	"time"
)

// The faults, by the names that scenarios and flags use. Each breaks a rule, which some check has to detect.
const (
	SendWithoutLease    = "no-lease"       // requests are sent without a look at the lease
	OverlongLease       = "long-lease"     // a lease runs longer than the group waits for it
	IgnoreMemberReports = "few-words"      // a machine counts as drained without the members' reports
	IgnoreBudget        = "no-budget"      // machines are taken without a look at the budget
	IgnoreUnavailable   = "dead-uncounted" // workers that are out of service by themselves do not count against the budget
	RandomMachineOrder  = "own-order"      // the next machine is chosen at random, by each member for itself
	RepeatCommands      = "acts-twice"     // a repeated call is carried out again
	IgnoreRestoredState = "forgets-out"    // a member that restarts with its disk does not follow what that has at first
	SendBeforeJoin      = "sees-anyway"    // a member that starts with an empty disk sends before it knows the group's plans
	WaitForLostMembers  = "never-clear"    // a silent member blocks a drain for ever
	AnswerBeforeCommit  = "silent-answer"  // operators get a machine before the claim is committed
	IgnoreBusyWorkers   = "ignores-busy"   // running attempts do not block a drain
	NoOverrideExchange  = "words-stay"     // members do not exchange overrides
	EnabledWins         = "in-wins"        // of concurrent overrides the one that enables wins
	ResurrectEntries    = "reappears"      // an entry that was seen and is gone is taken again
	EjectOnPeerReport   = "leaves-alone"   // a worker that others report as an outlier gets nothing any more
	NoOutlierReports    = "keeps-mum"      // members do not report outliers
	ReuseDots           = "count-again"    // after each restart a member's counters begin anew, under the same incarnation
	LastWriteWins       = "clock-wins"     // of two overrides the one with the later time wins; clocks are skewed as for ClockSkew
	AnswerBeforeSync    = "early-yes"      // operators get an answer seconds before an override is synced
	OverwriteReplica    = "overwrites"     // what a member pulls replaces what it has
	NoEndpointExchange  = "list-untold"    // members do not exchange endpoint lists
	TrustDisk           = "trusts-disk"    // a member takes any disk for its latest one
)

// Conditions that a correct program has to live with. They break no rule.
const (
	ClockSkew    = "clocks-apart" // the members' wall clocks differ by hours
	OlderBuild   = "older"        // a build that supports one command level less
	NewerEntries = "newer-words"  // a build that writes an entry of a kind of its own beside each override
	DiskFull     = "disk-fails"   // some seconds after it was opened the disk takes nothing any more
	DiskStall    = "disk-stalls"  // some seconds after it was opened each synced write takes seconds
)

// Names lists the faults, in the order of the help text.
var Names = []string{
	SendWithoutLease, OverlongLease, IgnoreMemberReports, IgnoreBudget, IgnoreUnavailable, RandomMachineOrder, RepeatCommands,
	IgnoreRestoredState, SendBeforeJoin, WaitForLostMembers, AnswerBeforeCommit, IgnoreBusyWorkers, NoOverrideExchange, EnabledWins,
	ResurrectEntries, EjectOnPeerReport, NoOutlierReports, ReuseDots, LastWriteWins, AnswerBeforeSync, OverwriteReplica, TrustDisk,
	NoEndpointExchange,
}

// enabled is the one fault or condition that is on; empty for none.
var enabled string

// Set switches one fault or condition on, and any other off; an empty name switches all off. It must not be called while
// anything runs that asks for one.
func Set(name string) { enabled = name }

// Enabled reports whether a fault or condition is on.
func Enabled(name string) bool { return enabled == name }

// skewPerMember is how far members' clocks are apart from one to the next under ClockSkew.
const skewPerMember = 2 * time.Hour

// ClockOffset returns how far a member's wall clock is ahead: nothing, or by the last digit of its name under ClockSkew and
// LastWriteWins.
func ClockOffset(member string) time.Duration {
	skewed := Enabled(ClockSkew) || Enabled(LastWriteWins)
	if !skewed || member == "" {
		return 0
	}
	digit := member[len(member)-1] - '0'
	return time.Duration(digit) * skewPerMember
}

// How disks fail under DiskFull and DiskStall.
const (
	diskFaultDelay = 6 * time.Second // after the disk was opened
	diskStallTime  = 5 * time.Second // of each write from then on
)

// BeforeSyncedWrite is called before each synced write to a disk that was opened at a time. Under DiskFull it returns an error,
// under DiskStall it blocks for a while.
func BeforeSyncedWrite(opened time.Time) error {
	if !Enabled(DiskFull) && !Enabled(DiskStall) {
		return nil
	}
	if time.Since(opened) < diskFaultDelay {
		return nil
	}
	if Enabled(DiskFull) {
		return fmt.Errorf("the group's disk: %w", syscall.ENOSPC)
	}
	time.Sleep(diskStallTime)
	return nil
}
