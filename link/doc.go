// Package link connects the system's own processes: authenticated dialling,
// pooled drpc connections and the accepting side.
package link
