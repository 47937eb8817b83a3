package coordinator

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"birchfork/internal/peer"
)

// Times of a client.
const (
	clientTimeout       = 12 * time.Second       // for a call, over all attempts
	clientRetryInterval = 200 * time.Millisecond // between rounds of attempts
)

// commandIDLength is the number of characters of a command's ID.
const commandIDLength = 16

// Client makes operators' calls. It is safe for concurrent use.
type Client struct {
	Addresses []string // of members, host:port; the next one is called if one does not answer
}

// Do makes a call at one member after another, until one answers or 12 s have passed; in the latter case the reply has
// maintenance.CodeRetryLater. All attempts of a command share one ID, so that it is carried out once. The error is always nil.
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
			if !isOwnTimeout { // after a timeout of this client the error before it explains more
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
			return reply, nil // the status as known to that member alone
		}
	}
	return retryLater("no member has settled it: %v", lastErr), nil
}
