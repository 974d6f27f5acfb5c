package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["changed-grace"] = changedGrace }

const (
	// graceBefore is GraceS in the settings with which the machines start, graceAfter the
	// one that the platform puts into the settings file before it stops a machine.
	graceBefore = 4
	graceAfter  = 8
	// longEvents and longGap are those of a stream that lasts six seconds.
	longEvents = 60
	longGap    = 100 * time.Millisecond
)

// changedGrace changes GraceS in the settings file of a machine, tells it by SIGHUP, and
// stops it some seconds later while streams run that end well within the new time. Without
// the disruption the machine starts with the new time and is stopped in the same way.
func changedGrace(s *site, trouble bool) (int, error) {
	const service = "huvo11a"
	for n := range 3 {
		_, err := s.addRunner(n, service, "v1", 11, func(w http.ResponseWriter, q *http.Request) {
			from := 1
			if after, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
				from = after + 1
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for k := from; k <= longEvents; k++ {
				time.Sleep(longGap)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k, k); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		})
		if err != nil {
			return 0, err
		}
	}
	routes := []route{{
		Name: "r-1", Host: host, Prefix: "/lohu930/", RouteKind: "stream", TimeoutMs: 15000, TargetLatencyMs: 1500, Priority: 2,
		Service: service, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 400,
	}}
	const apiKey = "i9n73hh2b9wu3fexd9dn"
	s.store.put("op/config", config(7, routes, []string{service}, []tenant{{Name: "hule930", ApiKeys: []string{apiKey}}}))
	s.graceS = graceAfter
	if trouble {
		s.graceS = graceBefore
	}
	if err := s.addMachines(3); err != nil {
		return 0, err
	}
	if err := s.startAll(); err != nil {
		return 0, err
	}
	m := s.machines[0]
	if trouble {
		s.graceS = graceAfter
		if err := s.writeSettings(m); err != nil {
			return 0, err
		}
		s.record.line("the settings file of %s now has GraceS %d, SIGHUP", m.name, graceAfter)
		m.signal(syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	broken := 0
	var clients sync.WaitGroup
	var stopped time.Time
	for range 10 {
		clients.Go(func() {
			c := call{id: nextAttempt(), method: "POST", path: "/lohu930/2f", key: apiKey, deadline: 15 * time.Second, at: m.frontend,
				header: http.Header{"Balsamstair-Model": {"m"}, "Balsamstair-Token-Usage": {"543,240"}}, body: bytes.Repeat([]byte("p"), 1400)}
			s.record.line("client: %s is sent to %s", c.id, m.name)
			r := send(newClient(), c)
			at := time.Now()
			ids := eventIDs(r.body)
			mu.Lock()
			defer mu.Unlock()
			last := 0
			if len(ids) > 0 {
				last = ids[len(ids)-1]
			}
			if !r.whole {
				broken++
			}
			s.record.line("client: %s to %s: %s, last piece %d of %d, %d ms after SIGTERM", c.id, m.name, r.text(), last, longEvents, at.Sub(stopped).Milliseconds())
		})
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	s.record.line("%s gets SIGTERM, and SIGKILL %d s later", m.name, graceAfter)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
		s.record.line("%s has ended %d ms after SIGTERM", m.name, time.Since(stopped).Milliseconds())
	case <-time.After(graceAfter * time.Second):
		m.signal(syscall.SIGKILL)
	}
	clients.Wait()
	s.record.line("%d of 10 streams ended without a complete answer", broken)
	return broken, nil
}
