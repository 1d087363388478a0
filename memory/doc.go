// Package memory limits the memory and the connections that callers can make a process hold. Budget decides which bytes may be
// held; it uses no network and reads no clock. Budget.ReadBody reads a request's body within it, and Listener limits the
// connections.
package memory
