// Package membership decides by rendezvous hashing which process owns a key
// and which targets an entry works with, from the configured targets or the
// live entries. There is no election: every process computes the same answer
// from the same list.
package membership
