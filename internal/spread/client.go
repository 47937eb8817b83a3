package spread

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"birchfork/internal/group"
)

// clientWait is for one member's answer.
const clientWait = 5 * time.Second

// Ask makes a call of staff at one member: that one's words are told, and it takes a word.
func Ask(ctx context.Context, at string, c Call) (*Reply, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+PathStaff, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	raw, err := group.Do(http.DefaultClient, req)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", at, err)
	}
	r := &Reply{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s is no member of a group: %w", at, err)
	}
	return r, nil
}
