// Package lovageshift holds the domain types of the request scheduler: IDs and
// units, the entities of the configuration with their defaults and validation, and
// the outcomes and refusals of requests.
package lovageshift
