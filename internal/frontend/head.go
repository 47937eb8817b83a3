package frontend

import (
	"bytes"
	"strconv"
)

// headScan finds the end of a request's head and how the request is framed, in the bytes as they come. It takes lines as
// net/http does, whose own reading drops one of two contradicting lengths and does not tell.
type headScan struct {
	line   []byte // the beginning of the line that is coming
	some   bool   // a line has come
	sized  bool   // it has a Content-Length ...
	length int64  // ... of so much
	coded  bool   // it has a Transfer-Encoding
	odd    bool   // its length is no number, or there are two
	done   bool
}

// lineKept is how much of a line is looked at. No longer one gives a length in good faith.
const lineKept = 128

// scan takes what has come and returns how much of it belongs to the head.
func (h *headScan) scan(b []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(b[at:], '\n')
		part := b[at:]
		if end >= 0 {
			part = part[:end]
		}
		h.line = append(h.line, part[:min(len(part), lineKept-len(h.line))]...)
		if end < 0 {
			return len(b)
		}
		at += end + 1
		h.takeLine(bytes.TrimSuffix(h.line, []byte{'\r'}))
		h.line = h.line[:0]
		if h.done {
			return at
		}
	}
}

func (h *headScan) takeLine(line []byte) {
	if len(line) == 0 {
		h.done = h.some // net/http passes over some line ends before a request
		return
	}
	h.some = true
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.coded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil || len(line) == lineKept || h.sized && int64(n) != h.length {
			h.odd = true
		}
		h.sized, h.length = true, int64(n)
	}
}
