package engine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// scriptedDecider is a decision module that records its events and returns the actions of a function of the test.
type scriptedDecider struct {
	events  []dispatch.Event
	times   []dispatch.Time
	respond func(e *dispatch.Event) []dispatch.Action
}

func (d *scriptedDecider) Handle(now dispatch.Time, event *dispatch.Event, out []dispatch.Action) []dispatch.Action {
	d.events = append(d.events, *event)
	d.times = append(d.times, now)
	if d.respond == nil {
		return out
	}
	return append(out, d.respond(event)...)
}

// eventsOf returns the events of one kind.
func (d *scriptedDecider) eventsOf(kind dispatch.EventKind) (events []dispatch.Event) {
	for _, event := range d.events {
		if event.Kind == kind {
			events = append(events, event)
		}
	}
	return events
}

// count returns the number of events of one kind.
func (d *scriptedDecider) count(kind dispatch.EventKind) int { return len(d.eventsOf(kind)) }

// basicSettings are settings with one class, one zone, one kind of worker and one tenant, in the platform's JSON.
const basicSettings = `{"classes":[{"name":"search","deadline":5,"aim":0.4,"effect":"free"}],"zones":["a"],"zone":"a",
	"machine_types":["big"],"customers":[{"name":"acme","quota_rps":9}],"policy_limits":{"attempts_cap":3}}`

// decodeSettings decodes settings in the platform's JSON.
func decodeSettings(t *testing.T, settingsJSON string) (dispatch.Settings, *settings.NameTable) {
	t.Helper()
	names := settings.NewNameTable()
	decoded, _, err := settings.DecodeJSON([]byte(settingsJSON), names)
	if err != nil {
		t.Fatal(err)
	}
	return decoded, names
}

// newEngine returns an engine with basicSettings and the given decider; nil: the real decision module. The engine is closed when the
// test ends.
func newEngine(t *testing.T, decider *scriptedDecider) *Engine {
	t.Helper()
	decoded, names := decodeSettings(t, basicSettings)
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine, err := New(Options{Settings: decoded, Names: names, Seed: 1, MaxOpen: 2, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	if decider != nil {
		engine.decider = decider
	}
	t.Cleanup(engine.Close)
	return engine
}

// specOf returns a valid request with the given id.
func specOf(id string) RequestSpec {
	return RequestSpec{ID: id, Class: "search", Tenant: "acme", TimeLeft: 5 * time.Second, Slots: 1}
}

// listWith returns an endpoint update with the only worker w.
func listWith(state dispatch.WorkerState, address string, startedAtMillis int64) EndpointList {
	return EndpointList{Version: 1, Endpoints: []Endpoint{{
		Name: "w", Address: address, Zone: "a", Kind: "big", State: state, StartedAtMillis: startedAtMillis,
	}}}
}

// sendToFirstWorker answers the arrival of a request with one attempt at worker 0.
func sendToFirstWorker(event *dispatch.Event) []dispatch.Action {
	if event.Kind == dispatch.RequestArrived {
		return []dispatch.Action{{Kind: dispatch.Send, Request: event.Request}}
	}
	return nil
}

// mustOpen opens a request, and fails the test if it is not admitted.
func mustOpen(t *testing.T, engine *Engine, id string) *Request {
	t.Helper()
	request, err := engine.Open(specOf(id))
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// mustStart opens a request and returns its first attempt.
func mustStart(t *testing.T, engine *Engine, id string) *Attempt {
	t.Helper()
	return (<-mustOpen(t, engine, id).Decisions()).Attempt
}

// isExactly reports whether err is want itself. An error that wraps want has another text, but the text for clients must not change.
func isExactly(err, want error) bool {
	return err == want //nolint:errorlint // errors.Is would accept a wrapped error, which has another text
}
