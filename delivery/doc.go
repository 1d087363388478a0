// Package delivery writes answers to callers so that a caller can tell whether it
// has all of an answer, whoever ends the connection: the entry itself, its process
// being killed, or a panic. An orderly end of the connection proves nothing, since
// the kernel closes the connections of a killed process in the same way.
package delivery
