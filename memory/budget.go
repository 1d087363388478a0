package memory

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"lovageshift"
)

// ErrExhausted means that the budget has no room for the bytes now.
var ErrExhausted = errors.New("the memory budget is exhausted")

// ErrTooLarge means that the budget can never hold the bytes.
var ErrTooLarge = errors.New("more than the whole memory budget")

// ErrEvicted means that the reservation was evicted, as its body had stalled while others needed the memory.
var ErrEvicted = errors.New("evicted from the memory budget")

const (
	// An owner may hold this many times what is then still free: one owner alone two thirds of the budget, and each of n
	// owners 2/(1+2n) of it. So there is always room for an owner that holds nothing yet.
	ownerFactor = 2
	// Stalled bodies are evicted while less than this share of the budget is free.
	pressureShare = 0.25
	// A body has stalled if no byte of it has arrived for this long. A caller that lost a packet twice in succession sends it
	// again within this time, by the usual timeouts of TCP.
	stallMillis lovageshift.Millis = 2000
	// Stalled bodies are looked for at most once in this time, as that takes as long as there are bodies being read.
	sweepMillis lovageshift.Millis = 50
)

// RetryAfter is the Retry-After of a request that was refused for lack of memory: about how long stalled bodies take to be evicted.
const RetryAfter lovageshift.Millis = 1000

// Owner is the caller on whose behalf memory is held: its client account or, if it has none, its address.
type Owner struct {
	Account lovageshift.AccountID
	Address string
}

// OwnerOf returns the owner of a body from the remote address (http.Request.RemoteAddr): the account or, if that is "", the IP
// address.
func OwnerOf(account lovageshift.AccountID, remoteAddress string) Owner {
	if account != "" {
		return Owner{Account: account}
	}
	return Owner{Address: HostOf(remoteAddress)}
}

// HostOf returns the IP address of a remote address (http.Request.RemoteAddr).
func HostOf(remoteAddress string) string {
	host, _, err := net.SplitHostPort(remoteAddress)
	if err != nil {
		return remoteAddress
	}
	return host
}

// Budget limits the bytes that the requests of all callers hold. A nil *Budget has no limit. It is safe for concurrent use.
type Budget struct {
	size Bytes

	mutex   sync.Mutex
	held    Bytes
	owners  map[Owner]Bytes
	reading map[*Reservation]struct{} // of bodies that have not arrived completely
	sweptAt lovageshift.Millis
	evicted int64
}

// NewBudget returns a budget of the size.
func NewBudget(size Bytes) *Budget {
	return &Budget{size: size, owners: map[Owner]Bytes{}, reading: map[*Reservation]struct{}{}}
}

// Reservation is what one request holds of a budget. Until Complete, it may be evicted.
type Reservation struct {
	budget     *Budget
	owner      Owner
	evict      func()
	progressAt atomic.Int64 // when a byte of the body last arrived

	// Guarded by the budget's mutex.
	bytes   Bytes
	evicted bool
}

// Reserve reserves the bytes for a request whose body is about to be read. If the body stalls while others need the memory,
// evict is called, at most once and not after Complete or Release. It must end the reading without waiting and not call the
// budget. The error is ErrExhausted or ErrTooLarge.
func (b *Budget) Reserve(now lovageshift.Millis, owner Owner, bytes Bytes, evict func()) (*Reservation, error) {
	r := &Reservation{budget: b, owner: owner, evict: evict}
	r.progressAt.Store(int64(now))
	if b == nil {
		return r, nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.reserve(now, r, bytes); err != nil {
		return nil, err
	}
	b.reading[r] = struct{}{}
	return r, nil
}

// reserve adds the bytes to the reservation. The caller holds the mutex.
func (b *Budget) reserve(now lovageshift.Millis, r *Reservation, bytes Bytes) error {
	free := b.size - b.held - bytes
	if float64(free) < pressureShare*float64(b.size) {
		b.sweep(now, r)
	}
	switch {
	case r.evicted:
		return ErrEvicted
	case r.bytes+bytes > b.size:
		return ErrTooLarge
	case free < 0, b.owners[r.owner]+bytes > ownerFactor*free && b.held > r.bytes:
		return ErrExhausted
	}
	r.bytes += bytes
	b.held += bytes
	b.owners[r.owner] += bytes
	return nil
}

// sweep evicts the bodies that have stalled, but for the one of the reservation. Their bytes stay reserved until their requests
// release them. The caller holds the mutex.
func (b *Budget) sweep(now lovageshift.Millis, except *Reservation) {
	if now-b.sweptAt < sweepMillis && b.sweptAt > 0 {
		return
	}
	b.sweptAt = now
	for r := range b.reading {
		if r != except && now-lovageshift.Millis(r.progressAt.Load()) >= stallMillis {
			r.evicted = true
			b.evicted++
			delete(b.reading, r)
			r.evict()
		}
	}
}

// EvictStalled evicts the bodies that have stalled, because their connections are needed.
func (b *Budget) EvictStalled(now lovageshift.Millis) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now, nil)
}

// Usage is what a budget holds.
type Usage struct {
	Held    Bytes
	Bodies  int   // that are being read
	Evicted int64 // bodies since the start
}

// Usage returns what the budget holds at present.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Usage{Held: b.held, Bodies: len(b.reading), Evicted: b.evicted}
}

// HeldBy returns the bytes that the owner holds.
func (b *Budget) HeldBy(owner Owner) Bytes {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.owners[owner]
}

// Grow reserves more bytes. The error is ErrExhausted, ErrTooLarge or ErrEvicted; the reservation then stays as it is.
func (r *Reservation) Grow(now lovageshift.Millis, bytes Bytes) error {
	b := r.budget
	if b == nil {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.reserve(now, r, bytes)
}

// Shrink releases some of the bytes. It may be called on nil.
func (r *Reservation) Shrink(bytes Bytes) {
	if r == nil {
		return
	}
	b := r.budget
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.release(r, bytes)
}

// release removes the bytes from the reservation. The caller holds the mutex.
func (b *Budget) release(r *Reservation, bytes Bytes) {
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	b.held -= bytes
	if b.owners[r.owner] -= bytes; b.owners[r.owner] == 0 {
		delete(b.owners, r.owner)
	}
}

// Progress records that bytes of the body have arrived.
func (r *Reservation) Progress(now lovageshift.Millis) { r.progressAt.Store(int64(now)) }

// Complete ends the reading of the body, after which the reservation is not evicted any more. The error is ErrEvicted.
func (r *Reservation) Complete() error {
	b := r.budget
	if b == nil {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.reading, r)
	if r.evicted {
		return ErrEvicted
	}
	return nil
}

// Evicted reports whether the reservation was evicted.
func (r *Reservation) Evicted() bool {
	b := r.budget
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return r.evicted
}

// Release releases all bytes. It may be called more than once, and on nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.reading, r)
	b.release(r, r.bytes)
}
