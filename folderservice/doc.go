// Package folderservice reads a configuration folder that the platform publishes
// over HTTP: the files of a revision, a long-polling watch for the next one, and
// the list of live and leaving VMs, which lags behind their actual state.
package folderservice
