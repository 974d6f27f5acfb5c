package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a runner has run.
type run struct {
	id, key, tenant, path string
	at                    time.Time
}

// runner stands in for a sound runner of a plain service.
type runner struct {
	*record
	id, service, address string
	work                 time.Duration
	started              time.Time
	server               *http.Server

	mu   sync.Mutex
	runs []run
	// left is set once the runner renews its entry no more.
	left bool
}

func newRunner(rec *record, id, service string, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{record: rec, id: id, service: service, address: listener.Addr().String(), work: work, started: time.Now()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// register writes the runner's entry to the store and renews it.
func (r *runner) register(s *store) {
	write := func(sequence int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.left {
			return
		}
		s.put("servers/"+r.id, map[string]any{
			"Service": r.service, "Address": r.address, "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": sequence, "born": r.started.UnixMilli(),
		})
	}
	write(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			write(n)
		}
	}()
}

// leave removes the runner's entry, as a runner does that never reports that it drains.
func (r *runner) leave(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	s.remove("servers/" + r.id)
}

// exit ends the runner: its connections are closed.
func (r *runner) exit() { _ = r.server.Close() }

// ran returns the runs of a request.
func (r *runner) ran(id string) (out []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Balsamstair-Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("Balsamstair-Attempt-Id", id)
	if e := q.Header.Get("Balsamstair-Expect-Instance"); e != "" && e != r.id {
		w.Header().Set("Balsamstair-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := run{id, q.Header.Get("Balsamstair-Key"), q.Header.Get("Balsamstair-Tenant"), q.URL.Path, time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.log("runner %s runs request %s (%s %s), tenant %q", r.id, id, q.Method, q.URL.Path, x.tenant)
	time.Sleep(r.work)
	w.Header().Set("Balsamstair-Server-Stamp", "stamp-"+id)
	body := fmt.Sprintf("answer to %s", id)
	_, _ = io.WriteString(w, body)
}
