//go:build lean

// Package failpoint has no failpoints in a lean build: Enabled always returns false.
package failpoint

import "time"

// The names of the failpoints. They are empty, because a lean build has none.
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

// Enabled always returns false.
func Enabled(string) bool { return false }

// ClockOffset returns 0: wall clocks are not skewed in a lean build.
func ClockOffset(string) time.Duration { return 0 }

// BeforeSyncedWrite does nothing.
func BeforeSyncedWrite(time.Time) error { return nil }
