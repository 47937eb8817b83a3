// Package file follows a TOML file that lists workers, and reads it again when it changes. After an invalid change the last valid list stays
// in force.
package file

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"

	"birchfork/internal/endpointsource"
	"birchfork/internal/tomlfile"
)

// Timing of a source.
const (
	settleDelay  = 50 * time.Millisecond // from an event to the read, so that several events of one save cause one read
	pollInterval = 2 * time.Second       // the file is also read at this interval, in case the system reports no events
)

// Source follows one file. Its callbacks are called from the goroutine of Run, one at a time.
type Source struct {
	Path     string
	Log      logrus.FieldLogger
	OnUpdate func(endpointsource.Update)
	OnLost   func() // the file is missing or invalid; the list stays as it is

	lastContent string
	lastError   string // of the last read; empty if it was valid
}

// Run follows the file until ctx ends. It watches the directory, since editors replace the file rather than write to it.
func (s *Source) Run(ctx context.Context) {
	var events chan fsnotify.Event
	if watcher, err := fsnotify.NewWatcher(); err == nil {
		defer func() { _ = watcher.Close() }()
		if watcher.Add(filepath.Dir(s.Path)) == nil {
			events = watcher.Events
		}
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	s.reload()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-events:
			if !settle(ctx, events) {
				return
			}
		}
		s.reload()
	}
}

// settle waits for the settle delay and discards the events until then. It returns false if ctx ended.
func settle(ctx context.Context, events <-chan fsnotify.Event) bool {
	select {
	case <-time.After(settleDelay):
	case <-ctx.Done():
		return false
	}
	for {
		select {
		case <-events:
		default:
			return true
		}
	}
}

// reload reads the file. An unchanged file has no effect.
func (s *Source) reload() {
	raw, err := readFile(s.Path)
	unchanged := string(raw) == s.lastContent && s.lastError == ""
	if err == nil && unchanged {
		return
	}
	update := endpointsource.Update{Snapshot: true}
	if err == nil {
		update.Endpoints, err = Decode(s.Path, raw)
	}
	if err != nil {
		s.logOnce(err)
		s.OnLost()
		return
	}
	s.lastContent = string(raw)
	s.lastError = ""
	s.OnUpdate(update)
}

// logOnce logs an error unless the previous read failed with the same one.
func (s *Source) logOnce(err error) {
	if err.Error() != s.lastError {
		s.Log.WithError(err).WithField("path", s.Path).Error("invalid workers file; keeping the last valid list")
		s.lastError = err.Error()
	}
}

// readFile reads a file, up to one byte more than the maximum size.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, tomlfile.MaxSize+1))
}
