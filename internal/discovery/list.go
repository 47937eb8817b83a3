package discovery

import (
	"encoding/json"
	"fmt"
	"net"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// maxSinceMillis limits the start time of a worker, in milliseconds since 1970.
const maxSinceMillis = 1e14

// noGroup is the cell of an endpoint without a group.
const noGroup = -1

// listMessage is a list in discovery's JSON.
type listMessage struct {
	Index     uint64            `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"` // each an endpointMessage
}

// endpointMessage is one worker in discovery's JSON.
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

// DecodeList decodes one message of discovery. Entries that cannot be decoded are left out or treated as draining, so that nothing is sent
// to them; malformed counts these faults. The error is not nil if the message itself cannot be decoded.
func DecodeList(raw []byte) (list engine.EndpointList, malformed int, err error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return list, 0, fmt.Errorf("the list is not as discovery words it: %w", err)
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
		endpoint, faults := received.decode()
		malformed += faults
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, malformed, nil
}

// decode returns the endpoint, and how many of its values had to be replaced by safe ones.
func (m *endpointMessage) decode() (endpoint engine.Endpoint, faults int) {
	endpoint = engine.Endpoint{
		Name:            m.Name,
		Address:         m.Address,
		Zone:            m.Zone,
		Kind:            m.Type,
		Cell:            noGroup,
		Weight:          max(m.Weight, 0),
		StartedAtMillis: int64(min(max(m.SinceMs, 0), maxSinceMillis)),
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
	default: // unknown: it may not accept requests
		endpoint.State = dispatch.Draining
		faults++
	}
	_, _, addressErr := net.SplitHostPort(m.Address)
	if addressErr != nil && endpoint.State == dispatch.Ready { // nothing can be sent there
		endpoint.State = dispatch.Draining
		endpoint.Address = ""
		faults++
	}
	return endpoint, faults
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
		return nil, fmt.Errorf("encoding the list: %w", err)
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
