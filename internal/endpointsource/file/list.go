package file

import (
	"fmt"
	"net"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/tomlfile"
)

// list is the content of a file.
type list struct {
	Workers []worker `toml:"worker"`
}

// worker is one worker in a file.
type worker struct {
	Name            string  `toml:"name"`
	Address         string  `toml:"address"`
	Zone            string  `toml:"zone"`
	Kind            string  `toml:"kind"`
	Cell            int     `toml:"cell"`
	Weight          float64 `toml:"weight"`
	State           string  `toml:"state"`
	StartedAtMillis int     `toml:"since_ms"`
}

// Decode decodes a list. Its error lists every error of the file, with file name, line and key.
func Decode(name string, raw []byte) ([]engine.Endpoint, error) {
	var l list
	document := tomlfile.Read(name, raw, &l)
	if len(document.Errors()) > 0 {
		return nil, document.Err()
	}
	seen := map[string]bool{}
	var endpoints []engine.Endpoint
	for i, w := range l.Workers {
		key := fmt.Sprintf("worker[%d].", i)
		if w.Name == "" || seen[w.Name] {
			document.AddErrorf(key+"name", "invalid value %q: must be a unique, non-empty name", w.Name)
		}
		seen[w.Name] = true
		endpoints = append(endpoints, w.endpoint(document, key))
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return endpoints, nil
}

// endpoint returns the worker and adds its errors to the document. key is the prefix of its keys.
func (w *worker) endpoint(document *tomlfile.Document, key string) engine.Endpoint {
	host, port, err := net.SplitHostPort(w.Address)
	if err != nil || host == "" || port == "" || port == "0" {
		document.AddErrorf(key+"address", "invalid address %q: must be host:port", w.Address)
	}
	validWeight := w.Weight >= 0 // false for NaN as well
	if !validWeight || w.StartedAtMillis < 0 {
		document.AddErrorf(key+"weight", "invalid weight %v or since_ms %d: must not be negative", w.Weight, w.StartedAtMillis)
	}
	endpoint := engine.Endpoint{
		Name:            w.Name,
		Address:         w.Address,
		Zone:            w.Zone,
		Kind:            w.Kind,
		Cell:            -1,
		Weight:          w.Weight,
		StartedAtMillis: int64(w.StartedAtMillis),
	}
	if document.Has(key + "cell") {
		endpoint.Cell = w.Cell
	}
	switch w.State {
	case "", "up":
	case "draining":
		endpoint.State = dispatch.Draining
	default:
		document.AddErrorf(key+"state", "invalid value %q: must be up or draining", w.State)
	}
	return endpoint
}
