package council

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"birchfork/internal/group"
	"birchfork/internal/outage"
)

// Times of a call.
const (
	clientWait  = 5 * time.Second        // for one member's answer
	clientBound = 12 * time.Second       // for an answer at all
	clientAgain = 200 * time.Millisecond // before another round of tries
)

// Client makes calls of staff.
type Client struct {
	At []string // where members listen for the group; the next is asked where one does not answer
}

// Ask makes a call until it is answered, or until it has taken too long: then the answer is that it is not settled yet. A
// command has one id over all tries, and so acts once.
func (c *Client) Ask(ctx context.Context, call Call) (*Reply, error) {
	if call.Command != nil && call.Command.ID == "" {
		call.Command.ID = rand.Text()[:16]
	}
	body, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientBound)
	defer cancel()
	last := errors.New("no member is named")
	for i := 0; ctx.Err() == nil && len(c.At) > 0; i++ {
		if i > 0 && i%len(c.At) == 0 {
			pause(ctx, clientAgain)
		}
		r, err := once(ctx, c.At[i%len(c.At)], body)
		switch {
		case err != nil:
			last = err
		case r.Code == outage.NotNow && strings.HasPrefix(r.Text, NotSettled):
			if last = errors.New(r.Text); r.Status != nil && i >= len(c.At)-1 {
				return r, nil // what a member knew last
			}
		default:
			return r, nil
		}
	}
	return &Reply{Code: outage.NotNow, Text: fmt.Sprintf("no member has settled it: %v", last)}, nil
}

func once(ctx context.Context, at string, body []byte) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+PathStaff, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	raw, err := group.Do(http.DefaultClient, req)
	if err != nil {
		return nil, err
	}
	r := &Reply{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s is no member of a group: %w", at, err)
	}
	return r, nil
}
