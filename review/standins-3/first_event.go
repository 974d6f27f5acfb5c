package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["first-event"] = firstEvent }

// Parameters of the streams.
const (
	streamEvents = 5
	eventGap     = 350 * time.Millisecond
	// crashes is the number of crashes, one runner of four at a time.
	crashes = 8
)

// firstEvent crashes runners whose streams have just begun. Their events have the ids 0, 1, 2
// and so on.
func firstEvent(s *site, trouble bool) (int, error) {
	const service = "huvo11a"
	var runners []*runner
	for n := range 4 {
		var r *runner
		r, err := s.addRunner(n, service, "v1", 11, func(w http.ResponseWriter, q *http.Request) {
			from := 0
			if after, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
				from = after + 1
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for k := from; k < streamEvents; k++ {
				time.Sleep(eventGap)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k, k); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		})
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	routes := []route{{
		Name: "r-1", Host: host, Prefix: "/lohu930/", RouteKind: "stream", TimeoutMs: 6000, TargetLatencyMs: 600, Service: service,
		MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 400,
	}}
	const apiKey = "i9n73hh2b9wu3fexd9dn"
	s.store.put("op/config", config(7, routes, []string{service}, []tenant{{Name: "hule930", ApiKeys: []string{apiKey}}}))
	if err := s.addMachines(3); err != nil {
		return 0, err
	}
	if err := s.startAll(); err != nil {
		return 0, err
	}
	if trouble {
		go func() {
			for n := range crashes {
				time.Sleep(3 * time.Second)
				if err := runners[n%len(runners)].crash(2 * time.Second); err != nil {
					s.record.line("runner did not restart: %v", err)
				}
			}
		}()
	}
	var mu sync.Mutex
	broken, total, whole := 0, 0, 0
	var clients sync.WaitGroup
	for n := range 30 {
		clients.Go(func() {
			client := newClient()
			pause := rand.New(rand.NewPCG(uint64(n), 3))
			for end := time.Now().Add(crashes * 5 * time.Second); time.Now().Before(end); {
				time.Sleep(time.Duration(pause.IntN(1000)) * time.Millisecond)
				c := call{id: nextAttempt(), method: "POST", path: "/lohu930/2f", key: apiKey, deadline: 6 * time.Second, at: s.machines[n%3].frontend,
					header: http.Header{"Balsamstair-Model": {"m"}, "Balsamstair-Token-Usage": {"600,32"}}, body: bytes.Repeat([]byte("p"), 1400)}
				r := send(client, c)
				ids := eventIDs(r.body)
				twice := hasTwice(ids)
				mu.Lock()
				total++
				if r.status == 200 && twice {
					broken++
				}
				if r.status == 200 && r.whole {
					whole++
				}
				mu.Unlock()
				note := ""
				if twice {
					note = ", a piece came twice"
				}
				s.record.line("client: %s to %s: %s, pieces %v%s", c.id, s.machines[n%3].name, r.text(), ids, note)
			}
		})
	}
	clients.Wait()
	s.record.line("%d streams, %d complete, %d with a piece that came twice", total, whole, broken)
	return broken, nil
}

// eventIDs returns the ids of the events of a stream.
func eventIDs(body []byte) []int {
	ids := []int{}
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id, _ := strconv.Atoi(value)
			ids = append(ids, id)
		}
	}
	return ids
}

func hasTwice(ids []int) bool {
	seen := map[int]bool{}
	for _, id := range ids {
		if seen[id] {
			return true
		}
		seen[id] = true
	}
	return false
}
