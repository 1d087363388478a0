// Package revision holds the configuration in force in one process. Its
// revision only rises, and it knows how lately that revision was confirmed as
// the newest.
package revision
