// Package revision holds the configuration in force in one process. It replaces
// it only by one of a higher revision, and tracks how recently the revision in
// force was confirmed as the newest.
package revision
