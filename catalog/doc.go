// Package catalog defines what an entry reads from the platform's store: the
// catalog, which holds the operator's routes, services and client accounts with
// their keys; the targets, as they registered themselves; and the availability
// zones that the operator took out of service. It does no I/O.
package catalog
