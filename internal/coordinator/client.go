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
	clientTimeout       = 12 * time.Second       // for an answer at all
	clientRetryInterval = 200 * time.Millisecond // before another round of tries
)

// Client makes calls of staff.
type Client struct {
	Addresses []string // where members listen for the group; the next is asked where one does not answer
}

// Do makes a call until it is answered, or until it has taken too long: then the answer is that it is not settled yet. A
// command has one id over all tries, and so acts once.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	if call.Command != nil && call.Command.ID == "" {
		call.Command.ID = rand.Text()[:16]
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	lastErr := errors.New("no member is named")
	for i := 0; ctx.Err() == nil && len(c.Addresses) > 0; i++ {
		if i > 0 && i%len(c.Addresses) == 0 {
			sleep(ctx, clientRetryInterval)
		}
		reply := &Reply{}
		err := peer.CallMember(ctx, c.Addresses[i%len(c.Addresses)], PathOperator, call, reply)
		switch {
		case err != nil && ctx.Err() != nil && i > 0: // our own time is up: what was wrong before tells more
		case err != nil:
			lastErr = err
		case reply.Code == maintenance.CodeRetryLater && strings.HasPrefix(reply.Text, NotCommittedText):
			if lastErr = errors.New(reply.Text); reply.Status != nil && i >= len(c.Addresses)-1 {
				return reply, nil // what a member knew last
			}
		default:
			return reply, nil
		}
	}
	return &Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf("no member has settled it: %v", lastErr)}, nil
}
