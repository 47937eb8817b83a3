package endpointsource

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Paths that the server serves.
const (
	hostsPath  = "/discovery/hosts"
	statusPath = "/status"
)

// keepAliveInterval is the interval between the empty lines that are sent on every watch.
const keepAliveInterval = 2 * time.Second

// endpointJSON is an endpoint in discovery's protocol.
type endpointJSON struct {
	Name            string  `json:"name"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Type            string  `json:"type"`
	Group           int     `json:"group"`
	Status          string  `json:"status"`
	Weight          float64 `json:"weight"`
	StartedAtMillis int64   `json:"since_ms"`
}

// listMessage is a complete list, or changes, in discovery's protocol.
type listMessage struct {
	Index     uint64         `json:"index"`
	Snapshot  bool           `json:"snapshot"`
	Endpoints []endpointJSON `json:"endpoints"`
}

// statusNames contains the names of states in discovery's protocol.
var statusNames = map[dispatch.WorkerState]string{
	dispatch.Ready:    "up",
	dispatch.Draining: "draining",
	dispatch.Gone:     "removed",
}

func encodeEndpoint(e *engine.Endpoint) endpointJSON {
	return endpointJSON{
		Name:            e.Name,
		Address:         e.Address,
		Zone:            e.Zone,
		Type:            e.Kind,
		Group:           e.Cell,
		Status:          statusNames[e.State],
		Weight:          e.Weight,
		StartedAtMillis: e.StartedAtMillis,
	}
}

// ServeHTTP serves the complete list, a watch of it, and the server's status.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
	case r.URL.Path == statusPath:
		writeJSON(w, s.Status())
	case r.URL.Path != hostsPath:
		http.NotFound(w, r)
	case r.URL.Query().Get("follow") == "1":
		index, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since is no number", http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, index)
	default:
		s.serveList(w)
	}
}

// serveList serves the complete list.
func (s *Server) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	hasList := s.view.active != noSource
	m := s.snapshot()
	s.mu.Unlock()
	if !hasList { // an empty list would replace the dispatcher's list
		http.Error(w, "no source has told its list yet", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, m)
}

// writeJSON writes a response. Errors are ignored, since they mean that the client has disconnected.
func writeJSON(w http.ResponseWriter, answer any) {
	_ = json.NewEncoder(w).Encode(answer)
}

// serveWatch sends the changes after an index, and each later change, until the client or the server ends the watch.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, index uint64) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		changed, closed := s.changed, s.closed
		var line []byte
		if first || index != s.index {
			// If JSON cannot represent one of the changes, such as an infinite weight, all of them are left out.
			line, _ = json.Marshal(s.changesSince(index))
			index = s.index
		}
		s.mu.Unlock()
		if closed {
			return
		}
		if line != nil && writeLine(w, line) != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if writeLine(w, nil) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// writeLine writes a line and flushes it.
func writeLine(w http.ResponseWriter, line []byte) error {
	_, err := w.Write(append(line, '\n'))
	return errors.Join(err, http.NewResponseController(w).Flush())
}
