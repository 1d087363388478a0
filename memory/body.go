package memory

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"lovageshift"
)

// ErrOverLimit means that the body is larger than Source.Limit.
var ErrOverLimit = errors.New("body above the limit")

// ErrTooSlow means that the body did not arrive fast enough, or not before Source.Deadline.
var ErrTooSlow = errors.New("body too slow")

const (
	// A body must arrive at this rate, in bytes per millisecond, after it was read for rateGraceMillis. A modem of 9600 bit/s
	// is as fast.
	minRate         Bytes              = 1
	rateGraceMillis lovageshift.Millis = 10_000
	// No byte may arrive for this long. A caller that lost a packet four times in succession sends it again within this time,
	// by the usual timeouts of TCP.
	maxPauseMillis lovageshift.Millis = 10_000
	// The read deadline is set anew only if it changes by this much.
	deadlineStepMillis lovageshift.Millis = 100
	// Bodies without a declared length are read in blocks. The first one is of firstBlock bytes, and each further one twice as
	// large, up to largestBlock.
	firstBlock   Bytes = 4 << 10
	largestBlock Bytes = 128 << 10
)

// unreadLimit is how long a body that is not read may take to arrive, before its connection is closed.
const unreadLimit = 5 * time.Second

// LimitUnread limits how long the server waits for a body of the declared length, -1 if none is declared, of a request that is
// answered without it. ReadBody replaces the deadline by its own. Without a budget there is no limit.
func (b *Budget) LimitUnread(length Bytes, setReadDeadline func(time.Time) error) {
	if b != nil && length != 0 {
		_ = setReadDeadline(time.Now().Add(unreadLimit))
	}
}

// Source is the body of a request.
type Source struct {
	Body io.Reader
	// Length is the declared length, -1 if none is declared.
	Length Bytes
	// Limit is the largest length permitted.
	Limit Bytes
	// Copies is how many times the process may hold the body at once, 0 stands for 1.
	Copies Bytes
	Owner  Owner
	Clock  lovageshift.Clock
	// Deadline is when (Clock.Now) the whole body must have arrived, 0 for no bound.
	Deadline lovageshift.Millis
	// Context ends reading with its cause, nil for never.
	Context context.Context
	// SetReadDeadline sets the time from which on reading from the caller's connection fails. It must be safe for concurrent
	// use with reading.
	SetReadDeadline func(time.Time) error
}

// ReadBody reads the body and returns it with the reservation of its memory, which the request must release. The error is
// ErrOverLimit, ErrTooLarge, ErrExhausted, ErrTooSlow, ErrEvicted or one of reading. After an error nothing is reserved, and
// reading from the connection may fail. Without a budget, bodies may be as slow as Source.Deadline permits.
func (b *Budget) ReadBody(source Source) ([]byte, *Reservation, error) {
	if source.Length > source.Limit {
		return nil, nil, ErrOverLimit
	}
	source.Copies = max(source.Copies, 1)
	started := source.Clock.Now()
	first := source.Length
	if first < 0 {
		first = min(firstBlock, source.Limit+1)
	}
	held, err := b.Reserve(started, source.Owner, first*source.Copies, func() { _ = source.SetReadDeadline(time.Unix(1, 0)) })
	if err != nil {
		return nil, nil, err
	}
	if source.Context != nil {
		defer context.AfterFunc(source.Context, func() { _ = source.SetReadDeadline(time.Unix(1, 0)) })()
	}
	reader := &bodyReader{Source: source, held: held, started: started}
	body, err := reader.read(first)
	if err == nil {
		err = held.Complete()
	}
	if err != nil {
		held.Release()
		return nil, nil, err
	}
	if reader.deadline > 0 {
		_ = source.SetReadDeadline(time.Time{})
	}
	return body, held, nil
}

// bodyReader reads one body.
type bodyReader struct {
	Source
	held     *Reservation
	started  lovageshift.Millis
	received Bytes
	deadline lovageshift.Millis // the read deadline that is set, 0 for none
}

// read reads the body; the bytes of its first block have been reserved.
func (r *bodyReader) read(first Bytes) ([]byte, error) {
	if r.Length >= 0 {
		body := make([]byte, r.Length)
		count, err := r.fill(body)
		if err == nil && count < len(body) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	var blocks [][]byte
	for size := first; ; size = min(2*size, largestBlock, r.Limit+1-r.received) {
		if len(blocks) > 0 {
			if err := r.held.Grow(r.Clock.Now(), size*r.Copies); err != nil {
				return nil, err
			}
		}
		block := make([]byte, size)
		count, err := r.fill(block)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, block[:count])
		switch {
		case r.received > r.Limit:
			return nil, ErrOverLimit
		case count < len(block):
			return r.join(blocks)
		}
	}
}

// join returns the blocks as one body. While it copies them, their memory is reserved twice.
func (r *bodyReader) join(blocks [][]byte) ([]byte, error) {
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	if err := r.held.Grow(r.Clock.Now(), r.received); err != nil {
		return nil, err
	}
	body := make([]byte, 0, r.received)
	for _, block := range blocks {
		body = append(body, block...)
	}
	r.held.Shrink(r.received)
	return body, nil
}

// fill reads until the block is full or the body has ended, and returns the number of bytes read.
func (r *bodyReader) fill(block []byte) (int, error) {
	filled := 0
	for filled < len(block) {
		if err := r.setDeadline(); err != nil {
			return filled, err
		}
		count, err := r.Body.Read(block[filled:])
		filled += count
		r.received += Bytes(count)
		if count > 0 {
			r.held.Progress(r.Clock.Now())
		}
		switch {
		case errors.Is(err, io.EOF):
			return filled, nil
		case err != nil && r.held.Evicted():
			return filled, ErrEvicted
		case err != nil && r.ended() != nil:
			return filled, r.ended()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return filled, ErrTooSlow
		case err != nil:
			return filled, err
		}
	}
	return filled, nil
}

// setDeadline sets the read deadline for the next read. The error is ErrEvicted or the cause of the context's end.
func (r *bodyReader) setDeadline() error {
	now := r.Clock.Now()
	deadline := r.Deadline
	if r.held.budget != nil {
		deadline = nextDeadline(now, r.started, r.received, r.Deadline)
	}
	if deadline == 0 || max(deadline, r.deadline)-min(deadline, r.deadline) < deadlineStepMillis {
		return nil
	}
	r.deadline = deadline
	_ = r.SetReadDeadline(time.Now().Add((deadline - now).Duration()))
	// An eviction or the context's end before SetReadDeadline has had its effect undone.
	if r.held.Evicted() {
		return ErrEvicted
	}
	return r.ended()
}

// ended returns the cause of the context's end, nil if it has not ended or was only canceled, as net/http does when reading fails.
func (r *bodyReader) ended() error {
	if r.Context == nil {
		return nil
	}
	cause := context.Cause(r.Context)
	if errors.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// nextDeadline returns when the next byte must arrive of a body whose reading started at the given time and of which the given
// bytes were received. The whole body must arrive by the limit, 0 for none.
func nextDeadline(now, started lovageshift.Millis, received Bytes, limit lovageshift.Millis) lovageshift.Millis {
	deadline := min(now+maxPauseMillis, started+rateGraceMillis+lovageshift.Millis(received/minRate))
	if limit > 0 {
		deadline = min(deadline, limit)
	}
	return deadline
}
