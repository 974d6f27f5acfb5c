// Command connection-header plays the case of a client that names a header of the
// system in its own Connection header.
package main

import (
	"fmt"
	"time"

	"review/site"
)

const requests = 60

func main() {
	site.Run(3, func(s *site.Site) error {
		runners, err := s.AddRunners("order-app", func(int) site.Answerer { return nil })
		if err != nil {
			return err
		}
		s.Configure(7, site.Route{Prefix: "/puxa403/", Kind: "unsafe", Service: "order-app", TimeoutMs: 1500, Attempts: 2})
		if err := s.WaitReady(); err != nil {
			return err
		}
		connection := "Connection: keep-alive"
		if s.Trouble {
			connection = "Connection: keep-alive, Balsamstair-Tenant"
		}
		wrong, ran := 0, 0
		for _, c := range s.Traffic(requests, 30*time.Millisecond, "POST", "/puxa403/2f", 1500*time.Millisecond, "deposit", connection) {
			for _, run := range site.RunsOf(runners, c.ID) {
				ran++
				if got := run.Header.Values("Balsamstair-Tenant"); len(got) != 1 || got[0] != site.Tenant {
					wrong++
				}
			}
		}
		s.Note("%d requests with the key of the tenant %s, %d ran, %d of them with another Balsamstair-Tenant or none", requests, site.Tenant, ran, wrong)
		switch {
		case wrong > 0:
			return site.Violation{Text: fmt.Sprintf("UNASKED: %d of %d requests ran without the name of the key's tenant", wrong, ran)}
		case ran < requests/2:
			return fmt.Errorf("only %d of %d requests ran", ran, requests)
		}
		return nil
	})
}
