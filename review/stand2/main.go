// Command stand2 plays one case of the review: it starts the project's programs as processes on loopback, with stand-ins
// around them, and checks one rule against what callers and replicas saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is what a case is given.
type play struct {
	bed     *bed
	record  *record
	trouble bool // play the disruption
}

// cases holds the function of each case, by its name. It reports whether the rule held.
var cases = map[string]func(*play) (bool, error){
	"hostile": playHostile,
	"limit":   playLimit,
	"fatal":   playFatal,
	"same":    playSame,
	"counts":  playCounts,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/lovageshift", "path of the program under test")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	held, err := playCase(*name, *program, *keep, log)
	switch {
	case err != nil:
		log.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case held:
		log.note("the rule held")
		fmt.Println("held")
		return exitHeld
	default:
		log.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
}

// playCase plays the case in a new installation, and ends that.
func playCase(name, program string, keep bool, log *record) (bool, error) {
	function := cases[name]
	if function == nil {
		return false, fmt.Errorf("no case %q", name)
	}
	absolute, err := filepath.Abs(program)
	if err != nil {
		return false, err
	}
	if _, err := os.Stat(absolute); err != nil {
		return false, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if keep {
		fmt.Println("folder:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	b, err := newBed(absolute, folder, log)
	if err != nil {
		return false, err
	}
	defer b.close()
	return function(&play{bed: b, record: log, trouble: os.Getenv("TROUBLE") != "0"})
}
