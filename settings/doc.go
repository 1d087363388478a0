// Package settings reads a process's own settings from a TOML file, with
// defaults, and checks every value.
package settings
