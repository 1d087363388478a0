package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lovageshift"
	"lovageshift/platform"
	"lovageshift/standin"
)

const (
	restartPause = 300 * time.Millisecond
	readyPoll    = 500 * time.Millisecond
	// The balancer takes an entry out after so many answers in a row that are not 200.
	readyMisses = 2
)

// entry is one process of the system, started again whenever it ends.
type entry struct {
	number   int
	machine  standin.VM
	settings string
	store    *Proxy
	callers  *Proxy

	mutex   sync.Mutex
	process *os.Process
	killed  bool // the next end of the process is ours
	stopped bool // the process was told to stop and shall end well
	ends    []string
	changes int  // how often the settings changed
	offered bool // the balancer sends it new connections
}

// run starts the process again and again until the context ends, and writes what it prints into the folder.
func (e *entry) run(ctx context.Context, program, folder string) error {
	output, err := os.Create(e.logPath(folder))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	for ctx.Err() == nil {
		command := exec.Command(program, "gateway")
		command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
		command.Stdout, command.Stderr = output, output
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return err
		}
		e.begun(command.Process)
		stop := context.AfterFunc(ctx, e.kill)
		err := command.Wait()
		stop()
		e.ended(err)
		lovageshift.Pause(ctx, restartPause)
	}
	return nil
}

func (e *entry) logPath(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("entry-%d.log", e.number))
}

func (e *entry) begun(process *os.Process) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.killed, e.stopped = process, false, false
}

func (e *entry) ended(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process = nil
	if !e.killed && (err != nil || !e.stopped) {
		e.ends = append(e.ends, fmt.Sprintf("%s ended by itself: %v", e.machine.Name, err))
	}
}

func (e *entry) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process == nil {
		return
	}
	e.killed = e.killed || signal == syscall.SIGKILL
	e.stopped = e.stopped || signal == syscall.SIGTERM
	_ = e.process.Signal(signal) // it may just have ended
}

func (e *entry) kill() { e.signal(syscall.SIGKILL) }

// running tells whether the process given still runs.
func (e *entry) running(process *os.Process) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return process != nil && e.process == process
}

func (e *entry) current() *os.Process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.process
}

// balance asks the process whether it is ready, as the balancer does.
func (e *entry) balance(ctx context.Context) error {
	client := http.Client{Timeout: readyPoll, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	lovageshift.Every(ctx, readyPoll, func() {
		misses++
		response, err := client.Get("http://" + e.machine.ReadinessAddress() + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.offered = misses < readyMisses && (e.offered || misses == 0)
	})
	return nil
}

func (e *entry) takesConnections() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.offered
}
