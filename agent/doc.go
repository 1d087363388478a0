// Package agent is the process beside a target. It alone gives the target
// work, and decides what must be serial for it: admission, the cold-start
// limit, the record of calls that run at most once, orders, and the shares of
// client accounts' grants that it keeps.
package agent
