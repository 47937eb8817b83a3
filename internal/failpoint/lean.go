//go:build lean

// Package failpoint has no fault to switch on in a lean build: Enabled is a constant false.
package failpoint

import "time"

// The names of faults and conditions, none of which a lean build has.
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
	ReuseDots           = ""
	LastWriteWins       = ""
	AnswerBeforeSync    = ""
	OverwriteReplica    = ""
	NoEndpointExchange  = ""
	TrustDisk           = ""

	ClockSkew    = ""
	OlderBuild   = ""
	NewerEntries = ""
	DiskFull     = ""
	DiskStall    = ""
)

// Enabled reports whether a fault or condition is on: none ever is.
func Enabled(string) bool { return false }

// ClockOffset returns how far a member's wall clock is ahead: it never is.
func ClockOffset(string) time.Duration { return 0 }

// BeforeSyncedWrite does nothing.
func BeforeSyncedWrite(time.Time) error { return nil }
