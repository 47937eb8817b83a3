package peer

import "errors"

// RejectedError is an answer by which a member declines a request permanently: a retry does not help. A Handler returns one to decline a
// message, and Request and CallMember return the one that the other side has declined with.
type RejectedError struct {
	Reason string
}

// Error returns the reason as the member gave it.
func (e *RejectedError) Error() string { return e.Reason }

// unavailableError is an answer by which a member reports that it cannot serve a request at present.
type unavailableError struct {
	message string
}

func (e *unavailableError) Error() string { return e.message }

// isAnswer reports whether err is a member's answer, so that the member can be reached.
func isAnswer(err error) bool {
	var rejected *RejectedError
	var unavailable *unavailableError
	return errors.As(err, &rejected) || errors.As(err, &unavailable)
}
