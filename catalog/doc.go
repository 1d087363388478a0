// Package catalog defines the records that an operator and the targets publish
// in the platform's store: routes, services, client accounts with their keys,
// the targets themselves and the availability zones taken out of service. It
// does no I/O.
package catalog
