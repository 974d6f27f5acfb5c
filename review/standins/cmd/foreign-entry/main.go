// Command foreign-entry plays the case of an entry from another writer, with fields
// missing, under the key of a runner that is draining.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/site"
)

const (
	requests = 400
	interval = time.Second / 44
	deadline = 1500 * time.Millisecond
	// The runner reports that it is draining, serves on for DrainMs and a little longer,
	// and exits.
	drainsAt   = 2 * time.Second
	exitsAfter = 3400 * time.Millisecond
	// The foreign entry is written once, after DrainMs.
	foreignAfter = 2500 * time.Millisecond
	// slack is added to DrainMs for what is on its way.
	slack = 200 * time.Millisecond
	// work is the time of a request.
	work = 150 * time.Millisecond
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
		leaving := runners[0]
		var acknowledged time.Time
		var operator sync.WaitGroup
		operator.Go(func() {
			time.Sleep(drainsAt)
			leaving.Register("draining")
			acknowledged = time.Now()
			s.Note("the store has acknowledged that %s is draining", leaving.ID)
			// It writes its entry again each HeartbeatMs.
			exit := time.After(exitsAfter)
			foreign := time.After(foreignAfter)
			beat := time.NewTicker(site.HeartbeatMs * time.Millisecond)
			defer beat.Stop()
			for {
				select {
				case <-beat.C:
					leaving.Register("draining")
				case <-foreign:
					if !s.Trouble {
						continue
					}
					s.Note("another writer writes an entry under the key of %s, without Version, Sequence, ColdRemainingMs and born", leaving.ID)
					s.Store.Put("servers/"+leaving.ID, map[string]any{
						"Service": leaving.Service, "Address": leaving.Address, "Zone": leaving.Zone, "Slots": 6, "State": "ready",
					})
				case <-exit:
					leaving.Exit()
					return
				}
			}
		})
		calls := s.Traffic(requests, interval, "POST", "/puxa403/2f", deadline, "deposit")
		operator.Wait()
		late, last, served := 0, time.Duration(0), 0
		for _, run := range leaving.Runs() {
			if after := run.At.Sub(acknowledged); after > site.DrainMs*time.Millisecond+slack {
				late++
				last = max(last, after)
				s.Note("%s reached %s %d ms after the acknowledgement", run.ID, leaving.ID, after.Milliseconds())
			}
		}
		lost := 0
		for _, c := range calls {
			if c.Got.Status == 200 {
				served++
			} else if len(leaving.RunsOf(c.ID)) > 0 {
				lost++
			}
		}
		s.Note("%d requests, %d served, %d reached the draining runner later than DrainMs, the last one after %d ms; %d that it had begun were lost",
			requests, served, late, last.Milliseconds(), lost)
		switch {
		case late > 0:
			return site.Violation{Text: fmt.Sprintf("DRAIN: %d requests reached the draining runner, the last one %d ms after the acknowledgement; %d that it had begun were lost", late, last.Milliseconds(), lost)}
		case served < requests/2:
			return fmt.Errorf("only %d of %d requests were served", served, requests)
		}
		return nil
	})
}
