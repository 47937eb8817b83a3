//go:build lean

// Package plant is left out of this build: no fault can be switched on.
package plant

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
	DiskFails     = ""
)

// On tells whether a fault is switched on: none ever is.
func On(string) bool { return false }
