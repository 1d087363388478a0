// Package order decides which order an agent gives its engine next. An order
// tells the engine which model, adapter and version to load and which role to take
// on. Orders are given one at a time. Each has a fencing number above those of all
// earlier orders that the agent knows of, so that the engine can refuse an order
// that arrives after a later one.
package order
