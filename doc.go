// Package lovageshift holds the domain types of the request scheduler: ids and
// units, the configuration's aggregates with their defaults and validation, and
// the outcome of a request.
package lovageshift
