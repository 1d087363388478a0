// Package folderservice is a client of the platform's configuration service,
// which publishes a configuration folder over HTTP. It waits for a revision other
// than the known one by long polling, reads the files of that revision, and reads
// the list of live and leaving VMs, which lags behind their actual state.
package folderservice
