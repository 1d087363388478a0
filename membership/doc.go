// Package membership decides by rendezvous hashing which of the configured
// targets or live entries owns a key, which targets an entry works with and
// which agents watch the configuration source. There is no election: every
// process computes the same answer from the same list.
package membership
