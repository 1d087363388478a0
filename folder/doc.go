// Package folder reads a configuration from a folder of small TOML files. They
// are merged in the order of their names: a field that a later file sets
// overrides the same field of an earlier file, and all other fields stay. A
// section, such as accounts, is a table of named entities, each a table of
// fields. Only the section limits holds its fields directly.
package folder
