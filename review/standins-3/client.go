package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

func nextAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.Add(1)) }

// call is one attempt of a client.
type call struct {
	id, method, path, key string
	body                  []byte
	header                http.Header
	deadline              time.Duration
	// at is the frontend.
	at string
}

// result is what the client got.
type result struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer was complete by the rules of HTTP.
	whole bool
	err   error
	took  time.Duration
}

// newClient returns a client that keeps connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// send sends an attempt once and reads the answer.
func send(client *http.Client, c call) result {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.at+c.path, bytes.NewReader(c.body))
	if err != nil {
		return result{err: err}
	}
	// The transport does not send it again.
	q.GetBody = nil
	if len(c.body) == 0 {
		q.Body, q.ContentLength = nil, 0
	}
	q.Host = host
	for name, values := range c.header {
		q.Header[name] = values
	}
	q.Header.Set(attemptID, c.id)
	q.Header.Set(deadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		q.Header.Set(key, c.key)
	}
	answer, err := client.Do(q)
	if err != nil {
		return result{err: err, took: time.Since(begun)}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return result{answer.StatusCode, answer.Header, body, err == nil, err, time.Since(begun)}
}

// text describes a result in the record.
func (r result) text() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, whole %v, after %d ms", r.status, r.header.Get(stamp), len(r.body), r.whole, r.took.Milliseconds())
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
