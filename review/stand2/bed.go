package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	firstPort = 8200
	// Interval at which replicas write their records, and how long the store keeps one that is not renewed.
	recordInterval = 1200 * time.Millisecond
	recordLifetime = 3 * recordInterval
	// Time from the end of a process or a replica to its next start.
	processDelay = 300 * time.Millisecond
	replicaDelay = 3 * time.Second
	startTimeout = 15 * time.Second
	grace        = 8 * time.Second
)

// bounds are those of the pages' small installations.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
	"grace_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
	"revoke_everywhere": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52,
	"quota_window_s": 8, "quota_overshoot": 0.25, "quota_slack": 140000, "cold_overshoot": 1.5, "cold_slack": 5,
	"evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10,
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bed is a small installation on loopback: the store and the replicas in this process, entries and recorders as processes.
type bed struct {
	network string // of the form 127.N
	folder  string
	program string
	record  *record
	store   *standin.Store
	server  *http.Server
	fronts  []*node
	sides   []*node
	hosts   []*host
	tasks   errgroup.Group
	stop    context.CancelFunc
}

// node is a machine with one process of the system.
type node struct {
	bed     *bed
	name    string
	address string // of the machine
	role    string
	file    string // with the settings

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ordered bool // this program has ended the process
	ended   int  // how often it ended by itself
}

// host is an address at which the starts of one replica follow each other.
type host struct {
	bed        *bed
	address    string
	zone       string
	newReplica func(id string) *standin.Replica

	mutex    sync.Mutex
	server   *http.Server
	replica  *standin.Replica
	starts   int
	born     int64
	sequence int64
	silentAt time.Time // since when the store gets no record, zero while it does
	past     []*standin.Replica
}

// newBed starts the store. The network is free for this process, as it holds its first address.
func newBed(program, folder string, log *record) (*bed, error) {
	b := &bed{folder: folder, program: program, record: log, store: standin.NewStore()}
	for range 50 {
		b.network = fmt.Sprintf("127.%d", 20+rand.IntN(220))
		listener, err := net.Listen("tcp", b.storeAddress())
		if err != nil {
			continue
		}
		b.server = &http.Server{Handler: b.store, ReadHeaderTimeout: startTimeout}
		b.tasks.Go(func() error { return ignoreClosed(b.server.Serve(listener)) })
		return b, nil
	}
	return nil, errors.New("no free loopback network")
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (b *bed) storeAddress() string { return b.network + ".201.1:8225" }

// run starts the replicas, recorders and entries, and waits until every entry is ready.
func (b *bed) run(fronts, sides, memoryMB int) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	b.tasks.Go(func() error { b.keepRecords(ctx); return nil })
	var seeds []string
	for number := range min(fronts, 3) {
		seeds = append(seeds, b.frontAddress(number))
	}
	for number := range fronts {
		n := &node{bed: b, name: fmt.Sprintf("front-%d", number+1), address: b.frontAddress(number), role: "gateway"}
		b.fronts = append(b.fronts, n)
		if err := n.writeSettings(number, seeds, memoryMB); err != nil {
			return err
		}
	}
	for number := range sides {
		n := &node{bed: b, name: fmt.Sprintf("side-%d", number+1), address: fmt.Sprintf("%s.220.%d", b.network, number+1), role: "recorder"}
		b.sides = append(b.sides, n)
		if err := n.writeSettings(number, seeds, 216); err != nil {
			return err
		}
	}
	for _, n := range b.nodes() {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range b.fronts {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (b *bed) nodes() []*node { return append(append([]*node{}, b.sides...), b.fronts...) }

func (b *bed) frontAddress(number int) string { return fmt.Sprintf("%s.210.%d", b.network, number+1) }

// close ends all that the bed has started.
func (b *bed) close() {
	for _, n := range b.nodes() {
		n.end(syscall.SIGKILL)
	}
	if b.stop != nil {
		b.stop()
	}
	for _, h := range b.hosts {
		h.mutex.Lock()
		if h.server != nil {
			_ = h.server.Close()
		}
		h.mutex.Unlock()
	}
	_ = b.server.Close()
}

// addHost adds an address for a replica.
func (b *bed) addHost(number int, newReplica func(id string) *standin.Replica) *host {
	h := &host{bed: b, address: fmt.Sprintf("%s.202.%d:9000", b.network, number+1), zone: zones[number%len(zones)], newReplica: newReplica}
	b.hosts = append(b.hosts, h)
	return h
}

// keepRecords writes the records of the replicas, and removes those that were not renewed.
func (b *bed) keepRecords(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		for _, h := range b.hosts {
			h.renew()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// writeSettings writes the settings file of the node's process.
func (n *node) writeSettings(number int, seeds []string, memoryMB int) error {
	vm := standin.VM{
		Name: n.name, Zone: zones[number%len(zones)], Host: n.address, Seeds: seeds, Store: n.bed.storeAddress(),
		FirstPort: firstPort, Bounds: bounds, MemoryMegabytes: memoryMB, FileDescriptors: 4200,
	}
	n.file = filepath.Join(n.bed.folder, n.name+".json")
	return vm.WriteSettings(n.file)
}

// start starts the node's process.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(n.bed.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(n.bed.program, n.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESHIFT_BOOT=" + n.file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.ordered = command, exited, false
	n.bed.tasks.Go(func() error {
		err := command.Wait()
		n.mutex.Lock()
		if !n.ordered {
			n.ended++
			n.bed.record.note("%s ended by itself: %v", n.name, err)
		}
		n.mutex.Unlock()
		close(exited)
		return nil
	})
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.ordered = true
	}
	_ = n.process.Process.Signal(signal)
}

// end sends the signal and waits until the process has exited; it kills the process after the grace period.
func (n *node) end(signal syscall.Signal) {
	if n.exited == nil {
		return
	}
	n.signal(signal)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// restart starts the process again a short time after its end.
func (n *node) restart() error {
	time.Sleep(processDelay)
	return n.start()
}

func (n *node) endsOfItsOwn() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.ended
}

// caller returns the address at which the entry serves callers.
func (n *node) caller() string { return fmt.Sprintf("%s:%d", n.address, firstPort) }

// ready reports whether the entry says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", n.address, firstPort+1))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts the next replica at the address, with an identifier of its own.
func (h *host) start() error {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.starts++
	h.replica = h.newReplica(fmt.Sprintf("i-%s-%d", h.address[len(h.bed.network)+1:len(h.address)-5], h.starts))
	h.past = append(h.past, h.replica)
	h.born, h.sequence, h.silentAt = time.Now().UnixMilli(), 0, time.Time{}
	h.server = &http.Server{Handler: h.replica, ReadHeaderTimeout: startTimeout}
	server := h.server
	h.bed.tasks.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	return nil
}

// crash ends the replica, as a crash of its process does, and starts the next one later.
func (h *host) crash() {
	h.mutex.Lock()
	server := h.server
	if server == nil {
		h.mutex.Unlock()
		return
	}
	h.server, h.silentAt = nil, time.Now()
	h.mutex.Unlock()
	_ = server.Close()
	time.AfterFunc(replicaDelay, func() {
		h.forget()
		if err := h.start(); err != nil {
			h.bed.record.note("replica at %s does not start: %v", h.address, err)
		}
		h.renew()
	})
}

// renew writes the replica's record, or removes the one that has not been renewed for the lifetime of a record.
func (h *host) renew() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.silentAt.IsZero() {
		h.sequence++
		h.bed.store.Put(h.replica.Key(), h.replica.Record(standin.Registration{
			Address: h.address, Zone: h.zone, Born: h.born, Sequence: h.sequence,
		}))
		return
	}
	if time.Since(h.silentAt) >= recordLifetime {
		h.bed.store.Delete(h.replica.Key())
	}
}

// forget removes the record of the replica that has crashed.
func (h *host) forget() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.bed.store.Delete(h.replica.Key())
}

// setSilent stops or resumes the replica's records, as a cut between the replica and the store does.
func (h *host) setSilent(silent bool) {
	h.mutex.Lock()
	h.silentAt = time.Time{}
	if silent {
		h.silentAt = time.Now()
	}
	h.mutex.Unlock()
	if !silent {
		h.renew()
	}
}

// replicas returns all replicas that have run at the address.
func (h *host) replicas() []*standin.Replica {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]*standin.Replica{}, h.past...)
}
