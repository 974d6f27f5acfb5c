package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["changed-revocation"] = changedRevocation }

const (
	// revokeBefore is RevokeMs in the settings with which the machines start, revokeAfter the
	// one that the platform puts into the settings files later.
	revokeBefore = 5000
	revokeAfter  = 2000
)

// changedRevocation lowers RevokeMs in the settings files, tells one of three machines by
// SIGHUP, and takes a key away while their zone is cut off from the store. Without the disruption the machines
// start with the lower bound.
func changedRevocation(s *site, trouble bool) (int, error) {
	const service = "huvo11a"
	for n := range 3 {
		_, err := s.addRunner(n, service, "v1", 6, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		})
		if err != nil {
			return 0, err
		}
	}
	routes := []route{{Name: "r-1", Host: host, Prefix: "/puxa403/", RouteKind: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Service: service, MaxAttempts: 2}}
	const withdrawn, kept = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"
	write := func(version int, keys ...string) {
		s.store.put("op/config", config(version, routes, []string{service}, []tenant{{Name: "hule930", ApiKeys: keys}}))
	}
	write(7, withdrawn, kept)
	s.revokeMs = revokeAfter
	if trouble {
		s.revokeMs = revokeBefore
	}
	if err := s.addMachines(3); err != nil {
		return 0, err
	}
	if err := s.startAll(); err != nil {
		return 0, err
	}
	if trouble {
		s.revokeMs = revokeAfter
		for _, m := range s.machines {
			if err := s.writeSettings(m); err != nil {
				return 0, err
			}
			s.record.line("the settings file of %s now has RevokeMs %d", m.name, revokeAfter)
		}
		s.record.line("%s gets SIGHUP", s.machines[0].name)
		s.machines[0].signal(syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)
	s.store.cutOff()
	s.record.line("the zone is cut off from the store")
	write(9, kept)
	acknowledged := time.Now()
	s.record.line("version 9, without the key %s, is acknowledged", withdrawn)

	var mu sync.Mutex
	broken, total := 0, 0
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			client := newClient()
			for time.Since(acknowledged) < 5*time.Second {
				c := call{id: nextAttempt(), method: "POST", path: "/puxa403/2f", key: withdrawn, body: []byte(strings.Repeat("b", 600)), deadline: 1500 * time.Millisecond, at: s.machines[n%3].frontend}
				sent := time.Since(acknowledged)
				r := send(client, c)
				late := sent > revokeAfter*time.Millisecond && r.header.Get(stamp) != ""
				mu.Lock()
				total++
				if late {
					broken++
				}
				mu.Unlock()
				note := ""
				if late {
					note = ", run with the withdrawn key"
				}
				s.record.line("client: %s to %s, sent %d ms after the acknowledgement: %s%s", c.id, s.machines[n%3].name, sent.Milliseconds(), r.text(), note)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.store.reconnect()
	s.record.line("%d requests, %d sent later than RevokeMs and run", total, broken)
	return broken, nil
}
