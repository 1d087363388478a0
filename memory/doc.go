// Package memory limits the memory that callers can make a process hold. Budget decides which bytes may be held; it uses no network
// and reads no clock. Budget.ReadBody reads a request's body within it. Machine decides how
// large the limits are by default; ThisMachine reads what the machine has.
package memory
