// Package folder reads a configuration from a folder of small TOML files. They
// are merged in the order of their names; a later file overrides single fields
// of an earlier one. A section, such as accounts, holds entities by name; the
// section limits holds its fields directly.
package folder
