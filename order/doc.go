// Package order decides which order an agent gives its target next. Orders go
// one at a time, with a fencing number that rises and never repeats.
package order
