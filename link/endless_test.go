package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcwire"

	"lovageshift/link"
	"lovageshift/wire"
)

const (
	// The size of the largest message, and how much may be allocated to read more than that: a frame's buffer is doubled as it
	// grows, and a message's grows by a quarter, for which five times its size is allocated.
	maxMessageBytes   = 20 << 20
	endlessAllocation = 8 * maxMessageBytes
	endlessPatience   = 5 * time.Second
)

// Guards against a process that sends a message without end and thereby takes the memory of another one.
func TestMessagesWithoutEndAreGivenUp(t *testing.T) {
	frame := func(size int, done bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{
			Data: make([]byte, size), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: done,
		})
	}
	cases := map[string]struct {
		beginning, repeated []byte
	}{
		"frame":     {binary.AppendUvarint(frame(0, true)[:3], 1<<30), make([]byte, 64<<10)},
		"frames":    {nil, frame(64<<10, false)},
		"no number": {nil, bytes.Repeat([]byte{0xff}, 64<<10)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var server errgroup.Group
			server.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer conn.Close()
				_, err = conn.Write(c.beginning)
				for sent := 0; err == nil && sent < 4*maxMessageBytes; sent += len(c.repeated) {
					_, err = conn.Write(c.repeated)
				}
				return nil
			})
			pool := link.NewPool(link.NewNetwork(link.Plaintext()))
			conn, err := pool.Get(context.Background(), listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), endlessPatience)
			defer cancel()
			stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx, &wire.WatchRequest{Entry: "e"})
			if err == nil {
				_, err = stream.Recv()
			}
			runtime.ReadMemStats(&after)
			pool.Close()
			_ = listener.Close()
			_ = server.Wait()
			if err == nil || ctx.Err() != nil {
				t.Errorf("the call ended with %v, %v", err, ctx.Err())
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > endlessAllocation {
				t.Errorf("%d bytes were allocated", allocated)
			} else {
				t.Log(allocated, err)
			}
		})
	}
}
