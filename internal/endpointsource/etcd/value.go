package etcd

import (
	"encoding/json"
	"fmt"
	"net"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// SchemaVersion is the version of a worker's value.
const SchemaVersion = 1

// Value is the JSON value of a worker's key. Unknown fields are ignored.
type Value struct {
	Version         int     `json:"v"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone,omitempty"`
	Kind            string  `json:"kind,omitempty"`
	Cell            *int    `json:"cell,omitempty"`
	Weight          float64 `json:"weight,omitempty"`
	State           string  `json:"state,omitempty"`    // StateUp (or empty) or StateDraining
	StartedAtMillis int64   `json:"since_ms,omitempty"` // last start, Unix time in milliseconds; 0 means long ago
}

// The states in a Value.
const (
	StateUp       = "up"
	StateDraining = "draining"
)

// Limits of a value.
const (
	maxValueBytes      = 16 << 10
	maxStartedAtMillis = 100_000_000_000_000
)

// Decode decodes the value of a worker. For an invalid value it returns an error and a draining endpoint, since it is unknown whether the
// worker accepts requests.
func Decode(name string, raw []byte) (engine.Endpoint, error) {
	unusable := engine.Endpoint{Name: name, Cell: -1, State: dispatch.Draining}
	if len(raw) > maxValueBytes {
		return unusable, fmt.Errorf("value too large: %d bytes, must be at most %d", len(raw), maxValueBytes)
	}
	var v Value
	if err := json.Unmarshal(raw, &v); err != nil {
		return unusable, fmt.Errorf("malformed value: must be the JSON object of a worker: %w", err)
	}
	if v.Version != SchemaVersion {
		return unusable, fmt.Errorf("unsupported version %d of the value: must be %d", v.Version, SchemaVersion)
	}
	host, port, err := net.SplitHostPort(v.Address)
	if err != nil || host == "" || port == "" || port == "0" {
		return unusable, fmt.Errorf("invalid address %q: must be host:port", v.Address)
	}
	endpoint := engine.Endpoint{
		Name:            name,
		Address:         v.Address,
		Zone:            v.Zone,
		Kind:            v.Kind,
		Cell:            -1,
		Weight:          max(v.Weight, 0),
		StartedAtMillis: min(max(v.StartedAtMillis, 0), maxStartedAtMillis),
	}
	if v.Cell != nil {
		endpoint.Cell = *v.Cell
	}
	switch v.State {
	case "", StateUp:
	case StateDraining:
		endpoint.State = dispatch.Draining
	default:
		return unusable, fmt.Errorf("invalid state %q: must be up or draining", v.State)
	}
	return endpoint, nil
}
