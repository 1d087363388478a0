// Package memory limits the memory and the connections that callers can make a process hold. Budget decides which bytes may be
// held; it uses no network and reads no clock. BodyReader reads a request's body within a budget, and Listener limits the
// connections.
package memory
