// Package settings reads the settings of an entry or agent from a TOML file,
// applies defaults and validates the values. Settings, such as the addresses and
// the certificate, belong to one process. The configuration, which the process
// reads later from a folder or service (see Source), belongs to the whole fleet.
package settings
