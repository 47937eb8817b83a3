package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Witness is a note of how far a life has come, beside its disk, in a file that is not to outlive the machine's run. A disk that has
// less than its witness is one of before; without a witness nothing tells. A nil one notes nothing.
type Witness struct {
	path string
	boot string
	f    *os.File
}

// testimony is what the file has.
type testimony struct {
	Boot string `json:"boot"`
	Life string `json:"life"`
	Mark
}

// testimonyMost is the file's size in bytes: one write of less than a page is whole, or not there, when a process dies.
const testimonyMost = 256

// bootFile names the run of the machine: a note from before may be of a disk that was put back with it.
const bootFile = "/proc/sys/kernel/random/boot_id"

// OpenWitness opens the file. Where that or the machine's run cannot be told it is nil, with the reason.
func OpenWitness(path string) (*Witness, error) {
	boot, err := os.ReadFile(bootFile)
	if err != nil {
		return nil, fmt.Errorf("which run of the machine this is: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the witness of the group's disk: %w", err)
	}
	return &Witness{path: path, boot: strings.TrimSpace(string(boot)), f: f}, nil
}

// Knows is how far a life had come; false: it was not noted in this run of the machine.
func (w *Witness) Knows(life string) (Mark, bool) {
	if w == nil {
		return Mark{}, false
	}
	raw := make([]byte, testimonyMost)
	n, _ := w.f.ReadAt(raw, 0) // what is not whole says nothing
	var t testimony
	if json.Unmarshal(bytes.TrimRight(raw[:n], "\n"), &t) != nil || t.Boot != w.boot || t.Life != life {
		return Mark{}, false
	}
	return t.Mark, true
}

// saw notes how far a life has come, before any message that rests on it leaves. It needs no sync: it is for a process that dies.
func (w *Witness) saw(life string, m Mark) error {
	if w == nil {
		return nil
	}
	raw, err := json.Marshal(testimony{w.boot, life, m})
	if err == nil && len(raw) > testimonyMost {
		err = fmt.Errorf("%d bytes are more than %d", len(raw), testimonyMost)
	}
	if err == nil {
		raw = append(raw, bytes.Repeat([]byte{'\n'}, testimonyMost-len(raw))...)
		_, err = w.f.WriteAt(raw, 0)
	}
	if err != nil {
		return fmt.Errorf("the witness of the group's disk: %w", err)
	}
	return nil
}

// Close closes the file.
func (w *Witness) Close() error {
	if w == nil {
		return nil
	}
	return w.f.Close()
}

// drop takes the note away: one that is old is worse than none.
func (w *Witness) drop() error {
	return os.Truncate(w.path, 0)
}
