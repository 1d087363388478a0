// Package membership decides by rendezvous hashing which of the configured
// targets or live entries owns a key, to which targets' agents an entry keeps links
// and which agents watch the configuration source. There is no election: all
// processes that have the same list of targets or entries compute the same answer.
package membership
