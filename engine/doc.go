// Package engine is the HTTP client that an agent uses to reach its target's
// back end: a model engine or a plain service.
package engine
