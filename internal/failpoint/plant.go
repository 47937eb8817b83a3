//go:build !lean

// Package failpoint switches faults on in the program itself, to prove that the lab's judge of a group sees them. Nothing but the
// lab's own command sets one; a lean build has none of it.
package failpoint

import (
	"fmt"
	"syscall"
	"time"
)

// The faults, by name. What each breaks stands where it is asked for.
const (
	SendWithoutLease    = "no-lease"       // sends go out without a look at the lease
	OverlongLease       = "long-lease"     // a lease runs longer than the group waits
	IgnoreMemberReports = "few-words"      // a machine is clear by the leader's own word
	IgnoreBudget        = "no-budget"      // the core does not count what is away
	IgnoreUnavailable   = "dead-uncounted" // what is away by itself does not count
	RandomMachineOrder  = "own-order"      // each member chooses the next machine by its own lights
	RepeatCommands      = "acts-twice"     // a call that comes again acts again
	IgnoreRestoredState = "forgets-out"    // a member that starts again with its disk does not put in force what that has
	SendBeforeJoin      = "sees-anyway"    // a member that starts with an empty disk sends before it has heard of the group
	WaitForLostMembers  = "never-clear"    // a lost member is waited for for ever
	AnswerBeforeCommit  = "silent-answer"  // staff hear yes before it is settled
	IgnoreBusyWorkers   = "ignores-busy"   // what runs at a machine does not keep it from being clear
	NoOverrideExchange  = "words-stay"     // no member tells another its words
	EnabledWins         = "in-wins"        // of words that did not see each other "back" counts
	ResurrectEntries    = "reappears"      // an entry that was seen and is gone is taken again
	EjectOnPeerReport   = "leaves-alone"   // a worker that others warn of gets nothing any more
	NoOutlierReports    = "keeps-mum"      // nobody warns the others
	ReuseDots           = "count-again"    // a member's words count from one again after each start, under one life
	LastWriteWins       = "clock-wins"     // of two words the one with the later time counts; members' clocks are hours apart
	AnswerBeforeSync    = "early-yes"      // staff hear yes seconds before a word is synced
	OverwriteReplica    = "overwrites"     // what a member hears replaces what it has
	ClockSkew           = "clocks-apart"   // no fault of ours: members' clocks are hours apart
	NoEndpointExchange  = "list-untold"    // no member tells another what its discovery has told
	TrustDisk           = "trusts-disk"    // a member takes its disk for its last one, whatever it is
	OlderBuild          = "older"          // no fault of ours: a build of before, which knows less of settled entries
	NewerEntries        = "newer-words"    // no fault of ours: a build to come, which beside each word says an entry of a kind of its own
	DiskFull            = "disk-fails"     // no fault of ours: some seconds after its start the disk takes nothing any more
	DiskStall           = "disk-stalls"    // no fault of ours: some seconds after its start each synced write takes seconds
)

// Names are all faults of ours.
var Names = []string{
	SendWithoutLease, OverlongLease, IgnoreMemberReports, IgnoreBudget, IgnoreUnavailable, RandomMachineOrder, RepeatCommands, IgnoreRestoredState, SendBeforeJoin, WaitForLostMembers, AnswerBeforeCommit,
	IgnoreBusyWorkers, NoOverrideExchange, EnabledWins, ResurrectEntries, EjectOnPeerReport, NoOutlierReports, ReuseDots, LastWriteWins, AnswerBeforeSync, OverwriteReplica, TrustDisk, NoEndpointExchange,
}

// ClockOffset is how far a member's wall clock is off, where clocks are to be apart: by two hours for each count of its name's last digit.
func ClockOffset(member string) time.Duration {
	if enabled != ClockSkew && enabled != LastWriteWins || member == "" {
		return 0
	}
	return time.Duration(member[len(member)-1]-'0') * 2 * time.Hour
}

var enabled string

// Set switches one fault on, before anything is started; empty: none.
func Set(name string) { enabled = name }

// Enabled tells whether a fault is switched on.
func Enabled(name string) bool { return enabled == name }

// How disks fail by plan: so long after they were opened, and how long a write takes from then on.
const (
	diskFaultDelay = 6 * time.Second
	diskStallTime  = 5 * time.Second
)

// BeforeSyncedWrite is what becomes of a synced write to a disk that was opened then: it fails, or takes seconds, if that is switched on.
func BeforeSyncedWrite(opened time.Time) error {
	if (!Enabled(DiskFull) && !Enabled(DiskStall)) || time.Since(opened) < diskFaultDelay {
		return nil
	}
	if Enabled(DiskFull) {
		return fmt.Errorf("the group's disk: %w", syscall.ENOSPC)
	}
	time.Sleep(diskStallTime)
	return nil
}
