// Package wire holds the messages and services between the system's own
// processes, generated from wire.proto.
package wire
