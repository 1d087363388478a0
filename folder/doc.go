// Package folder reads a configuration from a set of small TOML files. They are
// merged in the order of their names; a later file overrides single fields of
// an earlier one.
package folder
