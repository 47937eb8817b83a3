package boltstore

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const checksumLength = 8 // bytes

var errChecksum = errors.New("checksum mismatch")

// AddChecksum returns a copy of a value that is prefixed with its checksum.
func AddChecksum(raw []byte) []byte {
	stored := make([]byte, 0, checksumLength+len(raw))
	stored = binary.BigEndian.AppendUint64(stored, xxhash.Sum64(raw))
	return append(stored, raw...)
}

// VerifyChecksum returns the value from a result of AddChecksum, or an error if the checksum does not match. The value shares the memory
// of stored.
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
