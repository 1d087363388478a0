package memory_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/memory"
)

func noDeadline(time.Time) error { return nil }

// Guards against bodies that arrive changed or with a wrong verdict, whatever their length, framing and pieces.
func TestBodiesAreReadWithinTheLimit(t *testing.T) {
	const limit = 300_000
	content := bytes.Repeat([]byte("0123456789abcdef!"), 20_000)
	rapid.Check(t, func(t *rapid.T) {
		b := memory.NewBudget(4 * limit)
		length := rapid.OneOf(rapid.IntRange(0, len(content)), rapid.IntRange(limit-2, limit+2)).Draw(t, "length")
		source := memory.Source{
			Body: bytes.NewReader(content[:length]), Length: -1, Limit: limit, Clock: lovageshift.NewClock(), SetReadDeadline: noDeadline,
		}
		if rapid.Bool().Draw(t, "declared") {
			source.Length = memory.Bytes(length)
		}
		if rapid.Bool().Draw(t, "halves") {
			source.Body = iotest.HalfReader(source.Body)
		}
		body, held, err := b.ReadBody(source)
		if length > limit {
			if !errors.Is(err, memory.ErrOverLimit) || b.Usage().Held != 0 {
				t.Fatal(err, b.Usage())
			}
			return
		}
		if err != nil || !bytes.Equal(body, content[:length]) || b.Usage().Held < memory.Bytes(length) {
			t.Fatal(err, len(body), b.Usage())
		}
		held.Release()
		if b.Usage() != (memory.Usage{}) {
			t.Fatal(b.Usage())
		}
	})
}

// Guards against a body whose end is missing and that is taken for whole, and against bytes that stay reserved after a failure.
func TestFailedBodiesHoldNothing(t *testing.T) {
	for _, length := range []memory.Bytes{-1, 100} {
		b := memory.NewBudget(10_000)
		_, _, err := b.ReadBody(memory.Source{
			Body: io.MultiReader(strings.NewReader("beginning"), iotest.ErrReader(io.ErrUnexpectedEOF)), Length: length, Limit: 1000,
			Clock: lovageshift.NewClock(), SetReadDeadline: noDeadline,
		})
		if !errors.Is(err, io.ErrUnexpectedEOF) || b.Usage() != (memory.Usage{}) {
			t.Fatal(err, b.Usage())
		}
	}
}

// Guards against a body that waits for its caller for ever.
func TestBodyEndsAtItsDeadline(t *testing.T) {
	caller, server := net.Pipe()
	defer func() { _ = caller.Close() }()
	clock := lovageshift.NewClock()
	_, _, err := memory.NewBudget(10_000).ReadBody(memory.Source{
		Body: server, Length: 100, Limit: 1000, Clock: clock, Deadline: clock.Now() + 200, SetReadDeadline: server.SetReadDeadline,
	})
	if !errors.Is(err, memory.ErrTooSlow) {
		t.Fatal(err)
	}
}

// sendSlowly sends pieces of a body with pauses between them, until the reader leaves.
func sendSlowly(caller net.Conn, pieces, size int, pause time.Duration) {
	for range pieces {
		if _, err := caller.Write(make([]byte, size)); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against time-outs of callers that are only slow, and against callers that keep a body open with a byte now and then.
func TestOnlyBodiesWithoutProgressAreTooSlow(t *testing.T) {
	cases := []struct {
		name         string
		pieces, size int
		pause        time.Duration
		want         error
	}{
		{"64 kbit/s", 4096, 1024, 128 * time.Millisecond, nil},
		{"pauses of 8 s", 64, 64 << 10, 8 * time.Second, nil},
		{"a pause of 11 s", 2, 2 << 20, 11 * time.Second, memory.ErrTooSlow},
		{"a byte in 5 s", 1000, 1, 5 * time.Second, memory.ErrTooSlow},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			caller, server := net.Pipe()
			var sender errgroup.Group
			sender.Go(func() error { sendSlowly(caller, c.pieces, c.size, c.pause); return nil })
			_, _, err := memory.NewBudget(16 << 20).ReadBody(memory.Source{
				Body: server, Length: memory.Bytes(c.pieces * c.size), Limit: 4 << 20, Clock: lovageshift.NewVirtualClock(),
				SetReadDeadline: server.SetReadDeadline,
			})
			_ = server.Close()
			_ = sender.Wait()
			if !errors.Is(err, c.want) {
				t.Fatal(c.name, err)
			}
		})
	}
}
