package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errNotRun is matched by the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// verdict is the result of a case: the events that break the rule, and how many of these the rule allows.
type verdict struct {
	rule    string
	breaks  []string
	allowed int
}

var cases = map[string]func(*bed) (verdict, error){
	"revoked-key":    runRevokedKey,
	"mixed-version":  runMixedVersion,
	"lone-entry":     runLoneEntry,
	"killed-entry":   runKilledEntry,
	"returned-entry": runReturnedEntry,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case that the arguments name; the second one is the path of the record.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	b, err := newBed(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	result, err := cases[args[0]](b)
	b.close()
	if err != nil {
		b.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, event := range result.breaks {
		b.note("breaks %s: %s", result.rule, event)
	}
	broken := len(result.breaks) > result.allowed
	summary := fmt.Sprintf("%s: %d events against the rule, %d allowed, broken: %v", result.rule, len(result.breaks), result.allowed, broken)
	b.note("%s", summary)
	fmt.Println(summary)
	if broken {
		return exitBroken
	}
	return exitHeld
}
