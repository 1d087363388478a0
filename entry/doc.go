// Package entry implements the process that faces callers, one on each entry
// VM. It authenticates callers, charges client accounts, chooses targets,
// dispatches requests through the targets' agents and streams the responses
// back.
package entry
