package coordinator

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"birchfork/internal/peer"
)

// Timeouts and intervals of a client.
const (
	clientTimeout       = 12 * time.Second       // of a call, including all attempts
	clientRetryInterval = 200 * time.Millisecond // between rounds over all addresses
)

// commandIDLength is the length of a command's ID in characters.
const commandIDLength = 16

// Client sends operators' calls. It is safe for concurrent use.
type Client struct {
	Addresses []string // host:port of members, tried in this order until one answers
}

// Do sends a call to one member after another until one answers. After clientTimeout it returns a reply with maintenance.CodeRetryLater.
// All attempts of a command have the same ID, so that it is executed once. The error is always nil.
func (c *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	if call.Command != nil && call.Command.ID == "" {
		call.Command.ID = rand.Text()[:commandIDLength]
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	lastErr := errors.New("no member is named")
	for i := 0; ctx.Err() == nil && len(c.Addresses) > 0; i++ {
		beginsRound := i > 0 && i%len(c.Addresses) == 0
		if beginsRound {
			sleep(ctx, clientRetryInterval)
		}
		reply := &Reply{}
		if err := peer.CallMember(ctx, c.Addresses[i%len(c.Addresses)], PathOperator, call, reply); err != nil {
			isOwnTimeout := ctx.Err() != nil && i > 0
			if !isOwnTimeout { // the error before this client's own timeout is more informative
				lastErr = err
			}
			continue
		}
		if !reply.isNotCommitted() {
			return reply, nil
		}
		lastErr = errors.New(reply.Text)
		triedAll := i >= len(c.Addresses)-1
		if triedAll && reply.Status != nil {
			return reply, nil // the status known to that member only
		}
	}
	return retryLater("%s: %v", OutcomeUnknownText, lastErr), nil
}
