// Package folder reads a configuration from small TOML files that merge in the
// order of their names, with a later file winning per field.
package folder
