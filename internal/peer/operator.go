package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout limits an operator's call to one member.
const callTimeout = 5 * time.Second

// CallMember makes an operator's call to the member at address (host:port), at a path that HandleOperator serves: it sends call as JSON
// and decodes the answer into reply. It times out after callTimeout. The error is a *RejectedError if the member rejects the call.
func CallMember(ctx context.Context, address, path string, call, reply any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := newRequest(ctx, address, path, body)
	if err != nil {
		return err
	}
	raw, err := do(http.DefaultClient, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("malformed answer from %s, which may not be a group member: %w", address, err)
	}
	return nil
}
