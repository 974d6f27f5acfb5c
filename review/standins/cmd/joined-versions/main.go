// Command joined-versions plays the case of processes that are all killed shortly after
// the last runner of a version was replaced.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"review/site"
)

const (
	// The streams are those of gift-card: 70 events, 15 s of deadline.
	streams  = 24
	events   = 70
	interval = 100 * time.Millisecond
	deadline = 15 * time.Second
	// A client repeats "a few times".
	tries = 4
	// overlap is how long the new runner serves beside the old one, servesOn how long
	// that one serves after its entry was removed, killAfter when the processes are
	// killed, and downFor how long they are down.
	overlap   = 300 * time.Millisecond
	servesOn  = 3 * time.Second
	killAfter = 800 * time.Millisecond
	downFor   = 500 * time.Millisecond
	// maxJoined is the number of joined streams that the rule allows.
	maxJoined = 2
)

func main() {
	site.Run(3, func(s *site.Site) error {
		runner := func(id, zone, version string) (*site.Runner, error) {
			return s.AddRunner(id, "stair-llm", zone, version, site.AnswerStream(version, events, interval))
		}
		old, err := runner("i-1", "khomas-a", "v1")
		if err != nil {
			return err
		}
		for id, zone := range map[string]string{"i-2": "khomas-b", "i-3": "khomas-c"} {
			if _, err := runner(id, zone, "v2"); err != nil {
				return err
			}
		}
		s.Configure(7, site.Route{Prefix: "/st/", Kind: "stream", Service: "stair-llm", TimeoutMs: 15000, Attempts: 2, Resumable: true})
		if err := s.WaitReady(); err != nil {
			return err
		}
		var mu sync.Mutex
		joined, whole := 0, 0
		var all sync.WaitGroup
		for n := range streams {
			all.Go(func() {
				got := s.Follow(n, "/st/2f", events, tries, deadline)
				mu.Lock()
				defer mu.Unlock()
				if len(got.Versions) > 1 {
					joined++
					s.Note("client %d has events of the versions %v in one stream", n, got.Versions)
				}
				if got.Last == events {
					whole++
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		if _, err := runner("i-4", "khomas-a", "v2"); err != nil {
			return err
		}
		time.Sleep(overlap)
		old.RemoveEntry()
		time.AfterFunc(servesOn, old.Exit)
		time.Sleep(killAfter)
		if s.Trouble {
			s.Note("all processes are killed")
			for _, i := range s.Instances {
				i.Signal(syscall.SIGKILL)
				<-i.Exited()
			}
			time.Sleep(downFor)
			for _, i := range s.Instances {
				if err := i.Start(); err != nil {
					return err
				}
			}
			s.Note("all processes are started again")
		}
		all.Wait()
		s.Note("%d streams, %d whole, %d with events of two versions", streams, whole, joined)
		switch {
		case joined > maxJoined:
			return site.Violation{Text: fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", joined, streams)}
		case whole == 0:
			return fmt.Errorf("no stream was served")
		}
		return nil
	})
}
