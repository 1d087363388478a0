package stream_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lovageshift/stream"
)

// An origin that is not known yet is waited for, and is never taken for one that nobody knows.
func TestUndecidedOrigin(t *testing.T) {
	for _, size := range []fleetSize{{3, 12}, {30, 54}, {103, 180}, {3, 0}, {30, 0}} {
		t.Run(fmt.Sprintf("%d entries, %d recorders", size.entries, size.recorders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size.entries, size.recorders, 0)
				defer f.stop()
				time.Sleep(2 * time.Second)
				find := func(number int) (stream.Origin, error) {
					ctx, cancel := context.WithTimeout(f.ctx, 1500*time.Millisecond)
					defer cancel()
					return f.entry(number).Find(ctx, "first")
				}
				f.entry(0).Record("first", stream.Origin{})
				for number := range 3 {
					if _, err := find(number); err != stream.ErrUndecided {
						t.Errorf("entry %d, before it is known: %v", number, err)
					}
				}
				origin := stream.Origin{Service: "pool", Version: "v1"}
				time.AfterFunc(700*time.Millisecond, func() { f.entry(0).Record("first", origin) })
				for number := range 3 {
					if found, err := find(number); err != nil || found != origin {
						t.Errorf("entry %d, after it is known: %v, %v", number, found, err)
					}
				}
				f.entry(1).Record("first", stream.Origin{})
				time.Sleep(time.Second)
				if found, err := find(2); err != nil || found != origin {
					t.Errorf("after a message that came late: %v, %v", found, err)
				}
			})
		})
	}
}
