package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"lovageshift/engine"
)

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Guards against a request that is reported as not sent because the target ended the kept connection on which it had received it,
// and then could not be reached.
func TestRequestThatReachedATargetBeforeItEndedIsNotReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	var target errgroup.Group
	target.Go(func() error {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for received < 2 {
			if _, err := http.ReadRequest(reader); err != nil {
				return err
			}
			received++
			if received == 1 {
				_, _ = io.WriteString(connection, emptyAnswer)
			}
		}
		return listener.Close()
	})
	client := engine.NewClient(listener.Addr().String(), nil)
	defer client.Close()
	request := engine.Request{Method: http.MethodGet, Path: "/"}
	response, err := client.Open(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	_, err = client.Open(context.Background(), request)
	if targetErr := target.Wait(); targetErr != nil || received != 2 {
		t.Fatalf("%d requests received: %v", received, targetErr)
	}
	if err == nil || errors.Is(err, engine.ErrNotSent) {
		t.Fatalf("a request that was received ended with: %v", err)
	}
	if _, err := client.Open(context.Background(), request); !errors.Is(err, engine.ErrNotSent) {
		t.Fatalf("a request without a connection ended with: %v", err)
	}
}
