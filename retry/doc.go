// Package retry is the one place that decides whether a request is tried again.
package retry
