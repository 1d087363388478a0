// Package upstream sends requests to targets over persistent HTTP/1.1
// connections and validates their responses strictly, so that the gateway knows
// whether a request was not sent, was not run, was answered or has an unknown
// outcome.
package upstream
