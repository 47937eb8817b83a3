package peer

import (
	"errors"
	"testing"
)

// TestServeJSON verifies that replies are encoded, that errors are returned, and that malformed handles a body that is not valid JSON.
func TestServeJSON(t *testing.T) {
	type request struct {
		N int `json:"n"`
	}
	type reply struct {
		Twice int    `json:"twice"`
		Text  string `json:"text,omitempty"`
	}
	twice := func(r *request) (reply, error) {
		if r.N < 0 {
			return reply{}, errors.New("below 0")
		}
		return reply{Twice: 2 * r.N}, nil
	}
	explain := func(err error) (reply, error) { return reply{Text: err.Error()}, nil }
	for _, c := range []struct {
		name, body string
		malformed  func(error) (reply, error)
		want       string
		wantErr    string
	}{
		{"a request", `{"n":3}`, explain, `{"twice":6}`, ""},
		{"an error", `{"n":-1}`, explain, "", "below 0"},
		{"malformed, answered", `{`, explain, `{"twice":0,"text":"unexpected end of JSON input"}`, ""},
		{"malformed, rejected", `{`, RejectMalformed[reply]("malformed request: "), "", "malformed request: unexpected end of JSON input"},
	} {
		got, err := ServeJSON([]byte(c.body), c.malformed, twice)
		gotErr := ""
		if err != nil {
			gotErr = err.Error()
		}
		if string(got) != c.want || gotErr != c.wantErr {
			t.Errorf("%s: %s, %v; want %s, %s", c.name, got, err, c.want, c.wantErr)
		}
	}
	var rejected *RejectedError
	if _, err := ServeJSON(nil, RejectMalformed[reply](""), twice); !errors.As(err, &rejected) {
		t.Errorf("rejected with %T, want a *RejectedError", err)
	}
}
