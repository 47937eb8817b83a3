// Package enginetest creates engines for the tests of other packages.
package enginetest

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"birchfork/internal/engine"
	"birchfork/internal/settings"
)

// Settings are settings with three classes, one zone, one worker type and one tenant, in the platform's JSON.
const Settings = `{"classes":[{"name":"search","deadline":5,"aim":0.4,"effect":"free"},
	{"name":"quick","deadline":0.06,"aim":0.05,"effect":"free"},{"name":"book","deadline":5,"aim":0.4,"effect":"single_shot"}],"zones":["a"],"zone":"a","machine_types":["big"],
	"customers":[{"name":"acme","quota_rps":900}],
	"policy_limits":{"attempts_cap":1,"connect_timeout":0.25,"retry_after":true,"max_retry_after":2}}`

// DiscardLogger returns a logger that discards its output.
func DiscardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// New returns an engine with Settings and without workers. It is closed when the test ends. maxOpen limits its open requests; 0: no limit.
func New(t testing.TB, maxOpen int) *engine.Engine {
	t.Helper()
	return NewWith(t, maxOpen, Settings)
}

// NewWith is New with the given settings, in the platform's JSON.
func NewWith(t testing.TB, maxOpen int, text string) *engine.Engine {
	t.Helper()
	names := settings.NewNameTable()
	dispatchSettings, _, err := settings.DecodeJSON([]byte(text), names)
	if err != nil {
		t.Fatal(err)
	}
	e, err := engine.New(engine.Options{Settings: dispatchSettings, Names: names, Seed: 1, MaxOpen: maxOpen, Log: DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}
