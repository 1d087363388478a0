// Package connection knows of each connection of a caller whether bytes of a request have arrived on it that have no answer yet,
// by what was received and not by what the HTTP server has made of it.
package connection
