package main

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"lovageshift/standin"
)

const (
	// Memory of a model replica, in tokens, and the allowance of each tenant, in tokens per second and as burst.
	cacheTokens = 1_028_412
	allowance   = 365_305
	// When the requests with the large count are sent, and how long the case is played.
	largeAt     = 6 * time.Second
	countsPlay  = 90 * time.Second
	countsEvery = 100 * time.Millisecond
)

// share counts the sound requests of a tenant.
type share struct {
	mutex        sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (s *share) add(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
	s.statuses[status]++
	if status == http.StatusOK {
		s.served++
	}
}

// playCounts sends one request to each entry that declares the largest number of output tokens that its header can hold.
func playCounts(p *play) (bool, error) {
	b := p.bed
	for number := range 4 {
		b.addHost(number, newModelReplica)
	}
	catalog := catalogOf(route("draft", "streaming", "pool", 15*time.Second, 500*time.Millisecond, 1))
	for i := range catalog.Accounts {
		catalog.Accounts[i].Rate, catalog.Accounts[i].Burst = allowance, allowance
	}
	b.store.Put(standin.ConfigKey, catalog)
	if err := b.run(3, 4, 284); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), countsPlay)
	defer cancel()
	if p.trouble {
		time.AfterFunc(largeAt, p.sendLarge)
	}
	tenants := []*share{{statuses: map[int]int{}}, {statuses: map[int]int{}}}
	every(ctx, countsEvery, func(number int) {
		tenant := number % len(tenants)
		n := b.fronts[number/len(tenants)%len(b.fronts)]
		request := draftRequest([]string{callerKey, fatalKey}[tenant], 64)
		reply := call(context.Background(), "", n.caller(), request)
		p.record.note("request %s with key %s at %s: status %d, %d events", request.ID, request.Key, n.name, reply.Status, len(reply.EventIDs))
		tenants[tenant].add(reply.Status)
	})
	return p.judgeShares(tenants), nil
}

// newModelReplica returns a replica that rejects a request that is larger than its memory as if it were full.
func newModelReplica(id string) *standin.Replica {
	replica := &standin.Replica{ID: id, Service: "pool", Slots: 15, EventCount: 4, EventInterval: 50 * time.Millisecond}
	replica.FaultOf = func(request *http.Request) standin.ReplicaFault {
		prompt, output := 0, 0
		_, err := fmt.Sscanf(request.Header.Get("Lovageshift-Token-Counts"), "%d,%d", &prompt, &output)
		if err != nil || prompt > cacheTokens || output > cacheTokens-prompt {
			return standin.ReplicaFaultRefuse
		}
		return standin.ReplicaFaultNone
	}
	return replica
}

func draftRequest(key string, output int) standin.CallerRequest {
	return standin.CallerRequest{
		ID: newID(), Host: routeHost, Method: "POST", Path: "/draft/1", Key: key, Body: "{}", TimeoutMillis: 15000,
		PromptTokens: 600, OutputTokens: output,
	}
}

// sendLarge sends a request with the large count to each entry.
func (p *play) sendLarge() {
	for _, n := range p.bed.fronts {
		request := draftRequest(fatalKey, math.MaxInt64)
		reply := call(context.Background(), "", n.caller(), request)
		p.record.note("request %s that declares %d output tokens at %s: status %d", request.ID, request.OutputTokens, n.name, reply.Status)
	}
}
