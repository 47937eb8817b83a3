//go:build lean

// Package failpoint is left out of this build: no fault can be switched on.
package failpoint

import "time"

// The faults' names, for those who ask.
const (
	NoLease       = ""
	LongLease     = ""
	FewWords      = ""
	NoBudget      = ""
	DeadUncounted = ""
	OwnOrder      = ""
	ActsTwice     = ""
	ForgetsOut    = ""
	SeesAnyway    = ""
	NeverClear    = ""
	SilentAnswer  = ""
	IgnoresBusy   = ""
	WordsStay     = ""
	InWins        = ""
	Reappears     = ""
	LeavesAlone   = ""
	KeepsMum      = ""
	Older         = ""
	TrustsDisk    = ""
	ListUntold    = ""
	CountAgain    = ""
	ClockWins     = ""
	ClocksApart   = ""
	EarlyYes      = ""
	Overwrites    = ""
	NewerWords    = ""
	DiskFails     = ""
	DiskStalls    = ""
)

// Skew is how far a member's wall clock is off: it never is.
func Skew(string) time.Duration { return 0 }

// On tells whether a fault is switched on: none ever is.
func On(string) bool { return false }

// Write is what becomes of a synced write by plan: nothing.
func Write(time.Time) error { return nil }
