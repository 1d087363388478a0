// Package try runs a complete fleet on loopback in one process.
//
// Run starts an entry, agents, stand-in engines of two speeds and stand-in plain
// services, configured by a sample folder that is watched for edits. RunPlatform
// starts entries that reach stand-in targets without agents, with a stand-in for
// the platform's metadata store (see package platform).
package try
