package delivery

import "net/http"

// Framing is what shows a caller the end of an answer.
type Framing int

// The framings of an answer.
const (
	// NoBody is the framing of an answer that has no body, as its method or status says.
	NoBody Framing = iota
	// Length is the framing of a body whose size the header gives.
	Length
	// Chunks is the framing of a body whose last chunk is empty.
	Chunks
	// ConnectionEnd is the framing of a body that ends with the connection, for callers that know no chunks. The
	// connection is reset unless the entry has written all of the body.
	ConnectionEnd
)

// FramingOf returns the framing of the answer to the request: by the method, the status, the size of the body in bytes (-1 if
// it is not known) and the caller's version of HTTP.
func FramingOf(req *http.Request, status, length int) Framing {
	switch {
	case !hasBody(req.Method, status):
		return NoBody
	case length >= 0:
		return Length
	case req.ProtoAtLeast(1, 1):
		return Chunks
	default:
		return ConnectionEnd
	}
}

// hasBody reports whether an answer with the status to a request of the method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
