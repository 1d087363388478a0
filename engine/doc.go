// Package engine speaks to what stands behind a target, a model engine or a
// plain service, over HTTP.
package engine
