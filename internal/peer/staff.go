package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// staffWait is for one member's answer to staff.
const staffWait = 5 * time.Second

// Staff makes a call of staff at one member, under a path of HandleStaff, and reads its answer.
func Staff(ctx context.Context, at, path string, call, answer any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, staffWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	raw, err := Do(http.DefaultClient, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("%s is no member of a group: %w", at, err)
	}
	return nil
}
