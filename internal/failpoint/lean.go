//go:build lean

// Package failpoint is left out of this build: no fault can be switched on.
package failpoint

import "time"

// The faults' names, for those who ask.
const (
	SendWithoutLease    = ""
	OverlongLease       = ""
	IgnoreMemberReports = ""
	IgnoreBudget        = ""
	IgnoreUnavailable   = ""
	RandomMachineOrder  = ""
	RepeatCommands      = ""
	IgnoreRestoredState = ""
	SendBeforeJoin      = ""
	WaitForLostMembers  = ""
	AnswerBeforeCommit  = ""
	IgnoreBusyWorkers   = ""
	NoOverrideExchange  = ""
	EnabledWins         = ""
	ResurrectEntries    = ""
	EjectOnPeerReport   = ""
	NoOutlierReports    = ""
	OlderBuild          = ""
	TrustDisk           = ""
	NoEndpointExchange  = ""
	ReuseDots           = ""
	LastWriteWins       = ""
	ClockSkew           = ""
	AnswerBeforeSync    = ""
	OverwriteReplica    = ""
	NewerEntries        = ""
	DiskFull            = ""
	DiskStall           = ""
)

// ClockOffset is how far a member's wall clock is off: it never is.
func ClockOffset(string) time.Duration { return 0 }

// Enabled tells whether a fault is switched on: none ever is.
func Enabled(string) bool { return false }

// BeforeSyncedWrite is what becomes of a synced write by plan: nothing.
func BeforeSyncedWrite(time.Time) error { return nil }
