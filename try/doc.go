// Package try runs a complete fleet on loopback in one process: an entry,
// agents, stand-in engines of two speeds and plain services, configured by a
// sample folder that is watched for edits. RunPlatform does the same with
// entries and stand-in targets of the users' platform.
package try
