package upstream

import (
	"context"

	"birchfork/internal/memory"
)

// headReservation reserves the memory of a response's head as its bytes arrive.
type headReservation struct {
	ctx    context.Context // of the attempt
	memory *responseReservation
	cost   int64 // of the bytes that have arrived
	held   int64 // bytes reserved
	err    error // the first error of add; net/http may report another one, for the part of a line before it
}

// add reserves the memory for a further part of the head. It waits like responseReservation.grow and returns its errors.
func (h *headReservation) add(part []byte) error {
	h.cost += memory.HeadCost(part)
	missing := memory.BytesPerHead + h.cost - memory.HeadAllowance - h.held
	if missing <= 0 {
		return nil
	}
	h.held += missing
	h.err = h.memory.grow(h.ctx, missing)
	return h.err
}

// release releases the memory of a decoded head that is not used any more.
func (h *headReservation) release() {
	if h.held > 0 {
		h.memory.release()
	}
}
