package consensus

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// discardLogger returns a logger that writes nothing.
func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// mustClose closes c, and fails the test where that fails.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
