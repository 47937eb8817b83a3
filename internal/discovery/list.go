package discovery

import (
	"encoding/json"
	"fmt"
	"net"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// maxStartMillis is the upper bound of a worker's start time, in milliseconds since 1970.
const maxStartMillis = 1e14

// noGroup is the Cell of an endpoint without a group.
const noGroup = -1

// listMessage is the JSON form of a list.
type listMessage struct {
	Index     uint64            `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"` // each an endpointMessage
}

// endpointMessage is the JSON form of an endpoint.
type endpointMessage struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   *int    `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"` // an integer, but may be written as 1.8e12
}

// The values of endpointMessage.Status.
const (
	statusUp       = "up"
	statusDraining = "draining"
	statusRemoved  = "removed"
)

// DecodeList decodes a list from discovery's JSON. A malformed entry is left out or treated as draining, so that no request is sent to it;
// malformed is the number of such entries. It returns an error only if the message as a whole cannot be decoded.
func DecodeList(raw []byte) (list engine.EndpointList, malformed int, err error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return list, 0, fmt.Errorf("malformed endpoint list: %w", err)
	}
	list = engine.EndpointList{
		Version:   message.Index,
		Snapshot:  message.Snapshot,
		Endpoints: make([]engine.Endpoint, 0, len(message.Endpoints)),
	}
	for _, rawEndpoint := range message.Endpoints {
		var received endpointMessage
		if json.Unmarshal(rawEndpoint, &received) != nil || received.Name == "" {
			malformed++
			continue
		}
		endpoint, invalid := received.decode()
		malformed += invalid
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, malformed, nil
}

// decode returns the endpoint and the number of invalid values because of which it is treated as draining. A number out of range is replaced
// by the nearest valid one and not counted.
func (m *endpointMessage) decode() (endpoint engine.Endpoint, invalid int) {
	endpoint = engine.Endpoint{
		Name:            m.Name,
		Address:         m.Address,
		Zone:            m.Zone,
		Kind:            m.Type,
		Cell:            noGroup,
		Weight:          max(m.Weight, 0),
		StartedAtMillis: int64(min(max(m.SinceMs, 0), maxStartMillis)),
	}
	if m.Group != nil {
		endpoint.Cell = *m.Group
	}
	switch m.Status {
	case statusUp:
		endpoint.State = dispatch.Ready
	case statusRemoved:
		endpoint.State = dispatch.Gone
	case statusDraining:
		endpoint.State = dispatch.Draining
	default: // an endpoint with an unknown status may not accept requests
		endpoint.State = dispatch.Draining
		invalid++
	}
	_, _, addressErr := net.SplitHostPort(m.Address)
	if addressErr != nil && endpoint.State == dispatch.Ready { // no request can be sent to it
		endpoint.State = dispatch.Draining
		endpoint.Address = ""
		invalid++
	}
	return endpoint, invalid
}

// EncodeList encodes a list in discovery's JSON. DecodeList is its inverse.
func EncodeList(list engine.EndpointList) (json.RawMessage, error) {
	message := listMessage{
		Index:     list.Version,
		Snapshot:  list.Snapshot,
		Endpoints: make([]json.RawMessage, 0, len(list.Endpoints)),
	}
	for _, endpoint := range list.Endpoints {
		raw, err := json.Marshal(encodeEndpoint(endpoint))
		if err != nil {
			return nil, fmt.Errorf("encoding endpoint %s: %w", endpoint.Name, err)
		}
		message.Endpoints = append(message.Endpoints, raw)
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding endpoint list: %w", err)
	}
	return raw, nil
}

func encodeEndpoint(endpoint engine.Endpoint) endpointMessage {
	message := endpointMessage{
		Name:    endpoint.Name,
		Address: endpoint.Address,
		Zone:    endpoint.Zone,
		Type:    endpoint.Kind,
		Status:  statusOf(endpoint.State),
		Weight:  endpoint.Weight,
		SinceMs: float64(endpoint.StartedAtMillis),
	}
	if endpoint.Cell >= 0 {
		message.Group = &endpoint.Cell
	}
	return message
}

func statusOf(state dispatch.WorkerState) string {
	switch state {
	case dispatch.Ready:
		return statusUp
	case dispatch.Draining:
		return statusDraining
	case dispatch.Gone:
		return statusRemoved
	default:
		return ""
	}
}
