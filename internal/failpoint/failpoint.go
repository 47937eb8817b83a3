//go:build !lean

// Package failpoint enables deliberate faults in the program itself, to prove that the testbed's checks of a group detect them. Only the
// testbed's commands set one. A lean build has none: there Enabled always returns false, and the compiler removes the code that depends on
// it.
package failpoint

import (
	"fmt"
	"syscall"
	"time"
)

// The faults, by the names that scenarios and flags use. Each violates a rule, which a check has to detect.
const (
	SendWithoutLease    = "no-lease"       // requests are sent without a check of the lease
	OverlongLease       = "long-lease"     // a lease lasts longer than the group waits for its end
	IgnoreMemberReports = "few-words"      // a machine counts as drained without the members' reports
	IgnoreBudget        = "no-budget"      // maintenance of machines begins without a check of the disruption budget
	IgnoreUnavailable   = "dead-uncounted" // workers that are unavailable without maintenance do not count against the budget
	RandomMachineOrder  = "own-order"      // each member chooses the next machine at random
	RepeatCommands      = "acts-twice"     // a repeated call is carried out again
	IgnoreRestoredState = "forgets-out"    // a member that restarts with its disk ignores the restored state at first
	SendBeforeJoin      = "sees-anyway"    // a member that starts with an empty disk sends before it has the group's plans
	WaitForLostMembers  = "never-clear"    // a silent member blocks a drain indefinitely
	AnswerBeforeCommit  = "silent-answer"  // operators get a machine before their claim is committed
	IgnoreBusyWorkers   = "ignores-busy"   // running attempts do not block a drain
	NoOverrideExchange  = "words-stay"     // members do not exchange overrides
	EnabledWins         = "in-wins"        // of concurrent overrides the one that enables wins
	ResurrectEntries    = "reappears"      // an entry that was observed and removed is accepted again
	EjectOnPeerReport   = "leaves-alone"   // a worker that others report as an outlier gets no more requests
	NoOutlierReports    = "keeps-mum"      // members do not report outliers
	ReuseDots           = "count-again"    // after each restart a member counts its dots from the start again, under the same incarnation
	LastWriteWins       = "clock-wins"     // of two overrides the one with the later time wins; clocks are skewed as for ClockSkew
	AnswerBeforeSync    = "early-yes"      // operators get an answer seconds before an override is synced
	OverwriteReplica    = "overwrites"     // entries that a member pulls replace its own
	NoEndpointExchange  = "list-untold"    // members do not exchange endpoint lists
	AcceptOutdatedDisk  = "trusts-disk"    // a member accepts any disk as its latest one
)

// Conditions that a correct program has to tolerate. They violate no rule.
const (
	ClockSkew    = "clocks-apart" // the members' wall clocks differ by hours
	OlderBuild   = "older"        // a build that supports one command level less
	NewerEntries = "newer-words"  // a build that writes an entry of a kind of its own beside each override
	DiskFull     = "disk-fails"   // from diskFaultDelay after it was opened the disk accepts no write
	DiskStall    = "disk-stalls"  // from diskFaultDelay after it was opened each synced write takes diskStallTime
)

// Names lists the faults, in the order of the help text.
var Names = []string{
	SendWithoutLease, OverlongLease, IgnoreMemberReports, IgnoreBudget, IgnoreUnavailable, RandomMachineOrder, RepeatCommands,
	IgnoreRestoredState, SendBeforeJoin, WaitForLostMembers, AnswerBeforeCommit, IgnoreBusyWorkers, NoOverrideExchange, EnabledWins,
	ResurrectEntries, EjectOnPeerReport, NoOutlierReports, ReuseDots, LastWriteWins, AnswerBeforeSync, OverwriteReplica, AcceptOutdatedDisk,
	NoEndpointExchange,
}

// enabled is the fault or condition that is enabled; empty for none.
var enabled string

// Set enables one fault or condition and disables any other; an empty name disables all. It is not safe for concurrent use with the other
// functions.
func Set(name string) { enabled = name }

// Enabled reports whether a fault or condition is enabled.
func Enabled(name string) bool { return enabled == name }

// skewPerMember is the difference between the clocks of members with consecutive numbers under ClockSkew.
const skewPerMember = 2 * time.Hour

// ClockOffset returns how far a member's wall clock is ahead: skewPerMember times the last digit of its name under ClockSkew and
// LastWriteWins, else 0.
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

// BeforeSyncedWrite is called before each synced write to a disk, with the time at which that was opened. From diskFaultDelay after then
// it returns syscall.ENOSPC under DiskFull and blocks for diskStallTime under DiskStall.
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
