// Package entry is the process on an entry VM. It authenticates callers,
// charges client accounts, picks targets, dispatches through their agents and
// streams the answers back.
package entry
