// Command stand-2 has the stand-ins of the platform's store, servers and clients, and the cases of the review.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"refused": caseRefused,
	"crash":   caseCrash,
	"drain":   caseDrain,
	"readd":   caseReadd,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(statusNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(one func(*world) (bool, error), recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.end()
	broken, err := one(w)
	switch {
	case err != nil:
		w.record.say("the case could not run: %v", err)
		return statusNotRun
	case broken:
		w.record.say("the rule was broken")
		return statusBroken
	}
	w.record.say("the rule held")
	return statusHeld
}
