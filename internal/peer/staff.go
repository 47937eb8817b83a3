package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout is for one member's answer to staff.
const callTimeout = 5 * time.Second

// CallMember makes a call of staff at one member, under a path of HandleStaff, and reads its answer.
func CallMember(ctx context.Context, address, path string, call, answer any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	raw, err := do(http.DefaultClient, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("%s is no member of a group: %w", address, err)
	}
	return nil
}
