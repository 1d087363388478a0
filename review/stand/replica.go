package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	replicaPort = 8228
	slots       = 15
	// A plain request works for this long.
	plainWork = 30 * time.Millisecond
	// A stream has so many events, at this interval.
	streamEvents  = 30
	eventInterval = 100 * time.Millisecond
)

// replica is a stand-in of one replica; it starts again under its id.
type replica struct {
	bed     *bed
	id      string
	service string
	number  int
	// unframedEvery makes each stream of this number one without length and chunks, which ends with its channel; 0 for none.
	unframedEvery int
	// onRun is called when the replica begins to run a request.
	onRun func(r *replica, version string, req *http.Request)

	mutex    sync.Mutex
	version  string
	state    string
	born     int64
	sequence int
	server   *http.Server
	running  int
	streams  int
}

// addReplica starts a replica and writes its record now and at each heartbeat.
func (b *bed) addReplica(id, service, version string) (*replica, error) {
	r := &replica{bed: b, id: id, service: service, number: len(b.replicas), onRun: func(*replica, string, *http.Request) {}}
	b.replicas = append(b.replicas, r)
	if err := r.start(version); err != nil {
		return nil, err
	}
	b.tasks.Go(func() error {
		for b.context.Err() == nil {
			time.Sleep(heartbeat)
			r.writeRecord()
		}
		return nil
	})
	return r, nil
}

func (r *replica) address() string { return address(r.bed.replicaHost(r.number), replicaPort) }

// start starts a new lifetime of the replica.
func (r *replica) start(version string) error {
	listener, err := net.Listen("tcp", r.address())
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.mutex.Lock()
	r.version, r.state, r.born, r.sequence, r.running = version, "ready", time.Now().UnixMilli(), 0, 0
	server := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	r.server = server
	r.mutex.Unlock()
	r.bed.tasks.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	r.bed.note("%s starts, version %s", r.id, version)
	r.writeRecord()
	return nil
}

// crash ends the replica's lifetime without notice.
func (r *replica) crash() {
	r.mutex.Lock()
	server := r.server
	r.server = nil
	r.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// writeRecord writes the record if the replica runs and the store can be reached.
func (r *replica) writeRecord() {
	r.mutex.Lock()
	if r.server == nil {
		r.mutex.Unlock()
		return
	}
	r.sequence++
	record := map[string]any{
		"service": r.service, "address": r.address(), "zone": zones[r.number%len(zones)], "version": r.version, "slots": slots,
		"state": r.state, "cold_remaining_ms": 0, "seq": r.sequence, "born": r.born,
	}
	r.mutex.Unlock()
	r.bed.putRecord(r.id, record)
}

// drain makes the replica report that it leaves; it returns when the store has accepted that.
func (r *replica) drain() {
	r.mutex.Lock()
	r.state = "draining"
	r.mutex.Unlock()
	r.writeRecord()
	r.bed.note("the store accepted that %s is draining", r.id)
}

// ServeHTTP serves a request as the users' page on replicas has it.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mutex.Lock()
	version, draining, born := r.version, r.state == "draining", r.born
	r.mutex.Unlock()
	id := req.Header.Get("Lovageshift-Request-Id")
	w.Header().Set("Lovageshift-Instance-Id", r.id)
	switch expected := req.Header.Get("Lovageshift-Expected-Instance"); {
	case req.URL.Path == "/-/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"born":%d}`, born)
		return
	case req.URL.Path == "/health":
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case id == "":
		w.Header().Set("Lovageshift-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != r.id:
		w.Header().Set("Lovageshift-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Lovageshift-Request-Id", id)
	if draining {
		w.Header().Set("Connection", "close")
	}
	if !r.takeSlot() {
		w.Header().Set("Lovageshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.freeSlot()
	r.onRun(r, version, req)
	w.Header().Set("Lovageshift-Response-Seal", "seal."+r.id+"."+id)
	if isStream(req.URL.Path) {
		r.stream(w, req, version)
		return
	}
	time.Sleep(plainWork)
	body := fmt.Sprintf("%s %s %s\n", r.id, version, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

func (r *replica) takeSlot() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.running >= slots {
		return false
	}
	r.running++
	return true
}

func (r *replica) freeSlot() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running = max(r.running-1, 0)
}

// isUnframed counts a stream and reports whether it ends with its channel.
func (r *replica) isUnframed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.streams++
	return r.unframedEvery > 0 && r.streams%r.unframedEvery == 0
}

// stream writes the events after the one that the request names.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.isUnframed() {
		w.Header()["Transfer-Encoding"] = []string{"identity"} // net/http then ends the body by closing the channel
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= streamEvents; number++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", number, r.id, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
