package upstream

import (
	"errors"

	"lovageshift"
	"lovageshift/memory"
)

// ErrNoRoom means that the memory for parts of responses is in use, so that the response could not be read.
var ErrNoRoom = errors.New("no memory is left for the answer")

// holding is what a part of a response takes of the memory budget. The first readBufferBytes of each are free: they belong to the
// memory of a connection.
type holding struct {
	budget *memory.Budget // nil for no limit
	clock  lovageshift.Clock
	target lovageshift.TargetID
	// reserved is nil until more than the free bytes are held.
	reserved *memory.Reservation
	size     int // in bytes, without the free ones
}

// resize reserves the size, in bytes, in place of what is reserved. The error is ErrNoRoom; the reservation then stays as it is.
func (h *holding) resize(size int) error {
	if h.budget == nil {
		return nil
	}
	size = max(size-readBufferBytes, 0)
	if size <= h.size {
		h.reserved.Shrink(memory.Bytes(h.size - size))
		h.size = size
		return nil
	}
	if err := h.reserve(memory.Bytes(size - h.size)); err != nil {
		return ErrNoRoom
	}
	h.size = size
	return nil
}

func (h *holding) reserve(more memory.Bytes) error {
	now := h.clock.Now()
	if h.reserved != nil {
		return h.reserved.Grow(now, more)
	}
	reserved, err := h.budget.Reserve(now, memory.Owner{Address: string(h.target)}, more, func() {})
	if err != nil {
		return err
	}
	h.reserved = reserved
	return reserved.Complete()
}

// grow returns a buffer of the capacity with the content of the buffer. The error is ErrNoRoom.
func (h *holding) grow(buffer []byte, capacity int) ([]byte, error) {
	if err := h.resize(cap(buffer) + capacity); err != nil { // both exist while the content is copied
		return buffer, err
	}
	larger := make([]byte, len(buffer), capacity)
	copy(larger, buffer)
	return larger, h.resize(capacity)
}

// release ends the holding, which may be used again.
func (h *holding) release() {
	h.reserved.Release()
	h.reserved, h.size = nil, 0
}
