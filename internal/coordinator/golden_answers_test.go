package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"birchfork/internal/goldentest"
)

// callPaths are the paths of operators' calls: from a member to the leader, relayed by another member, and from an operator, without the
// headers of a sender.
var callPaths = []struct {
	path   string
	header map[string]string
}{
	{"/group/call", memberHeader},
	{"/group/relay/group/call", memberHeader},
	{"/group/staff", nil},
}

// oddBodies are bodies that no client sends. Those in the last four lines can be decoded.
var oddBodies = []string{
	"", " \n", "no JSON", `{"status":true`, `{"status":true} {}`, `[]`, `"text"`,
	`{"found":"yes"}`, `{"vouch":1}`, `{"status":"<&>"}`, `{"command":[]}`,
	`null`, `{"unknown":"<&>"}`,
	`{"unknown":1,"command":{"id":"i","kind":"retire","name":"<nobody&>","unknown":{}}}`,
	`{"command":{"id":"j","kind":"no such kind"}}`,
	"{\"command\":{\"id\":\"k\",\"kind\":\"retire\",\"name\":\"\xff\u2028\"}}",
}

// TestGolden_OddCalls verifies that the answers to calls with malformed bodies, unknown fields and wrong methods have the same status,
// headers and body as in an earlier build.
func TestGolden_OddCalls(t *testing.T) {
	g := newTestGroup(t)
	defer g.close()
	startGroupOfOne(t, g)
	var out bytes.Buffer
	for _, call := range callPaths {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete} {
			answer := answerText(t, g.addresses[0], method, call.path, `{"status":true}`, call.header)
			fmt.Fprintf(&out, "%s %s\n%s", method, call.path, answer)
		}
		for _, body := range oddBodies {
			answer := answerText(t, g.addresses[0], http.MethodPost, call.path, body, call.header)
			fmt.Fprintf(&out, "POST %s %q\n%s", call.path, body, maskDecodeError(answer, body))
		}
	}
	goldentest.Check(t, "odd-calls.txt", out.Bytes())
}

// maskDecodeError masks the standard library's error of decoding a body into a Call, and the content length, as both differ between
// versions of Go. Only the exact text of the error is masked, plain or in JSON.
func maskDecodeError(answer, body string) string {
	err := json.Unmarshal([]byte(body), new(Call))
	if err == nil {
		return answer
	}
	masked := answer
	for _, form := range []string{err.Error(), strings.Trim(fmt.Sprintf("%q", err), `"`)} {
		masked = strings.ReplaceAll(masked, strings.Trim(fmt.Sprintf("%q", form), `"`), "(decode error)")
	}
	return contentLength.ReplaceAllString(masked, "Content-Length: #")
}

// answerText sends a request and returns the answer's status, headers except the date, and body, with each line quoted.
func answerText(t *testing.T, address, method, path, body string, header map[string]string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s\n", res.Proto, res.Status)
	for _, name := range slices.Sorted(maps.Keys(res.Header)) {
		if name != "Date" {
			fmt.Fprintf(&text, "%s: %s\n", name, strings.Join(res.Header[name], " | "))
		}
	}
	text.Write(raw)
	return goldentest.QuoteLines(text.String())
}
