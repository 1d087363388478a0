package connection_test

import (
	"io"
	"testing"

	"lovageshift/connection"
)

// Guards against a report that leaves out connections whose caller got only an interim answer.
func TestInterimAnswersAreNoAnswers(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	caller := s.dial()
	caller.send("POST /next HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	if _, err := io.ReadFull(caller.answers, interim); err != nil {
		t.Fatal(err)
	}
	s.listener.Abort()
	if s.reports(caller) != 1 {
		t.Fatal("the connection was not reported as closed without an answer")
	}
}
