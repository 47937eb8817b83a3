package frontend

import (
	"bytes"
	"strconv"
)

// maxScannedLine is the number of bytes of a line that are examined. A line with a valid Content-Length is not longer.
const maxScannedLine = 128

// headScanner finds the end of a request's head and the framing of its body, incrementally as bytes arrive. It splits lines like net/http,
// which cannot be relied on for the framing since it silently drops one of two contradicting lengths.
type headScanner struct {
	line                []byte // the start of the line that is arriving
	lineTruncated       bool   // the line that is arriving is longer than what is kept of it
	sawLine             bool   // a non-empty line has arrived
	hasLength           bool   // there is a Content-Length
	length              int64  // value of the Content-Length
	hasTransferEncoding bool
	invalidLength       bool // the Content-Length is malformed or its line too long, or there are two different ones
	done                bool // the head is complete
}

// scan processes the next bytes and returns how many of them belong to the head.
func (s *headScanner) scan(data []byte) int {
	scanned := 0
	for {
		rest := data[scanned:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.appendLine(rest)
			return len(data)
		}
		s.appendLine(rest[:end])
		scanned += end + 1
		s.scanLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
		s.lineTruncated = false
		if s.done {
			return scanned
		}
	}
}

// appendLine appends to the stored line, up to maxScannedLine.
func (s *headScanner) appendLine(part []byte) {
	kept := min(len(part), maxScannedLine-len(s.line))
	s.line = append(s.line, part[:kept]...)
	s.lineTruncated = s.lineTruncated || kept < len(part)
}

func (s *headScanner) scanLine(line []byte) {
	if len(line) == 0 {
		s.done = s.sawLine // net/http skips some empty lines before a request
		return
	}
	s.sawLine = true
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.hasTransferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.scanLength(value)
	}
}

// scanLength parses the value of a Content-Length.
func (s *headScanner) scanLength(value []byte) {
	length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	contradicts := s.hasLength && int64(length) != s.length
	if err != nil || s.lineTruncated || contradicts {
		s.invalidLength = true
	}
	s.hasLength = true
	s.length = int64(length)
}
