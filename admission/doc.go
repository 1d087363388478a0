// Package admission decides what an agent lets its target run: the waiting
// room by tier and client account, the cold-start limit, and the window that
// refuses dispatches seen before, sent too long ago or by an older incarnation.
//
// The types do no I/O and start no goroutine; callers hold a lock and pass the
// time.
package admission
