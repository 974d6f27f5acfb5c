package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request returns the bytes of a client's request with the usual headers and more.
func Request(method, path, id string, deadline time.Duration, body string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBalsamstair-Attempt-Id: %s\r\nBalsamstair-Deadline-Ms: %d\r\nBalsamstair-Key: %s\r\n",
		method, path, Host, id, deadline.Milliseconds(), Key)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// Got is what a client got for a request.
type Got struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if there was no answer, or if it ended early.
	Err error
}

// String returns a description for the record.
func (g Got) String() string {
	if g.Status == 0 {
		return fmt.Sprintf("no answer (%v)", g.Err)
	}
	whole := "whole"
	if g.Err != nil {
		whole = "ended early: " + g.Err.Error()
	}
	return fmt.Sprintf("%d, stamp %q, body %q (%s)", g.Status, g.Header.Get("Balsamstair-Server-Stamp"), shorten(g.Body), whole)
}

func shorten(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

// Client is a client with one kept connection to an instance.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Connect connects a client.
func Connect(i *Instance) (*Client, error) {
	conn, err := Dial(i)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Send writes bytes.
func (c *Client) Send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// Leave ends the client's side of the connection as an orderly close does: it sends
// nothing more, and reads what still comes until the other side has closed too.
func (c *Client) Leave() error { return c.conn.(*net.TCPConn).CloseWrite() }

// Receive reads one answer.
func (c *Client) Receive(method string, within time.Duration) Got {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Got{Err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return Got{Status: answer.StatusCode, Header: answer.Header, Body: string(body), Err: err}
}

// Do sends one request on a new connection and records it and its answer.
func (s *Site) Do(i *Instance, method, path, id string, deadline time.Duration, body string, more ...string) Got {
	c, err := Connect(i)
	if err != nil {
		return Got{Err: err}
	}
	defer c.Close()
	s.Note("client sends %s %s %s to %s %s", id, method, path, i.Name, strings.Join(more, "; "))
	if err := c.Send(Request(method, path, id, deadline, body, more...)); err != nil {
		return Got{Err: err}
	}
	got := c.Receive(method, deadline+time.Second)
	s.Note("client gets for %s: %s", id, got)
	return got
}
