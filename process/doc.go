// Package process turns settings into a running entry or agent.
package process
