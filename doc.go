// Package lovageshift holds the domain types of the request scheduler: IDs and
// units, the configuration's entities with their defaults and validation, and
// the outcome of a request.
package lovageshift
