package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

// The headers that identify the group, the sender and the receiver of a message.
const (
	groupHeader       = "X-Birchfork-Group"
	clusterHeader     = "X-Birchfork-Founded"
	fromHeader        = "X-Birchfork-From"
	incarnationHeader = "X-Birchfork-Life"
	toHeader          = "X-Birchfork-To"
)

// Request sends a message to a member and returns the body of its answer. The error is a *RejectedError if the member rejects the message.
func (t *Transport) Request(ctx context.Context, to, path string, body []byte) ([]byte, error) {
	member, ok := t.member(to)
	if !ok {
		return nil, fmt.Errorf("%q is not a member in the operator's file", to)
	}
	req, err := newRequest(ctx, member.Address, path, body)
	if err != nil {
		return nil, err
	}
	self := t.options.Identity()
	req.Header.Set(groupHeader, t.options.Group)
	req.Header.Set(clusterHeader, self.ClusterID)
	req.Header.Set(fromHeader, self.Name)
	req.Header.Set(incarnationHeader, self.Incarnation)
	req.Header.Set(toHeader, to)
	return do(t.client, req)
}

// newRequest returns a request to a path at an address (host:port).
func newRequest(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
}

// do sends a request and returns the body of an answer with status 200. Status 409 is returned as a *RejectedError, any other status as an
// *unavailableError.
func do(client *http.Client, req *http.Request) ([]byte, error) {
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	switch res.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusConflict:
		return nil, &RejectedError{Reason: string(bytes.TrimSpace(body))}
	default:
		return nil, &unavailableError{message: fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(body))}
	}
}
