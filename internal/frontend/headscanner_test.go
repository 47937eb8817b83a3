package frontend

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// The scanner finds the same end of a head and the same framing as net/http, however the bytes are split.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte(rawRequestHead+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"), 7)
	f.Add([]byte(rawRequestHead+"Content-Length:\n 3\n\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		var whole, parts headScanner
		n := whole.scan(b)
		if !whole.done {
			t.Fatalf("net/http reads a complete head from %q, the scanner does not", b)
		}
		if i := max(0, min(split, n-1)); parts.scan(b[:i]) != i || i+parts.scan(b[i:n]) != n || !parts.done {
			t.Fatalf("the head of %q ends elsewhere if it is scanned in two parts", b)
		}
		if r.ContentLength > 0 && !whole.invalidLength && whole.length != r.ContentLength {
			t.Fatalf("length %d, net/http uses %d", whole.length, r.ContentLength)
		}
		if len(r.TransferEncoding) > 0 && !whole.hasTransferEncoding {
			t.Fatalf("net/http finds a transfer coding in %q, the scanner does not", b)
		}
	})
}
