// Command standins-2 plays the scripted cases of the second review. It starts balsamd as
// the deploy file says, with stand-ins of clients, runners and the platform's store.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"last-tenant": withdrawLastTenant,
	"crash":       crashDuringStreams,
	"left":        leaveDuringCut,
	"copy":        withdrawBeforeCopy,
}

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// children are the processes that a case has started.
var children struct {
	mu  sync.Mutex
	all []*exec.Cmd
}

// startChild starts a process that endChildren ends.
func startChild(c *exec.Cmd) error {
	children.mu.Lock()
	defer children.mu.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	children.all = append(children.all, c)
	return nil
}

// endChildren kills the processes that still run. No other can be started afterwards.
func endChildren() {
	children.mu.Lock()
	for _, c := range children.all {
		_ = c.Process.Kill()
	}
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		fmt.Println(serveEngine(os.Args[2], os.Args[3]))
		os.Exit(exitNotRun)
	}
	ended := make(chan int, 1)
	go func() { ended <- play() }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	code := exitNotRun
	select {
	case code = <-ended:
	case s := <-stopped:
		fmt.Println("stopped by", s)
	case <-time.After(timeLimit):
		fmt.Println("the case takes too long")
	}
	endChildren()
	os.Exit(code)
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER, in the repository root")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
