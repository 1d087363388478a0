// Package process assembles and runs an entry or agent from its settings.
package process
