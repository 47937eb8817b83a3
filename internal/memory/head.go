package memory

import (
	"bytes"
	"errors"
)

// BytesPerHead is the memory that a decoded head takes in addition to that of its bytes.
const BytesPerHead = 1 << 10

// Memory that net/http takes to decode the head of a message: each byte is copied into a line and from there into a string, and each line
// adds an entry to a map. A short line takes over 40 times its length.
const (
	bytesPerHeadByte = 4
	bytesPerHeadLine = 256
)

// HeadAllowance is the memory of a head, in bytes, that needs no reservation. The limits on connections bound the total of such heads. It
// is sufficient for a head of 1.5 KiB with 25 lines.
const HeadAllowance = 12 << 10

// ErrHeadTooLarge is returned for a head whose memory cannot be reserved.
var ErrHeadTooLarge = errors.New("no memory left for the head")

// HeadCost returns the upper bound of the memory that net/http takes to decode a part of a head, without BytesPerHead.
func HeadCost(part []byte) int64 {
	return bytesPerHeadByte*int64(len(part)) + bytesPerHeadLine*int64(bytes.Count(part, []byte{'\n'}))
}

// HeadReservation is the memory of one head that is arriving or in use. It is not safe for concurrent use.
type HeadReservation struct {
	Budget *Budget // nil: no limit

	cost     int64 // of the bytes that have arrived
	reserved int64 // bytes reserved from the budget
}

// Add reserves the memory for a further part of the head. If that fails it returns ErrHeadTooLarge, and earlier parts stay reserved.
func (r *HeadReservation) Add(part []byte) error {
	r.cost += HeadCost(part)
	missing := BytesPerHead + r.cost - HeadAllowance - r.reserved
	if missing <= 0 || r.Budget == nil {
		return nil
	}
	if !r.Budget.Reserve(missing) {
		return ErrHeadTooLarge
	}
	r.reserved += missing
	return nil
}

// Release returns the memory to the budget. The reservation can then be used for another head.
func (r *HeadReservation) Release() {
	if r.reserved > 0 {
		r.Budget.Release(r.reserved)
	}
	r.cost = 0
	r.reserved = 0
}
