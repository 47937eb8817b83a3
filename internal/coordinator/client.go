package coordinator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Times of a call.
const (
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
	ctx, cancel := context.WithTimeout(ctx, clientBound)
	defer cancel()
	last := errors.New("no member is named")
	for i := 0; ctx.Err() == nil && len(c.At) > 0; i++ {
		if i > 0 && i%len(c.At) == 0 {
			pause(ctx, clientAgain)
		}
		r := &Reply{}
		err := peer.Staff(ctx, c.At[i%len(c.At)], PathStaff, call, r)
		switch {
		case err != nil && ctx.Err() != nil && i > 0: // our own time is up: what was wrong before tells more
		case err != nil:
			last = err
		case r.Code == maintenance.NotNow && strings.HasPrefix(r.Text, NotSettled):
			if last = errors.New(r.Text); r.Status != nil && i >= len(c.At)-1 {
				return r, nil // what a member knew last
			}
		default:
			return r, nil
		}
	}
	return &Reply{Code: maintenance.NotNow, Text: fmt.Sprintf("no member has settled it: %v", last)}, nil
}
