package peer

import "encoding/json"

// ServeJSON is the frame of a Handler for JSON: it decodes body into a request, calls serve and encodes the reply. What a body that
// does not decode is answered with is up to malformed. Errors of both go on to the caller.
func ServeJSON[Request, Reply any](
	body []byte,
	malformed func(decodeErr error) (Reply, error),
	serve func(*Request) (Reply, error),
) ([]byte, error) {
	var request Request
	var reply Reply
	err := json.Unmarshal(body, &request)
	if err != nil {
		reply, err = malformed(err)
	} else {
		reply, err = serve(&request)
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(reply)
}

// RejectMalformed returns a malformed for ServeJSON that rejects the message with a reason which begins with prefix.
func RejectMalformed[Reply any](prefix string) func(decodeErr error) (Reply, error) {
	return func(decodeErr error) (Reply, error) {
		var none Reply
		return none, &RejectedError{Reason: prefix + decodeErr.Error()}
	}
}
