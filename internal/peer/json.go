package peer

import "encoding/json"

// ServeJSON implements a Handler for JSON: it decodes body into a Request, calls serve and encodes the Reply. If decoding fails, it calls
// malformed with the decoder's error instead. It returns errors of malformed and serve unchanged.
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

// RejectMalformed returns a function for ServeJSON's malformed parameter. It rejects the message; the reason is prefix followed by the
// decoder's error.
func RejectMalformed[Reply any](prefix string) func(decodeErr error) (Reply, error) {
	return func(decodeErr error) (Reply, error) {
		var zero Reply
		return zero, &RejectedError{Reason: prefix + decodeErr.Error()}
	}
}
