// Package stream decides at which software version of a service's targets a stream may go on. What two versions write does
// not fit together, and a caller may take a stream up through any entry, also one that has just started.
//
// The origin of a stream is the version that sent its first event. The entry that forwards that event records it at a few
// recorders: processes beside targets, which outlive a loss of all entries, or other entries where there are no such
// processes. Whoever takes the stream up asks them, and then all entries, as the one that forwarded the event remembers it. An
// origin is undecided while its target may have started again before. An origin that nobody knows is unknown, unless the
// service had a single version for as long as the stream can have run.
//
// The package does no network I/O and reads no clock. It handles thousands of streams a second, entries and recorders that
// start, stop and are cut off at any moment, and rolling releases.
package stream
