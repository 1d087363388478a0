// Package quarantine keeps the fingerprints of requests that were running when
// their target crashed. When such a request is sent again, Check says that it
// may run only alone at its target or, from a set number of crashes on, that it
// must be refused, which bounds the number of targets it crashes. The caller of
// Check has to see to both.
package quarantine
