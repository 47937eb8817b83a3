package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// BootMarker is a note of how far a life has come, beside its disk, in a file that is not to outlive the machine's run. A disk that has
// less than its witness is one of before; without a witness nothing tells. A nil one notes nothing.
type BootMarker struct {
	path   string
	bootID string
	file   *os.File
}

// bootRecord is what the file has.
type bootRecord struct {
	BootID      string `json:"boot"`
	Incarnation string `json:"life"`
	Position
}

// bootRecordSize is the file's size in bytes: one write of less than a page is whole, or not there, when a process dies.
const bootRecordSize = 256

// bootIDFile names the run of the machine: a note from before may be of a disk that was put back with it.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// OpenBootMarker opens the file. Where that or the machine's run cannot be told it is nil, with the reason.
func OpenBootMarker(path string) (*BootMarker, error) {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil {
		return nil, fmt.Errorf("which run of the machine this is: %w", err)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the witness of the group's disk: %w", err)
	}
	return &BootMarker{path: path, bootID: strings.TrimSpace(string(bootID)), file: file}, nil
}

// Lookup is how far a life had come; false: it was not noted in this run of the machine.
func (b *BootMarker) Lookup(incarnation string) (Position, bool) {
	if b == nil {
		return Position{}, false
	}
	raw := make([]byte, bootRecordSize)
	n, _ := b.file.ReadAt(raw, 0) // what is not whole says nothing
	var record bootRecord
	if json.Unmarshal(bytes.TrimRight(raw[:n], "\n"), &record) != nil || record.BootID != b.bootID || record.Incarnation != incarnation {
		return Position{}, false
	}
	return record.Position, true
}

// record notes how far a life has come, before any message that rests on it leaves. It needs no sync: it is for a process that dies.
func (b *BootMarker) record(incarnation string, position Position) error {
	if b == nil {
		return nil
	}
	raw, err := json.Marshal(bootRecord{b.bootID, incarnation, position})
	if err == nil && len(raw) > bootRecordSize {
		err = fmt.Errorf("%d bytes are more than %d", len(raw), bootRecordSize)
	}
	if err == nil {
		raw = append(raw, bytes.Repeat([]byte{'\n'}, bootRecordSize-len(raw))...)
		_, err = b.file.WriteAt(raw, 0)
	}
	if err != nil {
		return fmt.Errorf("the witness of the group's disk: %w", err)
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

// erase takes the note away: one that is old is worse than none.
func (b *BootMarker) erase() error {
	return os.Truncate(b.path, 0)
}
