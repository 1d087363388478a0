// Package revision holds the configuration in force in one process. Its
// revision only rises, and the package tracks how recently that revision was
// confirmed as the newest.
package revision
