package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift/standin"
)

const (
	program = "target/lovageshift"
	host    = "shop.example"

	storePort    = 8225
	callerPort   = 8221
	readyPort    = 8224
	controlPort  = 8229
	internalPort = 7600

	heartbeat = 1200 * time.Millisecond
	// The longest time from the start of an entry until it is ready.
	readyTimeout = 10 * time.Second
)

var zones = []string{"van-a", "van-b", "vic-c"}

// Bounds of the smaller installation of the Member Booking and Design Assistant Fleet.
const (
	contact    = 3000 * time.Millisecond
	drainBound = 2000 * time.Millisecond
	revokeTime = 5000 * time.Millisecond
)

var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contact.Milliseconds(), "acknowledge_ms": 4000, "catch_up_s": 4,
	"drain_ms": drainBound.Milliseconds(), "grace_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000,
	"rollback_slack_ms": 250, "outer_bound_ms": 5000, "revoke_everywhere": true, "revoke_ms": revokeTime.Milliseconds(),
	"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52, "quota_window_s": 8, "quota_overshoot": 0.25,
	"quota_slack": 140000, "cold_overshoot": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 120,
	"reuse_window_s": 10,
}

// bed is an installation on one network of loopback addresses.
type bed struct {
	trouble bool
	started time.Time
	folder  string
	network string // 127.N
	store   *standin.Store
	gate    *gate
	// behindRelay holds the entries that have a relay between them and all others.
	behindRelay map[int]bool
	server      *http.Server
	stop        context.CancelFunc
	context     context.Context
	tasks       errgroup.Group

	mutex    sync.Mutex
	record   *os.File
	commands map[string]*exec.Cmd
	replicas []*replica
}

// newBed starts the store on the first network of loopback addresses that is free.
func newBed(recordPath string, trouble bool) (*bed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lovageshift-review")
	if err != nil {
		return nil, err
	}
	b := &bed{
		trouble: trouble, started: time.Now(), folder: folder, store: standin.NewStore(), record: record,
		commands: map[string]*exec.Cmd{},
	}
	b.gate = newGate(b.store)
	b.context, b.stop = context.WithCancel(context.Background())
	var listener net.Listener
	for number := range 100 {
		b.network = fmt.Sprintf("127.%d", 20+(os.Getpid()+number)%200)
		if listener, err = net.Listen("tcp", b.storeAddress()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b.gate, ReadHeaderTimeout: 10 * time.Second}
	b.tasks.Go(func() error { return b.server.Serve(listener) })
	b.note("disruption: %v", trouble)
	return b, nil
}

func (b *bed) storeAddress() string { return fmt.Sprintf("%s.9.1:%d", b.network, storePort) }

// entryHost returns the address of an entry's machine.
func (b *bed) entryHost(number int) string { return fmt.Sprintf("%s.1.%d", b.network, number+1) }

// replicaHost returns the address of the machine of a replica and its recorder.
func (b *bed) replicaHost(number int) string { return fmt.Sprintf("%s.2.%d", b.network, number+1) }

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as it stands in the record.
func (b *bed) since(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(b.started).Seconds()) }

// close ends all processes and servers.
func (b *bed) close() {
	b.stop()
	b.mutex.Lock()
	for _, command := range b.commands {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	b.mutex.Unlock()
	for _, r := range b.replicas {
		r.crash()
	}
	_ = b.server.Close()
	_ = b.tasks.Wait()
	_ = os.RemoveAll(b.folder)
}

// sleep waits until so long after the time.
func sleep(after time.Time, wait time.Duration) { time.Sleep(time.Until(after.Add(wait))) }

// startEntry starts an entry's process. First tells whether the whole installation starts for the first time.
func (b *bed) startEntry(number, count int, first bool) error {
	ip := b.entryHost(number)
	settings := b.settings(fmt.Sprintf("front-%d", number), "entry", "front", ip, zones[number%len(zones)], min(count, 3), first)
	settings["serves"] = []string{"front", "control"}
	settings["listen"] = map[string]string{
		"front": address(ip, callerPort), "ready": address(ip, readyPort), "control": address(ip, controlPort),
	}
	settings["limits"] = map[string]any{
		"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "file_descriptors": 4200, "link_mbps": 1000, "disk_mb": 0,
	}
	if b.behindRelay[number] {
		settings["internal_ports"] = []int{innerPort, innerPort + 15}
	}
	return b.startProcess("gateway", settings)
}

// startRecorder starts the process beside a replica.
func (b *bed) startRecorder(number, entries int) error {
	settings := b.settings(fmt.Sprintf("side-%d", number), "recorder", "side", b.replicaHost(number), zones[number%len(zones)], min(entries, 3), true)
	settings["serves"], settings["listen"] = []string{"side"}, map[string]string{}
	settings["limits"] = map[string]any{
		"cpu_share": 0.32, "cores": 1, "memory_mb": 216, "file_descriptors": 4096, "link_mbps": 2000, "disk_mb": 0,
	}
	return b.startProcess("recorder", settings)
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (b *bed) settings(name, role, class, ip, zone string, seeds int, first bool) map[string]any {
	var seedAddresses []string
	for number := range seeds {
		seedAddresses = append(seedAddresses, address(b.entryHost(number), controlPort))
	}
	return map[string]any{
		"node_name": name, "role": role, "machine_class": class, "ip_address": ip, "zone": zone, "region": "bc-coast",
		"zones":          map[string]string{"van-a": "bc-coast", "van-b": "bc-coast", "vic-c": "bc-coast"},
		"internal_ports": []int{internalPort, internalPort + 15}, "seeds": seedAddresses, "bootstrap": first,
		"in_tolerance": false, "data_directory": nil, "discovery": "platform", "entry": "virtual_ip",
		"heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "places", "platform",
		},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds":          bounds,
		"platform": map[string]any{
			"address": b.storeAddress(), "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_minimum_ms": 1000,
		},
	}
}

// startProcess starts a process with the settings. Its output goes to a file in the temporary folder, or, if the variable
// KEEP_LOGS names a folder, there.
func (b *bed) startProcess(command string, settings map[string]any) error {
	name := settings["node_name"].(string)
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(b.folder, name+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	logs := b.folder
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		logs = kept
	}
	output, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(program, command)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESHIFT_BOOT=" + path}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	b.mutex.Lock()
	b.commands[name] = process
	b.mutex.Unlock()
	b.note("starts %s", name)
	return nil
}

// killEntry sends SIGKILL to an entry's process.
func (b *bed) killEntry(number int) error {
	name := fmt.Sprintf("front-%d", number)
	b.mutex.Lock()
	process := b.commands[name]
	b.mutex.Unlock()
	b.note("SIGKILL to %s", name)
	if err := process.Process.Kill(); err != nil {
		return err
	}
	_ = process.Wait()
	return nil
}

// signalEntry sends a signal to an entry's process.
func (b *bed) signalEntry(number int, signal syscall.Signal) error {
	name := fmt.Sprintf("front-%d", number)
	b.mutex.Lock()
	process := b.commands[name]
	b.mutex.Unlock()
	b.note("%v to %s", signal, name)
	return process.Process.Signal(signal)
}

// startAll starts the entries, and a recorder beside each replica, and waits until all entries are ready and have been in
// touch for long enough that the rules hold.
func (b *bed) startAll(entries int) error {
	for number := range b.replicas {
		if err := b.startRecorder(number, entries); err != nil {
			return err
		}
	}
	for number := range entries {
		if err := b.startEntry(number, entries, true); err != nil {
			return err
		}
	}
	return b.awaitContact(entries)
}

// awaitContact waits until all entries are ready and have been in touch for long enough that the rules hold.
func (b *bed) awaitContact(entries int) error {
	for number := range entries {
		if err := b.awaitReady(number); err != nil {
			return err
		}
	}
	time.Sleep(contact + time.Second)
	return nil
}

func (b *bed) awaitReady(number int) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + address(b.entryHost(number), readyPort) + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			b.note("front-%d is ready", number)
			return nil
		}
	}
	return fmt.Errorf("%w: front-%d is not ready", errNotRun, number)
}
