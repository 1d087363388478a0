package engine

import (
	"errors"
	"io"

	"lovageshift"
)

// ErrNotSent is matched by errors of requests of which the engine got no byte.
var ErrNotSent = errors.New("not sent")

// ErrOldFencing is returned for an order that the engine refused for its fencing number.
var ErrOldFencing = errors.New("old fencing number")

// ErrRateLimited is returned for an order that the weight store had no room for.
var ErrRateLimited = errors.New("weight store rate exceeded")

// ErrNoResume is returned by an engine that can't go on with a broken stream.
var ErrNoResume = errors.New("stream cannot be resumed")

// The headers of the engines' protocol.
const (
	HeaderStream      = "X-Stream-Id"
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Request is what the target is to run.
type Request struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// NoRetry forbids any repetition by the HTTP client.
	NoRetry bool
}

// Header is one HTTP header.
type Header struct {
	Name, Value string
}

// Response is the target's answer as it arrives.
type Response struct {
	Status      int
	ContentType string
	StreamID    string
	Incarnation string
	Body        io.ReadCloser
}

// LoadReport is an engine's own report; it may be late.
type LoadReport struct {
	Incarnation string             `json:"incarnation"`
	Running     int                `json:"running"`
	Cold        bool               `json:"cold"`
	Model       string             `json:"model"`
	Adapter     string             `json:"adapter"`
	Version     string             `json:"version"`
	Role        string             `json:"role"`
	Fencing     uint64             `json:"fencing"`
	AgeMillis   lovageshift.Millis `json:"ageMillis"`
}

// CacheEvents are changes of the engine's prefix cache from the sequence First on; a First above what was asked for is a gap.
type CacheEvents struct {
	First   uint64 `json:"first"`
	Next    uint64 `json:"next"`
	Added   int    `json:"added"`
	Evicted int    `json:"evicted"`
}

// Order asks an engine to load a model, adapter and version and to take a role.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
