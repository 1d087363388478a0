package engine

import (
	"errors"
	"io"

	"lovageshift"
)

// ErrNotSent is matched by the error of a request of which the target certainly received no byte.
var ErrNotSent = errors.New("not sent")

// ErrOldFencing is returned for an order that the engine refused because of its fencing number.
var ErrOldFencing = errors.New("old fencing number")

// ErrRateLimited is returned for an order that exceeds the rate at which the weight store serves loads.
var ErrRateLimited = errors.New("weight store rate exceeded")

// ErrNoResume is returned if an interrupted stream has no id or the engine does not continue it.
var ErrNoResume = errors.New("stream cannot be resumed")

// Response headers of an engine: the id of a stream, by which it can be resumed, and the engine's incarnation, which
// changes when the engine restarts.
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
	// NoRetry sends the request on a new connection: net/http retries requests only on reused ones.
	NoRetry bool
}

// Header is one HTTP header field.
type Header struct {
	Name, Value string
}

// Response is the target's HTTP response, whose body can be read as it arrives. StreamID and Incarnation come from an
// engine's headers; each is empty if its header is missing.
type Response struct {
	Status      int
	ContentType string
	StreamID    string
	Incarnation string
	Body        io.ReadCloser
}

// LoadReport is what an engine reports about itself. AgeMillis is the age of the report, which may be out of date.
type LoadReport struct {
	Incarnation string             `json:"incarnation"`
	Running     int                `json:"running"` // requests that the engine runs or has queued
	Cold        bool               `json:"cold"`
	Model       string             `json:"model"`
	Adapter     string             `json:"adapter"`
	Version     string             `json:"version"`
	Role        string             `json:"role"`
	Fencing     uint64             `json:"fencing"` // fencing number of the last order that the engine accepted
	AgeMillis   lovageshift.Millis `json:"ageMillis"`
}

// CacheEvents covers the changes of the engine's prefix cache with sequence numbers from First up to, but not
// including, Next. If First is not the number that was requested, changes were missed or the numbers began anew. Added
// and Evicted count blocks.
type CacheEvents struct {
	First   uint64 `json:"first"`
	Next    uint64 `json:"next"`
	Added   int    `json:"added"`
	Evicted int    `json:"evicted"`
}

// Order tells an engine to load a version of a model with an adapter, and to take on a role. Fencing rises with each
// new order to an engine; an engine that checks it refuses an order whose number is not above that of the last one.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
