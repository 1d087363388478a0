// Package memory limits the memory that callers can make a process hold. Budget decides which bytes may be held; it uses no network
// and reads no clock. Budget.ReadBody reads a request's body within it.
package memory
