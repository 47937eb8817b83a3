package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// BootMarker records the position of an incarnation beside its storage, in a file that must not outlive the machine's boot. Storage that
// is older than its marker was restored from a copy; without a marker this is not detected. Methods of a nil BootMarker record nothing.
//
// It is not safe for concurrent use; a Node owns its boot marker.
type BootMarker struct {
	path   string
	bootID string
	file   *os.File
}

// bootRecord is the file's content.
type bootRecord struct {
	BootID      string `json:"boot"`
	Incarnation string `json:"life"`
	Position
}

// bootRecordSize is the file's size in bytes. A write of less than a page is complete or missing if the process dies.
const bootRecordSize = 256

// bootIDFile has the ID of the machine's boot. A marker of an earlier boot may have been restored from a copy together with the storage.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// OpenBootMarker opens or creates the marker at a path. It fails if the system has no boot ID.
func OpenBootMarker(path string) (*BootMarker, error) {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil {
		return nil, fmt.Errorf("reading the boot ID: %w", err)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the boot marker: %w", err)
	}
	return &BootMarker{path: path, bootID: strings.TrimSpace(string(bootID)), file: file}, nil
}

// Lookup returns the position that was recorded for an incarnation since the machine's boot; false: none was.
func (b *BootMarker) Lookup(incarnation string) (Position, bool) {
	if b == nil {
		return Position{}, false
	}
	raw := make([]byte, bootRecordSize)
	n, _ := b.file.ReadAt(raw, 0) // a short record does not decode
	var record bootRecord
	if err := json.Unmarshal(bytes.TrimRight(raw[:n], "\n"), &record); err != nil {
		return Position{}, false
	}
	if record.BootID != b.bootID || record.Incarnation != incarnation {
		return Position{}, false
	}
	return record.Position, true
}

// record records a position. It does not sync: the marker is for a process that dies, not for a machine that does.
func (b *BootMarker) record(incarnation string, position Position) error {
	if b == nil {
		return nil
	}
	raw, err := json.Marshal(bootRecord{b.bootID, incarnation, position})
	if err != nil {
		return fmt.Errorf("encoding the boot marker: %w", err)
	}
	if len(raw) > bootRecordSize {
		return fmt.Errorf("encoding the boot marker: %d bytes are more than %d", len(raw), bootRecordSize)
	}
	padding := bytes.Repeat([]byte{'\n'}, bootRecordSize-len(raw))
	if _, err := b.file.WriteAt(append(raw, padding...), 0); err != nil {
		return fmt.Errorf("writing the boot marker: %w", err)
	}
	return nil
}

// Close closes the file.
func (b *BootMarker) Close() error {
	if b == nil {
		return nil
	}
	return b.file.Close()
}

// erase empties the file.
func (b *BootMarker) erase() error {
	return os.Truncate(b.path, 0)
}
