package peer

import "errors"

// RejectedError reports that a member has rejected a message and that a retry does not help. A Handler returns it to reject a message;
// Request and CallMember return it if the other member has rejected theirs.
type RejectedError struct {
	Reason string
}

// Error returns the reason that the member has given.
func (e *RejectedError) Error() string { return e.Reason }

// unavailableError reports that a member has answered that it cannot serve a request at present.
type unavailableError struct {
	message string
}

func (e *unavailableError) Error() string { return e.message }

// isAnswer reports whether err comes from a member's answer, which shows that the member is reachable.
func isAnswer(err error) bool {
	var rejected *RejectedError
	var unavailable *unavailableError
	return errors.As(err, &rejected) || errors.As(err, &unavailable)
}
