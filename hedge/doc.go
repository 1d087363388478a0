// Package hedge decides when a second attempt of a request that may be repeated is
// sent while the first one still runs, and whether there may be one. It uses no
// network and reads no clock; the caller passes the time.
package hedge
