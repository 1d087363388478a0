// Package try brings up the whole path in one process on loopback: an entry,
// agents, stand-in engines of two speeds, a plain service, and a sample folder
// that is watched for edits.
package try
