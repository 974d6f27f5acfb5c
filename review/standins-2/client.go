package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client has seen of its request.
type result struct {
	status int
	header http.Header
	body   string
	// whole is set if the answer was complete by its framing.
	whole bool
	err   error
}

// stamp is the runner's signature, which is on every answer that a runner made.
func (r result) stamp() string { return r.header.Get("Balsamstair-Server-Stamp") }

// send sends one request on a new connection and reads the answer.
func send(address, method, path, id, key string, deadline time.Duration, headers ...string) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	if key != "" {
		text += "Balsamstair-Key: " + key + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return result{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	return result{answer.StatusCode, answer.Header, string(body), err == nil, err}
}

// brief describes a result in the record.
func (r result) brief() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	text := strings.TrimSpace(r.body)
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return fmt.Sprintf("%d, stamp %q, body whole %v, %q", r.status, r.stamp(), r.whole, text)
}
