// Command review-3 runs one case of the review: it starts the project's processes and the
// stand-ins, disturbs them, and checks one rule by what clients and runners saw.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// caseFunc runs a case and returns the number of times that the rule was broken. trouble is
// not set if the disruption is left out.
type caseFunc func(s *site, trouble bool) (broken int, err error)

// cases holds the cases by name.
var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		return exitSetup
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitSetup)
	})
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	case broken > 0:
		s.record.line("the rule was broken %d times", broken)
		fmt.Printf("broken %d times\n", broken)
		return exitBroken
	}
	s.record.line("the rule held")
	fmt.Println("held")
	return exitHeld
}
