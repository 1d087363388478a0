package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/placement"
)

const (
	// How long a refusal is kept on record. Callers wait for Retry-After only up to a third of the time left to their
	// deadline. That third is a few seconds, so a repeated request arrives before the record expires.
	refusalTTL lovageshift.Millis = 8000
	// Refusals are not recorded while this many unexpired ones are on record.
	maxRefused = 20_000
)

// refusedRequests records the requests that this or another entry refused with a Retry-After, so that a request that
// its caller repeats is recognized and gets its own maximum wait for a slot (see newJob). Callers repeat refused
// requests, so a burst of refusals is followed by a burst of repeated requests. A retry, in contrast, is made by the
// entry and is not recorded here.
type refusedRequests struct {
	mutex sync.Mutex
	// refusedAt is when each request was refused or reported as refused, by short fingerprint.
	refusedAt map[uint32]lovageshift.Millis
	// unreported are the short fingerprints of requests that this entry refused and has not reported yet.
	unreported []uint32
	// sweptAt is when records older than refusalTTL were last deleted.
	sweptAt lovageshift.Millis
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{refusedAt: map[uint32]lovageshift.Millis{}}
}

// add records a request that this entry refused, and marks it to be reported to the other entries.
func (r *refusedRequests) add(now lovageshift.Millis, shortFingerprint uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unreported = append(r.unreported, shortFingerprint)
	r.record(now, shortFingerprint)
}

// merge records requests that another entry refused.
func (r *refusedRequests) merge(now lovageshift.Millis, shortFingerprints []uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, shortFingerprint := range shortFingerprints {
		r.record(now, shortFingerprint)
	}
}

func (r *refusedRequests) record(now lovageshift.Millis, shortFingerprint uint32) {
	if now-r.sweptAt > refusalTTL/4 || len(r.refusedAt) >= maxRefused {
		r.sweptAt = now
		for recorded, at := range r.refusedAt {
			if now-at > refusalTTL {
				delete(r.refusedAt, recorded)
			}
		}
	}
	if len(r.refusedAt) < maxRefused {
		r.refusedAt[shortFingerprint] = now
	}
}

// take reports whether the request was refused within refusalTTL, and deletes its record.
func (r *refusedRequests) take(now lovageshift.Millis, shortFingerprint uint32) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, found := r.refusedAt[shortFingerprint]
	delete(r.refusedAt, shortFingerprint)
	return found && now-at <= refusalTTL
}

// takeUnreported returns the short fingerprints of the requests that this entry refused since the last call of
// takeUnreported.
func (r *refusedRequests) takeUnreported() []uint32 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	unreported := r.unreported
	r.unreported = nil
	return unreported
}

// shortFingerprint returns the lower 32 bits of the fingerprint, which identify a refused request in state updates.
func (r *request) shortFingerprint() uint32 { return uint32(r.fingerprint()) }

// fingerprint returns a hash of the request's account, if it has one, its method, URI, prompt part IDs and body. All of
// these stay the same when the caller repeats the request. The body must have been read.
func (r *request) fingerprint() lovageshift.Fingerprint {
	if r.cachedFingerprint != 0 {
		return r.cachedFingerprint
	}
	digest := xxhash.New()
	if r.account != nil {
		_, _ = digest.WriteString(string(r.account.ID))
	}
	_, _ = digest.WriteString(r.req.Method + " " + r.req.RequestURI)
	for _, part := range r.headers.PromptParts {
		_, _ = digest.WriteString(part.ID + ",")
	}
	_, _ = digest.Write(r.body)
	r.cachedFingerprint = lovageshift.Fingerprint(digest.Sum64())
	return r.cachedFingerprint
}

// countShare counts a request that got no slot in time in the metrics, by the share of its account. It returns what the log
// line of the refusal says of it.
func (r *request) countShare(refusal *placement.Refusal) string {
	if refusal.Reason != lovageshift.ReasonShed {
		return ""
	}
	if refusal.AboveShare {
		r.gateway.metrics.Add(metrics.SharedRefusals, "aboveShare", 1)
		return ", the account is above its share"
	}
	r.gateway.metrics.Add(metrics.SharedRefusals, "withinShare", 1)
	return ""
}
