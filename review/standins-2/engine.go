package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// numbering is how an engine frames and numbers the events of a stream. The ids increase
// in all of them.
type numbering struct {
	events      int
	first, step int
	interval    time.Duration
	// endsWithConnection is set if the answers have no length; otherwise they are sent
	// in chunks.
	endsWithConnection bool
}

// numberings are those of the cases by name. unframed has as many events as gift-card on
// the site.
var numberings = map[string]numbering{
	"unframed": {events: 70, first: 1, step: 1, interval: 30 * time.Millisecond, endsWithConnection: true},
	"from-one": {events: 12, first: 1, step: 1, interval: 30 * time.Millisecond},
	// An event holds four tokens; its id is the number of tokens so far.
	"by-tokens": {events: 12, first: 4, step: 4, interval: 30 * time.Millisecond},
}

// id returns the id of the event with an index.
func (n numbering) id(index int) int { return n.first + index*n.step }

// after returns the index of the event that follows the one with a Last-Event-Id; of the
// first one without.
func (n numbering) after(header string) int {
	last, err := strconv.Atoi(header)
	if err != nil || last < n.first {
		return 0
	}
	return (last-n.first)/n.step + 1
}

// engineProcess is a model runner that is a process of its own, so that it can crash.
type engineProcess struct {
	*record
	id, address string
	numbering   string
	version     string
	state       string
	command     *exec.Cmd
	exited      chan struct{}
	started     time.Time
	// runs is the number of requests that it has begun to run.
	runs atomic.Int64
}

// startEngine starts the process, which writes what it runs to the record.
func startEngine(rec *record, id, address, numbering string) (*engineProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{record: rec, id: id, address: address, numbering: numbering, version: "v1", state: "ready", exited: make(chan struct{}), started: time.Now()}
	e.command = exec.Command(program, "engine", id, address, numbering)
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := startChild(e.command); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("%s does not start", id)
	}
	rec.log("%s: %s", id, lines.Text())
	go func() {
		for lines.Scan() {
			rec.log("%s: %s", id, lines.Text())
			if strings.HasPrefix(lines.Text(), "runs ") {
				e.runs.Add(1)
			}
		}
		_ = e.command.Wait()
		close(e.exited)
	}()
	return e, nil
}

func (e *engineProcess) kill() {
	_ = e.command.Process.Kill()
	<-e.exited
}

// register writes the entry to the store.
func (e *engineProcess) register(s *store, sequence int) {
	s.put("servers/"+e.id, map[string]any{
		"Service": llmName, "Address": e.address, "Zone": zone, "Version": e.version, "Slots": 11, "State": e.state,
		"ColdRemainingMs": 0, "Sequence": sequence, "born": e.started.UnixMilli(),
	})
}

// freeAddress returns a loopback address that is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// serveEngine is the process of an engine. It is sound: it ends an answer only after the
// last event.
func serveEngine(id, address string, n numbering) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listens at", address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for serveStream(conn, in, id, n) && !n.endsWithConnection {
			}
		}()
	}
}

// serveStream answers one request and reports whether the answer was sent.
func serveStream(conn net.Conn, in *bufio.Reader, runner string, n numbering) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Balsamstair-Attempt-Id")
	if expected := r.Header.Get("Balsamstair-Expect-Instance"); expected != "" && expected != runner {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, runner)
		return err == nil
	}
	next := n.after(r.Header.Get("Last-Event-Id"))
	fmt.Printf("runs %s, Last-Event-Id %q, from event id %d\n", id, r.Header.Get("Last-Event-Id"), n.id(next))
	framing := "Transfer-Encoding: chunked"
	if n.endsWithConnection {
		framing = "Connection: close"
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n", id, id, framing)
	for k := next; err == nil && k < n.events; k++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n.id(k), k)
		if n.endsWithConnection {
			_, err = io.WriteString(conn, event)
		} else {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		time.Sleep(n.interval)
	}
	if err == nil && !n.endsWithConnection {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err == nil {
		fmt.Printf("has sent the last event of %s\n", id)
	}
	return err == nil
}
