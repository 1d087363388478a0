// Package quarantine keeps the fingerprints of requests that were running when
// their target crashed (suspects). When a suspect is sent again, Check says that
// it may run only while no other request runs at the same target or, from a set
// number of crashes on, that it must be refused, which bounds the number of
// targets it crashes. The package only decides: the caller of Check must run the
// request alone, or refuse it.
package quarantine
