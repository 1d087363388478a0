// Package quarantine finds requests that crash targets, and parts of prompts
// that do.
//
// A Register keeps the fingerprints of requests that were running when their
// target crashed (suspects). When a suspect is sent again, Check says that it
// may run only while no other request runs at the same target or, from a set
// number of crashes on, that it must be refused, which bounds the number of
// targets it crashes.
//
// A PartRegister does the same for prompts that differ but for one part. It
// compares the parts of the prompts that crashed targets had just begun to
// answer with the answers given since.
//
// The package only decides: its callers run a request alone, or refuse it.
package quarantine
