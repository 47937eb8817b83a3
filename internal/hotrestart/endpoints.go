package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The file of the newest endpoint list.
const (
	endpointsFile   = "list"
	endpointsFormat = "birchfork list 1"
)

// endpointsContent is the JSON of the file of the endpoint list.
type endpointsContent struct {
	Format     string          `json:"format"`
	Dispatcher string          `json:"dispatcher"`
	Endpoints  json.RawMessage `json:"list"`
}

// SaveEndpoints saves the newest endpoint list, in discovery's format, for a process that starts. If that fails, it removes the saved list,
// which a process that starts would take for the newest.
func (p *Process) SaveEndpoints(endpoints json.RawMessage) error {
	if p.claimFile == nil {
		return nil
	}
	err := p.writeFile(endpointsFile, endpointsContent{Format: endpointsFormat, Dispatcher: p.name, Endpoints: endpoints})
	if err != nil {
		removeFile(filepath.Join(p.dir, endpointsFile))
	}
	return err
}

// Endpoints returns the endpoint list that was saved last by any process; nil if there is none.
func (p *Process) Endpoints() (json.RawMessage, error) {
	if p.claimFile == nil {
		return nil, nil
	}
	raw, err := readFile(filepath.Join(p.dir, endpointsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", endpointsFile, err)
	}
	return decodeEndpoints(raw, p.name)
}

// decodeEndpoints decodes the file of the endpoint list. Its errors wrap errUnusableFile, also for the file of a dispatcher with
// another name.
func decodeEndpoints(raw []byte, name string) (json.RawMessage, error) {
	var content endpointsContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", endpointsFile, errUnusableFile, err)
	}
	ours := content.Format == endpointsFormat && content.Dispatcher == name
	if !ours || len(content.Endpoints) == 0 {
		return nil, fmt.Errorf("%s: %w", endpointsFile, errUnusableFile)
	}
	return content.Endpoints, nil
}
