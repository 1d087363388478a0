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
	// Time from the exit of a process to its restart.
	restartDelay = 300 * time.Millisecond
	// Interval and timeout of readiness checks.
	readinessInterval = 500 * time.Millisecond
	// The load balancer stops sending new connections to an entry after this many failed readiness checks in a row. A
	// check fails without a response of status 200.
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
	killed          bool // the run sent SIGKILL to the process
	stopped         bool // the run sent SIGTERM to the process, which must exit without an error
	unexpectedExits []string
	settingsChanges int  // number of changes of the settings file
	restarted       bool // the process has exited at least once
	inRotation      bool // the load balancer sends new connections to the entry
}

// run starts the process, and starts it again restartDelay after each exit, until the context ends. The output of the
// process goes to a log file in the folder.
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
		e.recordStart(cmd.Process)
		stopKill := context.AfterFunc(ctx, e.kill)
		err := cmd.Wait()
		stopKill()
		e.recordExit(err)
		if err := e.markRestarted(); err != nil {
			return err
		}
		lovageshift.Pause(ctx, restartDelay)
	}
	return nil
}

func (e *entry) logPath(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("entry-%d.log", e.number))
}

// recordStart records a new process.
func (e *entry) recordStart(process *os.Process) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.killed, e.stopped = process, false, false
}

// recordExit records the exit of the process. An exit is unexpected if the run sent neither SIGKILL nor SIGTERM, or if
// the process returned an error after SIGTERM alone.
func (e *entry) recordExit(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process = nil
	if !e.killed && (err != nil || !e.stopped) {
		e.unexpectedExits = append(e.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", e.vm.Name, err))
	}
}

// signal sends a signal to the process, if one runs.
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

// pause stops the process until wait returns.
func (e *entry) pause(wait func()) {
	e.signal(syscall.SIGSTOP)
	wait()
	e.signal(syscall.SIGCONT)
}

func (e *entry) kill() { e.signal(syscall.SIGKILL) }

// isRunning reports whether the given process still runs.
func (e *entry) isRunning(process *os.Process) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return process != nil && e.process == process
}

// currentProcess returns the process, or nil if none runs.
func (e *entry) currentProcess() *os.Process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.process
}

// pollReadiness polls the readiness of the process, as a load balancer in front of the entries does. It puts the entry
// into rotation after one successful check and takes it out after unreadyThreshold failed ones in a row.
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
		e.inRotation = failures < unreadyThreshold && (e.inRotation || failures == 0)
	})
	return nil
}

// isInRotation reports whether the load balancer sends new connections to the entry.
func (e *entry) isInRotation() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.inRotation
}
