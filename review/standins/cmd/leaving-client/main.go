// Command leaving-client plays the case of clients that leave while their requests wait
// for a free place at a runner.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/site"
)

const (
	// The service is busy in both plays: 100 requests a second of 250 ms each want 25
	// places, its three runners have six each.
	requests = 900
	interval = 10 * time.Millisecond
	work     = 250 * time.Millisecond
	deadline = 1500 * time.Millisecond
	// The dose of the pages' give_up: for 5.5 s a fifth of the clients leave within half
	// of the objective, which is 300 ms.
	faultBegins = 2 * time.Second
	faultTime   = 5500 * time.Millisecond
	leavesOf    = 5
	patience    = 30 * time.Millisecond
)

func main() {
	site.Run(3, func(s *site.Site) error {
		runners, err := s.AddRunners("order-app", func(int) site.Answerer { return site.AnswerAfter(work) })
		if err != nil {
			return err
		}
		s.Configure(7, site.Route{Prefix: "/puxa403/", Kind: "unsafe", Service: "order-app", TimeoutMs: 1500, Attempts: 2})
		if err := s.WaitReady(); err != nil {
			return err
		}
		var mu sync.Mutex
		left, served, untrue := 0, 0, 0
		begun := time.Now()
		var all sync.WaitGroup
		for n := range requests {
			since := time.Since(begun)
			leaves := s.Trouble && n%leavesOf == 0 && since >= faultBegins && since < faultBegins+faultTime
			all.Go(func() {
				id := fmt.Sprintf("9c41d07b%08x", n)
				got, err := call(s, s.Instances[n%len(s.Instances)], id, leaves)
				mu.Lock()
				defer mu.Unlock()
				success := err == nil && got.Status/100 == 2
				signed := success && got.Header.Get("Balsamstair-Server-Stamp") == site.Stamp(id)
				if leaves {
					left++
				}
				switch {
				case signed:
					served++
				case success:
					untrue++
					s.Note("%s got a success without a signature; it ran %d times", id, len(site.RunsOf(runners, id)))
				}
			})
			time.Sleep(interval)
		}
		all.Wait()
		s.Note("%d requests, %d served, %d clients left, %d got a success without the runner's signature", requests, served, left, untrue)
		switch {
		case untrue > 0:
			return site.Violation{Text: fmt.Sprintf("MIXED: %d of %d clients that left got a success that no runner had given", untrue, left)}
		case served < requests/4:
			return fmt.Errorf("only %d of %d requests were served", served, requests)
		}
		return nil
	})
}

// call sends one request on a new connection. A client that leaves does so after its
// patience, and reads what still comes.
func call(s *site.Site, i *site.Instance, id string, leaves bool) (site.Got, error) {
	c, err := site.Connect(i)
	if err != nil {
		return site.Got{}, err
	}
	defer c.Close()
	s.Note("client sends %s POST /puxa403/2f to %s", id, i.Name)
	if err := c.Send(site.Request("POST", "/puxa403/2f", id, deadline, "deposit")); err != nil {
		return site.Got{}, err
	}
	if leaves {
		time.Sleep(patience)
		if err := c.Leave(); err != nil {
			return site.Got{}, err
		}
		s.Note("client of %s leaves", id)
	}
	got := c.Receive("POST", deadline+time.Second)
	s.Note("client gets for %s: %s", id, got)
	return got, nil
}
