// Package revision holds the configuration in force in one process. Only a
// configuration of a higher revision replaces the one in force. The package also
// tracks how recently the revision in force was confirmed as the newest.
package revision
