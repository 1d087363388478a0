package engine

import (
	"errors"
	"io"

	"lovageshift"
)

// ErrNotSent is matched by the errors of requests of which the engine received no byte.
var ErrNotSent = errors.New("not sent")

// ErrOldFencing is returned for an order that the engine refused because of its fencing number.
var ErrOldFencing = errors.New("old fencing number")

// ErrRateLimited is returned for an order that exceeds the rate at which the weight store serves loads.
var ErrRateLimited = errors.New("weight store rate exceeded")

// ErrNoResume is returned if the engine does not continue an interrupted stream.
var ErrNoResume = errors.New("stream cannot be resumed")

// Response headers of the engines' protocol.
const (
	HeaderStream      = "X-Stream-Id"
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Request is an HTTP request to the target.
type Request struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// NoRetry sends the request on a new connection, so that net/http does not retry it.
	NoRetry bool
}

// Header is one HTTP header field.
type Header struct {
	Name, Value string
}

// Response is the target's HTTP response; its body is read as it arrives.
type Response struct {
	Status      int
	ContentType string
	StreamID    string
	Incarnation string
	Body        io.ReadCloser
}

// LoadReport is what an engine reports of its own state. It may be out of date; AgeMillis is its age.
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

// CacheEvents sums up the changes of the engine's prefix cache from sequence number First up to, but not including,
// Next. If First is above the number that was requested, the changes in between are lost.
type CacheEvents struct {
	First   uint64 `json:"first"`
	Next    uint64 `json:"next"`
	Added   int    `json:"added"`
	Evicted int    `json:"evicted"`
}

// Order tells an engine to load a version of a model with an adapter, and to take on a role.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
