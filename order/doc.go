// Package order decides which order an agent gives its engine next: to load a
// version of a model with an adapter and to take on a role. Orders are given one
// at a time, each with a fencing number above all earlier ones known to the
// agent, so that the engine can refuse an order that arrives late.
package order
