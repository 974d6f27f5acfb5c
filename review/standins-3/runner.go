package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	attemptID = "Balsamstair-Attempt-Id"
	stamp     = "Balsamstair-Server-Stamp"
	expected  = "Balsamstair-Expect-Instance"
	notRun    = "Balsamstair-Not-Executed"
	key       = "Balsamstair-Key"
	deadline  = "Balsamstair-Deadline-Ms"
)

// entry is what a runner writes of itself to the store.
type entry struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs float64
	Sequence        int
	Born            int64 `json:"born"`
}

// runner is a sound runner: it serves requests that are for it and writes its entry.
type runner struct {
	site    *site
	id      string
	address string
	// answer serves a request that has begun to run.
	answer func(w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	entry entry
}

// addRunner starts a runner of a service on its own address.
func (s *site) addRunner(n int, service, version string, slots int, answer func(http.ResponseWriter, *http.Request)) (*runner, error) {
	l, err := net.Listen("tcp", s.ip(100+n)+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		site: s, id: fmt.Sprintf("i-%s-%d", service, n), address: l.Addr().String(), answer: answer,
	}
	r.entry = entry{Service: service, Address: r.address, Zone: zone, Version: version, Slots: slots, State: "ready", Born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, r) }()
	r.beat()
	go r.heartbeats()
	return r, nil
}

// beat writes the entry, unless the runner is cut off from the store.
func (r *runner) beat() {
	if r.site.store.isCut() {
		return
	}
	r.mu.Lock()
	r.entry.Sequence++
	e := r.entry
	r.mu.Unlock()
	r.site.store.put("servers/"+r.id, e)
}

func (r *runner) heartbeats() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for range tick.C {
		r.beat()
	}
}

// ServeHTTP serves requests of any path.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptID)
	if id != "" {
		w.Header().Set(attemptID, id)
	}
	if want := q.Header.Get(expected); want != r.id && want != "" {
		w.Header().Set("Balsamstair-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(notRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.site.record.line("runner %s runs %s: %s %s, %d bytes, after event %q", r.id, id, q.Method, q.URL.RequestURI(), len(body), q.Header.Get("Last-Event-Id"))
	w.Header().Set(stamp, "stamp."+r.id+"."+id)
	r.answer(w, q)
}
