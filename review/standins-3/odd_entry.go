package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

// oddEntry writes an entry of another writer, none of whose fields is spelled as on the
// users' page. It names a web server of that writer, which is no runner.
func oddEntry(s *site, trouble bool) (int, error) {
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
	routes := []route{
		{Name: "r-1", Host: host, Prefix: "/cufi504/", RouteKind: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Service: service, MaxAttempts: 2},
		{Name: "r-2", Host: host, Prefix: "/puxa403/", RouteKind: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Service: service, MaxAttempts: 2},
	}
	const apiKey = "i9n73hh2b9wu3fexd9dn"
	s.store.put("op/config", config(7, routes, []string{service}, []tenant{{Name: "hule930", ApiKeys: []string{apiKey}}}))
	if err := s.addMachines(3); err != nil {
		return 0, err
	}
	if err := s.startAll(); err != nil {
		return 0, err
	}
	if trouble {
		l, err := net.Listen("tcp", s.ip(150)+":0")
		if err != nil {
			return 0, err
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				s.record.line("the other writer's web server gets %s %s of %s, %d bytes", r.Method, r.URL.Path, r.Header.Get(attemptID), len(body))
				_, _ = io.WriteString(w, "it works\n")
			}))
		}()
		value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"2.4","slots":6,"state":"ready","sequence":1}`, service, l.Addr().String(), zone)
		s.store.put("servers/web-1", []byte(value))
		s.record.line("another writer writes servers/web-1: %s", value)
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	broken, total := 0, 0
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			client := newClient()
			for k := range 40 {
				c := call{id: nextAttempt(), method: "GET", path: "/cufi504/fi50/2f", key: apiKey, deadline: 1500 * time.Millisecond, at: s.machines[n%3].frontend}
				if k%2 == 1 {
					c.method, c.path, c.body = "POST", "/puxa403/2f", []byte(strings.Repeat("b", 600))
				}
				r := send(client, c)
				mu.Lock()
				total++
				if r.status >= 200 && r.status < 300 && r.header.Get(stamp) == "" {
					broken++
				}
				mu.Unlock()
				s.record.line("client: %s %s to %s: %s", c.method, c.id, s.machines[n%3].name, r.text())
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.record.line("%d requests, %d successes without the signature of a runner", total, broken)
	return broken, nil
}
