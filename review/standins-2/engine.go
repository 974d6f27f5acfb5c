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

// Streams of an engine: as many events as gift-card has on the site.
const (
	streamEvents  = 70
	eventInterval = 30 * time.Millisecond
)

// engineProcess is a model runner that is a process of its own, so that it can crash.
type engineProcess struct {
	*record
	id, address string
	command     *exec.Cmd
	exited      chan struct{}
	started     time.Time
	// runs is the number of requests that it has begun to run.
	runs atomic.Int64
}

// startEngine starts the process, which writes what it runs to the record.
func startEngine(rec *record, id, address string) (*engineProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{record: rec, id: id, address: address, exited: make(chan struct{}), started: time.Now()}
	e.command = exec.Command(program, "engine", id, address)
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
		"Service": llmName, "Address": e.address, "Zone": zone, "Version": "v1", "Slots": 11, "State": "ready",
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

// serveEngine is the process of an engine. Its answers have no length and end with their
// connections. It is sound: it ends a connection only after the last event.
func serveEngine(id, address string) error {
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
		go serveStream(conn, id)
	}
}

func serveStream(conn net.Conn, runner string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Balsamstair-Attempt-Id")
	if expected := r.Header.Get("Balsamstair-Expect-Instance"); expected != "" && expected != runner {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id, runner)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Printf("runs %s from event %d\n", id, last+1)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
	for n := last + 1; err == nil && n <= streamEvents; n++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", n, n)
		time.Sleep(eventInterval)
	}
	if err == nil {
		fmt.Printf("has sent the last event of %s\n", id)
	}
}
