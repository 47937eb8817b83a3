package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// BootMarker records the position of an incarnation in a file that must not survive a reboot. Storage that is older than its marker was
// restored from a copy, which cannot be detected without a marker. Methods of a nil BootMarker record nothing.
//
// A BootMarker is not safe for concurrent use. A Node owns its boot marker.
type BootMarker struct {
	path   string
	bootID string
	file   *os.File
}

// bootRecord is the content of the marker file.
type bootRecord struct {
	BootID      string `json:"boot"`
	Incarnation string `json:"life"`
	Position
}

// bootRecordSize is the size of the marker file in bytes. If the process dies, a write of less than a page is either complete or missing.
const bootRecordSize = 256

// bootIDFile contains the ID of the current boot. A marker of an earlier boot may have been restored from a copy together with the storage.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// OpenBootMarker opens or creates the marker at path. It returns an error if the system has no boot ID.
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

// Lookup returns the position recorded for an incarnation since the last boot, and false if none was recorded.
func (b *BootMarker) Lookup(incarnation string) (Position, bool) {
	if b == nil {
		return Position{}, false
	}
	raw := make([]byte, bootRecordSize)
	n, _ := b.file.ReadAt(raw, 0) // decoding rejects a truncated record
	var record bootRecord
	if err := json.Unmarshal(bytes.TrimRight(raw[:n], "\n"), &record); err != nil {
		return Position{}, false
	}
	if record.BootID != b.bootID || record.Incarnation != incarnation {
		return Position{}, false
	}
	return record.Position, true
}

// record writes a position. It does not sync, because the marker only has to survive a crash of the process, not of the machine.
func (b *BootMarker) record(incarnation string, position Position) error {
	if b == nil {
		return nil
	}
	raw, err := json.Marshal(bootRecord{b.bootID, incarnation, position})
	if err != nil {
		return fmt.Errorf("encoding the boot marker: %w", err)
	}
	if len(raw) > bootRecordSize {
		return fmt.Errorf("encoding the boot marker: record has %d bytes, must have at most %d", len(raw), bootRecordSize)
	}
	padding := bytes.Repeat([]byte{'\n'}, bootRecordSize-len(raw))
	if _, err := b.file.WriteAt(append(raw, padding...), 0); err != nil {
		return fmt.Errorf("writing the boot marker: %w", err)
	}
	return nil
}

// Close closes the marker file.
func (b *BootMarker) Close() error {
	if b == nil {
		return nil
	}
	return b.file.Close()
}

// erase truncates the marker file to zero bytes.
func (b *BootMarker) erase() error {
	return os.Truncate(b.path, 0)
}
