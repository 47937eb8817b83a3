package peer

import "encoding/json"

// ServeJSON implements a Handler for JSON: it decodes body into a Request, calls serve and encodes the Reply. If body does not decode, it
// calls malformed instead, with the decoder's error. Errors of malformed and serve are returned as they are.
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

// RejectMalformed returns a function for ServeJSON's malformed that rejects the message with prefix and the decoder's error as reason.
func RejectMalformed[Reply any](prefix string) func(decodeErr error) (Reply, error) {
	return func(decodeErr error) (Reply, error) {
		var zero Reply
		return zero, &RejectedError{Reason: prefix + decodeErr.Error()}
	}
}
