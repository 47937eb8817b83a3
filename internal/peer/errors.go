package peer

import "errors"

// RejectedError is an answer by which a member declines a request for good: asking it again changes nothing. A Handler returns one
// to decline, and Request and CallMember return what the other side declined with.
type RejectedError struct {
	Reason string
}

// Error returns the reason as the member gave it.
func (e *RejectedError) Error() string { return e.Reason }

// unavailableError is an answer by which a member says that it cannot serve a request now.
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
