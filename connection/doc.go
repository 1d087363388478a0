// Package connection accepts the connections of callers and decides when one is closed: only its reader does, after it has seen
// that no byte of a request has arrived. What the HTTP server knows is not enough for that, since package framing holds a request
// back until its header is whole, and since the server drops requests that it reads after its shutdown has begun.
package connection
