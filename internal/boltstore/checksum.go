package boltstore

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const checksumLength = 8

var errChecksum = errors.New("checksum mismatch")

// AddChecksum returns a value with its checksum in front.
func AddChecksum(raw []byte) []byte {
	stored := make([]byte, 0, checksumLength+len(raw))
	stored = binary.BigEndian.AppendUint64(stored, xxhash.Sum64(raw))
	return append(stored, raw...)
}

// VerifyChecksum returns the value that AddChecksum was given; it shares the memory of stored. It fails if a byte has changed.
func VerifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumLength {
		return nil, errChecksum
	}
	raw := stored[checksumLength:]
	if binary.BigEndian.Uint64(stored) != xxhash.Sum64(raw) {
		return nil, errChecksum
	}
	return raw, nil
}
