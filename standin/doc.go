// Package standin is a small stand-in for what the platform brings: a model
// engine that batches continuously and caches prefixes, and a plain service.
// Tests and the try command use it; its faults are switched on by the caller.
package standin
