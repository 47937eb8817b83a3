package frontend

import (
	"bytes"
	"strconv"
)

// headScanner finds the end of a request's head and how the request is framed, in the bytes as they come. It takes lines as
// net/http does, whose own reading drops one of two contradicting lengths and does not tell.
type headScanner struct {
	line                []byte // the beginning of the line that is coming
	sawLine             bool   // a line has come
	hasLength           bool   // it has a Content-Length ...
	length              int64  // ... of so much
	hasTransferEncoding bool   // it has a Transfer-Encoding
	invalidLength       bool   // its length is no number, or there are two
	done                bool
}

// maxScannedLine is how much of a line is looked at. No longer one gives a length in good faith.
const maxScannedLine = 128

// scan takes what has come and returns how much of it belongs to the head.
func (s *headScanner) scan(data []byte) int {
	for offset := 0; ; {
		end := bytes.IndexByte(data[offset:], '\n')
		part := data[offset:]
		if end >= 0 {
			part = part[:end]
		}
		s.line = append(s.line, part[:min(len(part), maxScannedLine-len(s.line))]...)
		if end < 0 {
			return len(data)
		}
		offset += end + 1
		s.scanLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
		if s.done {
			return offset
		}
	}
}

func (s *headScanner) scanLine(line []byte) {
	if len(line) == 0 {
		s.done = s.sawLine // net/http passes over some line ends before a request
		return
	}
	s.sawLine = true
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.hasTransferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil || len(line) == maxScannedLine || s.hasLength && int64(length) != s.length {
			s.invalidLength = true
		}
		s.hasLength, s.length = true, int64(length)
	}
}
