package soak

import (
	"fmt"
	"net"

	"lovageshift/standin"
)

const (
	// The VM of entries with Options.Stalls. Half of the descriptors beyond the 200 for files are for callers' connections.
	stallsMemoryMB    = 256 // the race detector's memory included
	stallsDescriptors = 320
	// Number of connections of BodiesStall, more than an entry may have.
	stallConnections = 80
	// Length of a body that stalls, and how much of it is sent.
	stallBytes = 1000
	stallSent  = 900
)

// stallBodies holds connections with incomplete bodies open until wait returns.
func stallBodies(address string, wait func()) {
	for number := range stallConnections {
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			continue // the entry may be away
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST /read/stalled HTTP/1.1\r\nHost: %s\r\n%s: stalled-%d\r\nAuthorization: Token stable-key\r\n"+
			"Content-Length: %d\r\n\r\n%0*d", routeHost, standin.HeaderRequestID, number, stallBytes, stallSent, 0)
	}
	wait()
}
