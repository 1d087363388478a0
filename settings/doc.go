// Package settings reads the settings of an entry or agent from a TOML file,
// applies defaults and validates every value.
package settings
