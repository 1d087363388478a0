// Package wire holds the protobuf messages and drpc services by which the
// system's own processes communicate. They are generated from wire.proto.
package wire
