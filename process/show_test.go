package process_test

import (
	"os/exec"
	"syscall"
	"testing"

	"lovageshift/standin"
)

// Guards against a process whose answer to an operator does not end and takes the memory of the operator's machine.
func TestCommandsOfOperatorsGiveUpAnswersWithoutEnd(t *testing.T) {
	const mostKilobytes = 48 << 10 // the program, and 4 MiB of the answer
	program := buildProgram(t)
	server, err := standin.NewEndlessServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n{\"a\":\"", "a")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for _, arguments := range [][]string{{"show", server.Address()}, {"where", server.Address(), "--host", "h", "--path", "/x"}} {
		cmd := exec.Command(program, arguments...)
		output, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("%s: no error", arguments[0])
		}
		if len(output) > 4<<10 {
			t.Errorf("%s: %d bytes of output", arguments[0], len(output))
		}
		usage := cmd.ProcessState.SysUsage().(*syscall.Rusage)
		t.Logf("%s: %d kB, %.200s", arguments[0], usage.Maxrss, output)
		if usage.Maxrss > mostKilobytes {
			t.Errorf("%s: %d kB", arguments[0], usage.Maxrss)
		}
	}
}
