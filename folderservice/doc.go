// Package folderservice is a client of the platform's configuration service,
// which publishes a configuration folder over HTTP. The client waits by long
// polling for a revision other than the known one and reads the files of that
// revision. It also reads the platform's list of VMs, which says which are live
// and which are leaving, and which lags behind their actual state.
package folderservice
