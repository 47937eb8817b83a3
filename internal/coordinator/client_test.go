package coordinator

import (
	"context"
	"strings"
	"testing"
	"time"

	"birchfork/internal/maintenance"
)

// The harness of the testbed repeats a call with the same id if its outcome is unknown. It recognizes such a reply by its text.
func TestClient_ReportsUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	client := Client{Addresses: []string{"127.0.0.1:1"}}
	reply, err := client.Do(ctx, Call{Command: &maintenance.Command{}})
	if err != nil || reply.Code != maintenance.CodeRetryLater || !strings.HasPrefix(reply.Text, OutcomeUnknownText+": ") {
		t.Errorf("reply %+v, error %v, want code %v and the text %q with a reason", reply, err, maintenance.CodeRetryLater, OutcomeUnknownText)
	}
}
