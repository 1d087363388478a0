package engine_test

import (
	"context"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"lovageshift/engine"
	"lovageshift/standin"
)

const (
	// How much may be allocated to read one endless answer, and within which time it must have ended.
	endlessAllocation = 16 << 20
	endlessPatience   = 2 * time.Second
)

// Guards against a target that sends an answer without end and thereby takes the memory of its agent.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	readBody := func(ctx context.Context, c *engine.Client) error {
		response, err := c.Open(ctx, engine.Request{Method: "GET", Path: "/x"})
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	fetchLoad := func(ctx context.Context, c *engine.Client) error {
		_, err := c.FetchLoad(ctx)
		return err
	}
	cases := map[string]struct {
		beginning, repeated string
		call                func(ctx context.Context, c *engine.Client) error
	}{
		"status line":       {"HTTP/1.1 200 ", "a", readBody},
		"no line end":       {"", "a", readBody},
		"malformed lines":   {"", strings.Repeat("\xff", 60<<10) + "\n", readBody},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "a", readBody},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", readBody},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n", readBody},
		"chunk extension":   {chunked + "2;", "a", readBody},
		"trailer":           {chunked + "2\r\nok\r\n0\r\n", "X-Trailer: 1\r\n", readBody},
		"load report":       {chunked + "10000000\r\n{\"model\":\"", "a", fetchLoad},
		"spaces":            {chunked + "10000000\r\n", " ", fetchLoad},
	}
	for name, c := range cases {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			server, err := standin.NewEndlessServer(c.beginning, c.repeated)
			if err != nil {
				t.Fatal(err)
			}
			client := engine.NewClient(server.Address(), nil)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			err = c.call(context.Background(), client)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			client.Close()
			server.Close()
			if err == nil {
				t.Fatal("an answer without end looked complete")
			}
			if len(err.Error()) > 1<<10 {
				t.Errorf("an error of %d bytes", len(err.Error()))
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > endlessAllocation {
				t.Errorf("%d bytes were allocated", allocated)
			}
			if took > endlessPatience {
				t.Errorf("it took %v", took)
			}
		})
	}
}
