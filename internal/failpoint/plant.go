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
	NoLease       = "no-lease"       // sends go out without a look at the lease
	LongLease     = "long-lease"     // a lease runs longer than the group waits
	FewWords      = "few-words"      // a machine is clear by the leader's own word
	NoBudget      = "no-budget"      // the core does not count what is away
	DeadUncounted = "dead-uncounted" // what is away by itself does not count
	OwnOrder      = "own-order"      // each member chooses the next machine by its own lights
	ActsTwice     = "acts-twice"     // a call that comes again acts again
	ForgetsOut    = "forgets-out"    // a member that starts again with its disk does not put in force what that has
	SeesAnyway    = "sees-anyway"    // a member that starts with an empty disk sends before it has heard of the group
	NeverClear    = "never-clear"    // a lost member is waited for for ever
	SilentAnswer  = "silent-answer"  // staff hear yes before it is settled
	IgnoresBusy   = "ignores-busy"   // what runs at a machine does not keep it from being clear
	WordsStay     = "words-stay"     // no member tells another its words
	InWins        = "in-wins"        // of words that did not see each other "back" counts
	Reappears     = "reappears"      // an entry that was seen and is gone is taken again
	LeavesAlone   = "leaves-alone"   // a worker that others warn of gets nothing any more
	KeepsMum      = "keeps-mum"      // nobody warns the others
	CountAgain    = "count-again"    // a member's words count from one again after each start, under one life
	ClockWins     = "clock-wins"     // of two words the one with the later time counts; members' clocks are hours apart
	EarlyYes      = "early-yes"      // staff hear yes seconds before a word is synced
	Overwrites    = "overwrites"     // what a member hears replaces what it has
	ClocksApart   = "clocks-apart"   // no fault of ours: members' clocks are hours apart
	ListUntold    = "list-untold"    // no member tells another what its discovery has told
	TrustsDisk    = "trusts-disk"    // a member takes its disk for its last one, whatever it is
	Older         = "older"          // no fault of ours: a build of before, which knows less of settled entries
	NewerWords    = "newer-words"    // no fault of ours: a build to come, which beside each word says an entry of a kind of its own
	DiskFails     = "disk-fails"     // no fault of ours: some seconds after its start the disk takes nothing any more
	DiskStalls    = "disk-stalls"    // no fault of ours: some seconds after its start each synced write takes seconds
)

// Names are all faults of ours.
var Names = []string{
	NoLease, LongLease, FewWords, NoBudget, DeadUncounted, OwnOrder, ActsTwice, ForgetsOut, SeesAnyway, NeverClear, SilentAnswer,
	IgnoresBusy, WordsStay, InWins, Reappears, LeavesAlone, KeepsMum, CountAgain, ClockWins, EarlyYes, Overwrites, TrustsDisk, ListUntold,
}

// Skew is how far a member's wall clock is off, where clocks are to be apart: by two hours for each count of its name's last digit.
func Skew(member string) time.Duration {
	if on != ClocksApart && on != ClockWins || member == "" {
		return 0
	}
	return time.Duration(member[len(member)-1]-'0') * 2 * time.Hour
}

var on string

// Set switches one fault on, before anything is started; empty: none.
func Set(name string) { on = name }

// On tells whether a fault is switched on.
func On(name string) bool { return on == name }

// How disks fail by plan: so long after they were opened, and how long a write takes from then on.
const (
	diskLasts  = 6 * time.Second
	diskStalls = 5 * time.Second
)

// Write is what becomes of a synced write to a disk that was opened then: it fails, or takes seconds, if that is switched on.
func Write(opened time.Time) error {
	if (!On(DiskFails) && !On(DiskStalls)) || time.Since(opened) < diskLasts {
		return nil
	}
	if On(DiskFails) {
		return fmt.Errorf("the group's disk: %w", syscall.ENOSPC)
	}
	time.Sleep(diskStalls)
	return nil
}
