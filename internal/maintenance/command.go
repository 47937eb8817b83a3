package maintenance

import (
	"fmt"
	"slices"

	"birchfork/internal/failpoint"
)

// CommandKind is the kind of a Command.
type CommandKind string

// The kinds of commands. The comments name the fields of Command that each kind uses.
const (
	CommandJoinMember    CommandKind = "join"    // Member
	CommandRetireMember  CommandKind = "retire"  // Name of the member
	CommandTrustHistory  CommandKind = "trust"   // no field; resets State.HistoryLost
	CommandSubmitPlan    CommandKind = "plan"    // Plan
	CommandStartPlan     CommandKind = "start"   // Name of the plan, as for the next three kinds
	CommandPausePlan     CommandKind = "pause"   // drains no further machine
	CommandResumePlan    CommandKind = "resume"  // continues a paused plan
	CommandAbortPlan     CommandKind = "abort"   // returns unclaimed machines to service, and ends the plan once all are back
	CommandClaimMachine  CommandKind = "wait"    // Machine, and Name of its plan if Machine is not unique: operators claim a drained machine
	CommandSkipMachine   CommandKind = "skip"    // Machine and Name as above: the plan skips the machine
	CommandReturnMachine CommandKind = "done"    // Machine and Name as above: operators return a machine, with its workers restarted
	CommandAdvance       CommandKind = "advance" // Advance
)

// Command is one entry of the group's log.
type Command struct {
	ID      string      `json:"id,omitempty"` // of an operator's call: a command whose ID has a result is not executed again
	Kind    CommandKind `json:"kind"`
	Name    string      `json:"name,omitempty"`
	Machine string      `json:"machine,omitempty"`
	Plan    *Plan       `json:"plan,omitempty"`
	Member  *Member     `json:"member,omitempty"`
	Advance *Advance    `json:"advance,omitempty"`
	Level   int         `json:"needs,omitempty"` // the lowest level that a build has to support; see RequiredLevel
}

// The levels of commands. A build that does not support a command's level must not skip the command: it stops taking part in consensus.
const (
	levelBase    = 1
	levelCompact = 2 // machines by host, compact proposals, CommandTrustHistory

	// MaxLevel is the highest level that this build supports.
	MaxLevel = levelCompact
)

// SupportedLevel returns MaxLevel, or one less while failpoint.OlderBuild is enabled.
func SupportedLevel() int {
	if failpoint.Enabled(failpoint.OlderBuild) {
		return MaxLevel - 1
	}
	return MaxLevel
}

// RequiredLevel returns the lowest level that a build has to support to execute the command.
func (c *Command) RequiredLevel() int {
	hasHost := func(machine Machine) bool { return machine.Host != "" }
	switch {
	case c.Kind == CommandTrustHistory:
		return levelCompact
	case c.Plan != nil && slices.ContainsFunc(c.Plan.Machines, hasHost):
		return levelCompact
	case c.Advance != nil && c.Advance.isCompact():
		return levelCompact
	}
	return levelBase
}

// Result is the result of an operator's call.
type Result struct {
	ID   string `json:"id"` // of the command
	Code Code   `json:"code"`
	Text string `json:"text"`
}

// Code is the outcome of a call, and the exit status of the operators' command.
type Code int

// The codes of results.
const (
	CodeOK         Code = 0
	CodeInvalid    Code = 1 // the call is invalid in the present state; repeating it does not help
	CodeRetryLater Code = 2 // the call is not possible yet and may be repeated
)

func succeeded(format string, args ...any) Result {
	return Result{Code: CodeOK, Text: fmt.Sprintf(format, args...)}
}

func rejected(format string, args ...any) Result {
	return Result{Code: CodeInvalid, Text: fmt.Sprintf(format, args...)}
}

func retryLater(format string, args ...any) Result {
	return Result{Code: CodeRetryLater, Text: fmt.Sprintf(format, args...)}
}

// Event is a change that a command made. Events are logged.
type Event struct {
	Plan    string `json:"plan,omitempty"`    // empty: the event concerns no plan
	Machine string `json:"machine,omitempty"` // empty: the event concerns no machine
	Text    string `json:"what"`
}
