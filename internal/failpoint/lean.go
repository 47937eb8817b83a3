//go:build lean

// Package failpoint has no fault to enable in a lean build: Enabled always returns false.
package failpoint

import "time"

// The names of the faults and conditions. A lean build has none of them.
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
	AcceptOutdatedDisk  = ""

	ClockSkew    = ""
	OlderBuild   = ""
	NewerEntries = ""
	DiskFull     = ""
	DiskStall    = ""
)

// Enabled reports whether a fault or condition is enabled, which none is in a lean build.
func Enabled(string) bool { return false }

// ClockOffset returns how far a member's wall clock is ahead, which is always 0 in a lean build.
func ClockOffset(string) time.Duration { return 0 }

// BeforeSyncedWrite does nothing.
func BeforeSyncedWrite(time.Time) error { return nil }
