// Package order decides which order an agent gives its engine next. Orders are
// given one at a time, each with a fencing number above all earlier ones.
package order
