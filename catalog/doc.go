// Package catalog defines what an entry reads from the platform's metadata
// store: the catalog, which holds the operator's routes, services and client
// accounts with their keys; the targets, each from the record that it wrote
// itself; and the availability zones that the operator took out of service. A
// view is a snapshot of all three. The package does no I/O.
package catalog
