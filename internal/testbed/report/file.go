package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
)

// maxFileBytes bounds the size of a stored result, in bytes.
const maxFileBytes = 256 << 20

// Load reads a result from a file that Save wrote.
func Load(path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	r, err := Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Decode parses the JSON form of a result. It fails for another version and for a series with invalid values.
func Decode(raw []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("malformed testbed result: %w", err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("unsupported version %d of a testbed result: must be %d", r.Version, Version)
	}
	for i, p := range r.Series {
		if math.IsNaN(p.At) || p.At < 0 || p.Requested < 0 {
			return nil, fmt.Errorf("invalid series[%d]: \"at\" is %v and \"asked\" is %d: both must be at least 0", i, p.At, p.Requested)
		}
	}
	return &r, nil
}

// Save writes the result to a file as JSON and replaces an existing file atomically.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("writing a result: %w", err)
	}
	return replaceFile(path, append(raw, '\n'))
}

// replaceFile writes a file and replaces an existing one atomically.
func replaceFile(path string, raw []byte) error {
	temporary := path + ".part"
	if err := os.WriteFile(temporary, raw, 0o644); err != nil {
		_ = os.Remove(temporary) // a full disk may leave a part of it; the error of the write is returned
		return fmt.Errorf("writing a result: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary) // the error of the rename is returned
		return fmt.Errorf("writing a result: %w", err)
	}
	return nil
}
