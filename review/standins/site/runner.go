package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Runner is a runner of a service. It serves one request at a time on a connection and
// echoes the ID of each in its answer.
type Runner struct {
	ID, Service, Zone, Address string
	// Version is that of its software.
	Version string
	// Born is the start of its process as it says itself, in Unix milliseconds.
	Born int64
	// Answer answers a request that the runner runs. Nil stands for a 200 after 60 ms.
	Answer Answerer

	site     *Site
	listener net.Listener
	mu       sync.Mutex
	runs     []Ran
	conns    []net.Conn
}

// Answerer answers a request that a runner runs.
type Answerer func(c net.Conn, r *http.Request)

// Ran is a request that a runner has begun to work on.
type Ran struct {
	ID     string
	Header http.Header
	At     time.Time
}

// AddRunner starts a runner and writes its entry to the store.
func (s *Site) AddRunner(id, service, zone, version string, answer Answerer) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Zone: zone, Version: version, Address: l.Addr().String(), Born: time.Now().UnixMilli(), Answer: answer, site: s, listener: l}
	go r.serve(l)
	r.Register("ready")
	return r, nil
}

// Register writes the runner's entry in a state.
func (r *Runner) Register(state string) {
	r.site.Note("runner %s at %s (%s) writes its entry: %s, born %d", r.ID, r.Address, r.Version, state, r.Born)
	r.site.Store.Put("servers/"+r.ID, map[string]any{
		"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": r.Version, "Slots": 6, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "born": r.Born,
	})
}

// RemoveEntry removes the runner's entry while it serves on.
func (r *Runner) RemoveEntry() {
	r.site.Store.Delete("servers/" + r.ID)
	r.site.Note("the entry of runner %s is removed, it serves on", r.ID)
}

// Exit ends the runner: its listener, its connections and its entry.
func (r *Runner) Exit() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
	r.site.Store.Delete("servers/" + r.ID)
	r.site.Note("runner %s exits", r.ID)
}

// Runs returns the requests that it ran.
func (r *Runner) Runs() []Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Ran(nil), r.runs...)
}

// RunsOf returns its runs of one request.
func (r *Runner) RunsOf(id string) []Ran {
	var out []Ran
	for _, run := range r.Runs() {
		if run.ID == id {
			out = append(out, run)
		}
	}
	return out
}

func (r *Runner) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *Runner) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Balsamstair-Attempt-Id")
		if expected := request.Header.Get("Balsamstair-Expect-Instance"); expected != "" && expected != r.ID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.ID)
			continue
		}
		r.mu.Lock()
		r.runs = append(r.runs, Ran{ID: id, Header: request.Header, At: time.Now()})
		r.mu.Unlock()
		r.site.Note("runner %s (%s) runs %s %s %s, tenant %q", r.ID, r.Service, id, request.Method, request.RequestURI, strings.Join(request.Header.Values("Balsamstair-Tenant"), ","))
		if r.Answer != nil {
			r.Answer(conn, request)
		} else {
			AnswerAfter(WorkTime)(conn, request)
		}
	}
}

// AnswerAfter returns an Answerer that works for a time and answers with success.
func AnswerAfter(work time.Duration) Answerer {
	return func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Balsamstair-Attempt-Id")
		time.Sleep(work)
		_, _ = io.WriteString(c, Answer(http.StatusOK, id, "answer to "+id))
	}
}

// WorkTime is the usual time of a plain request.
const WorkTime = 60 * time.Millisecond

// Stamp returns the signature of a runner's answer to a request.
func Stamp(id string) string { return "3e1b.07." + id }

// Answer returns a runner's answer with its signature.
func Answer(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Server-Stamp: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, Stamp(id), len(body), body)
}
