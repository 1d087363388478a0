// Package framing rejects HTTP requests with ambiguous framing before net/http
// reads them, to prevent request smuggling: net/http accepts a Content-Length
// beside a chunked Transfer-Encoding, bare line feeds and a few other forms, any
// of which can hide one request inside another.
package framing
