package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Handler serves a message and returns the body of the answer. A *RejectedError is sent as status 409 with its reason. Any other error is
// sent as status 503 with its text: the message cannot be served at present. Handlers are called from several goroutines.
type Handler func(ctx context.Context, from Sender, body []byte) ([]byte, error)

// Handle registers the handler of messages from members at a path.
func (t *Transport) Handle(path string, handler Handler) {
	t.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		from := Sender{
			Name:        r.Header.Get(fromHeader),
			Incarnation: r.Header.Get(incarnationHeader),
			ClusterID:   r.Header.Get(clusterHeader),
		}
		if reason := t.rejectionReason(r, from); reason != "" {
			t.Counters.Rejected.Add(1)
			http.Error(w, reason, http.StatusConflict)
			return
		}
		t.serve(w, r, from, handler)
	})
}

// HandleOperator registers the handler of operators' calls at a path. The handler gets an empty Sender, because calls do not name one.
func (t *Transport) HandleOperator(path string, handler Handler) {
	t.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		t.serve(w, r, Sender{}, handler)
	})
}

// rejectionReason returns why a message is not for this member or not from a current member of its group. It is empty if the message is
// accepted.
func (t *Transport) rejectionReason(r *http.Request, from Sender) string {
	self := t.options.Identity()
	group, to := r.Header.Get(groupHeader), r.Header.Get(toHeader)
	_, isMember := t.member(from.Name)
	bothJoined := from.ClusterID != "" && self.ClusterID != ""
	switch {
	case group != t.options.Group:
		return fmt.Sprintf("group mismatch: got %q, want %q", group, t.options.Group)
	case to != t.options.Self:
		return fmt.Sprintf("message for member %q received by %q", to, t.options.Self)
	case !isMember:
		return fmt.Sprintf("%q is not a member in the operator's file", from.Name)
	case bothJoined && from.ClusterID != self.ClusterID:
		return fmt.Sprintf("cluster ID mismatch: got %q, want %q", from.ClusterID, self.ClusterID)
	case t.options.IsPastIncarnation(from.Name, from.Incarnation):
		return fmt.Sprintf("past incarnation of %s: %q", from.Name, from.Incarnation)
	}
	return ""
}

// serve reads a request's body, calls the handler and writes its answer.
func (t *Transport) serve(w http.ResponseWriter, r *http.Request, from Sender, handler Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		t.Counters.Rejected.Add(1)
		http.Error(w, "message truncated or too long", http.StatusBadRequest)
		return
	}
	t.Counters.Accepted.Add(1)
	t.Counters.BytesIn.Add(int64(len(body)))
	answer, err := handler(r.Context(), from, body)
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		http.Error(w, rejected.Reason, http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_, _ = w.Write(answer) // a sender that has disconnected detects the failure itself
	}
}
