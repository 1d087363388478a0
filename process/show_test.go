package process_test

import (
	"os/exec"
	"testing"

	"lovageshift/standin"
)

// Guards against a process whose answer to an operator does not end and takes the memory of the operator's machine.
func TestCommandsOfOperatorsGiveUpAnswersWithoutEnd(t *testing.T) {
	// Most bytes that the server can send: 4 MiB that are read, and what the kernel holds of a connection. It would send 64 MiB.
	const mostSent = 32 << 20
	program := buildProgram(t)
	for _, arguments := range [][]string{{"show"}, {"where", "--host", "h", "--path", "/x"}} {
		server, err := standin.NewEndlessServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n{\"a\":\"", "a")
		if err != nil {
			t.Fatal(err)
		}
		output, err := exec.Command(program, append(arguments, server.Address())...).CombinedOutput()
		server.Close()
		if err == nil {
			t.Errorf("%s: no error", arguments[0])
		}
		if len(output) > 4<<10 {
			t.Errorf("%s: %d bytes of output", arguments[0], len(output))
		}
		if sent := server.Sent(); sent > mostSent {
			t.Errorf("%s: %d bytes were sent, %.200s", arguments[0], sent, output)
		}
	}
}
