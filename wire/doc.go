// Package wire holds the messages and services by which the system's own
// processes communicate, generated from wire.proto.
package wire
