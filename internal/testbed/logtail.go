package testbed

import (
	"bytes"
	"os"
	"strings"
	"sync"
)

// maxTailBytes is the size of the part of a process's output that is kept in memory.
const maxTailBytes = 4 << 10

// logTail keeps the end of a process's output. It is safe for concurrent use.
type logTail struct {
	file *os.File // gets the complete output; nil: none

	mu  sync.Mutex
	buf []byte
}

// Write keeps the last maxTailBytes of the output. It never fails.
func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.file != nil {
		_, _ = t.file.Write(p) // best effort: the tail holds the end of the output
	}
	t.buf = append(t.buf, p...)
	if len(t.buf) > maxTailBytes {
		t.buf = append(t.buf[:0], t.buf[len(t.buf)-maxTailBytes:]...)
	}
	return len(p), nil
}

// contains reports whether the kept output contains a text.
func (t *logTail) contains(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Contains(t.buf, []byte(text))
}

// lastLine returns the last line of the output.
func (t *logTail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.buf)), "\n")
	return lines[len(lines)-1]
}
