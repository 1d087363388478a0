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
	restartDelay      = 300 * time.Millisecond
	readinessInterval = 500 * time.Millisecond
	// The load balancer stops sending connections to an entry after this many responses in a row that are not 200.
	unreadyThreshold = 2
)

// entry is one entry process, restarted whenever it exits.
type entry struct {
	number       int
	vm           standin.VM
	settingsPath string
	storeProxy   *Proxy
	callerProxy  *Proxy

	mutex           sync.Mutex
	process         *os.Process
	killed          bool // the run killed the process
	stopped         bool // the process was told to stop and must exit without an error
	unexpectedExits []string
	settingsChanges int  // number of changes of the settings file
	selected        bool // the load balancer sends it new connections
}

// run starts the process, and restarts it when it exits, until the context ends. The folder receives its output.
func (e *entry) run(ctx context.Context, program, folder string) error {
	logFile, err := os.Create(e.logPath(folder))
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	for ctx.Err() == nil {
		cmd := exec.Command(program, "gateway")
		cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settingsPath)
		cmd.Stdout, cmd.Stderr = logFile, logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		e.started(cmd.Process)
		stopKill := context.AfterFunc(ctx, e.kill)
		err := cmd.Wait()
		stopKill()
		e.exited(err)
		lovageshift.Pause(ctx, restartDelay)
	}
	return nil
}

func (e *entry) logPath(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("entry-%d.log", e.number))
}

// started records a new process.
func (e *entry) started(process *os.Process) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.killed, e.stopped = process, false, false
}

// exited records the exit of the process, as unexpected if it was neither killed nor stopped without an error.
func (e *entry) exited(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process = nil
	if !e.killed && (err != nil || !e.stopped) {
		e.unexpectedExits = append(e.unexpectedExits, fmt.Sprintf("%s exited by itself: %v", e.vm.Name, err))
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
	_ = e.process.Signal(signal) // the process may just have exited
}

func (e *entry) kill() { e.signal(syscall.SIGKILL) }

// isRunning reports whether the given process still runs.
func (e *entry) isRunning(process *os.Process) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return process != nil && e.process == process
}

func (e *entry) currentProcess() *os.Process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.process
}

// pollReadiness polls the readiness of the process, as the load balancer does.
func (e *entry) pollReadiness(ctx context.Context) error {
	client := http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := 0
	lovageshift.Every(ctx, readinessInterval, func() {
		failures++
		response, err := client.Get("http://" + e.vm.ReadinessAddress() + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				failures = 0
			}
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.selected = failures < unreadyThreshold && (e.selected || failures == 0)
	})
	return nil
}

// inRotation reports whether the load balancer sends new connections to the entry.
func (e *entry) inRotation() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.selected
}
