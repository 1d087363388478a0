// Package settings reads the settings of an entry or agent from a TOML file,
// applies defaults and validates the values. Settings belong to one process, such
// as its addresses and certificate; the configuration, which the process reads
// from its source later, belongs to the whole fleet.
package settings
