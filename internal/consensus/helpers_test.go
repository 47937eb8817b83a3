package consensus

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// mustClose closes c, and reports an error of Close as a test failure.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
