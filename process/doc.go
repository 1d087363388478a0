// Package process assembles and runs an entry, agent or recorder from its settings. There
// are two kinds of entry: one that sends requests through agents (RunEntry), and
// one on the users' platform that reaches targets without agents (RunGateway).
// The second kind is also called a gateway.
package process
