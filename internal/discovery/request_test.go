package discovery

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Retry-After is used if it is a positive number of seconds, and limited to one hour.
func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-3": 0, "0": 0, "soon": 0, "NaN": 0, "1e300": time.Hour,
		"+Inf": time.Hour, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		if got := parseRetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("Retry-After %q: %v, want %v", text, got, want)
		}
	}
}

// The memory of an endless list is bounded.
func TestListReader_LimitsLength(t *testing.T) {
	r := &listReader{source: strings.NewReader("[1,2,3,4]"), bytesLeft: 4, onLine: func() error { return nil }}
	if got, err := io.ReadAll(r); !errors.Is(err, errListTooLong) || len(got) != 4 {
		t.Errorf("read %q, %v, want 4 bytes and %v", got, err, errListTooLong)
	}
}
