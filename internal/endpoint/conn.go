package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/cockroachdb/errors"
)

// HeaderRequestID is the default of Config.RequestIDHeader.
const HeaderRequestID = "X-Request-Id"

var (
	// ErrRequestIDMismatch means that the answer carries the ID of another
	// request. Its body cannot be read.
	ErrRequestIDMismatch = errors.New("answer carries the ID of another request")
	// ErrUnnamedAnswer means that the answer carries no ID, on a connection that has
	// carried another request. It may be an answer to that one.
	ErrUnnamedAnswer = errors.New("answer carries no ID on a connection that was used before")
	// ErrIncomplete means that an answer ended early.
	ErrIncomplete = errors.New("answer is incomplete")
	// ErrCloseDelimited means that only the close of the connection marked the
	// end of the answer, so that a complete answer cannot be distinguished from
	// an incomplete one. It wraps ErrIncomplete.
	ErrCloseDelimited = wrapCause(ErrIncomplete, errors.New("only the close of the connection marked its end"))
	// ErrRequestUnwritten means that the connection ended before the request was
	// written to its end, after a part of the answer.
	ErrRequestUnwritten = errors.New("connection ended before the request was written")
	// ErrInvalidCall means that a Call can't be written as an HTTP/1.1 request.
	ErrInvalidCall = errors.New("call is not a valid request")
	// ErrConnUsed means that Send or Close was called on the Conn before.
	ErrConnUsed = errors.New("connection was already used or closed")
	// ErrConnectionLost means that the endpoint closed the connection before it
	// answered.
	ErrConnectionLost = errors.New("endpoint closed the connection")
	// ErrProtocol means that an answer violates HTTP or the control protocol,
	// or switches to another protocol.
	ErrProtocol = errors.New("answer violates the protocol")
)

// wrapCause returns an error that wraps both kind and cause, also for errors.Is
// of the standard library. It never wraps io.EOF, which stands for a complete
// answer.
func wrapCause(kind, cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", kind, cause)
}

// SendError is the error of Send.
type SendError struct {
	// Sent is false only if no byte of the request can have reached the
	// endpoint.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("request failed after it was sent: %v", e.Err)
	}
	return fmt.Sprintf("request was not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Call is one request to an endpoint.
type Call struct {
	Method string
	// Path begins with a slash and may include a query.
	Path string
	// Host is sent as the Host header; empty means the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	// ID is sent in Config.RequestIDHeader. An answer that carries another ID
	// is rejected.
	ID string
	// Guard, if set, is called once, immediately before the first byte is
	// written to the socket. If it returns false, nothing is written and Send
	// fails with ErrWithheld. It is called from another goroutine and must
	// neither block nor use the Conn.
	Guard func() bool
}

// Answer is the header of an endpoint's answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after an answer that is complete by the rules of
	// HTTP; otherwise it returns an error that wraps ErrIncomplete. The close of the
	// connection ends an answer only after the whole request was written. Closing a
	// body before its end closes the connection.
	Body io.ReadCloser
	// CloseDelimited is set if only the close of the connection marks the end of the
	// body.
	CloseDelimited bool
	// Reused reports whether the connection carried another request before.
	Reused bool
}

// DiscardConn closes the connection without reading the body: that of a refusal, which a
// faulty endpoint may send again on the same connection.
func (a *Answer) DiscardConn() { _ = a.Body.Close() }

// Conn is a connection on which one request can be sent.
type Conn struct {
	client *Client
	pooled *pooledConn
	reused bool
	used   atomic.Bool
}

// Reused reports whether the connection carried another request before.
func (c *Conn) Reused() bool { return c.reused }

// Close returns an unused connection to the pool. After Send it does nothing.
func (c *Conn) Close() {
	if c.used.CompareAndSwap(false, true) {
		c.client.putIdle(c.pooled)
	}
}

// Send writes the request once and returns the header of the answer. The
// context covers the whole exchange, including reading the body. Any error is a
// *SendError.
func (c *Conn) Send(ctx context.Context, call Call) (*Answer, error) {
	if !c.used.CompareAndSwap(false, true) {
		return nil, &SendError{Err: ErrConnUsed}
	}
	request, err := newRequest(ctx, c.pooled.address, c.client.config.RequestIDHeader, call)
	if err != nil {
		c.client.putIdle(c.pooled)
		return nil, &SendError{Err: err}
	}
	if !c.pooled.conn.usable() {
		c.pooled.discard()
		return nil, &SendError{Err: ErrConnectionLost}
	}
	c.pooled.conn.begin(call.Guard, len(call.Body))
	c.pooled.carried = true
	response, err := c.pooled.transport.RoundTrip(request)
	if err != nil {
		sent := c.pooled.abort()
		switch {
		case c.pooled.conn.wasWithheld():
			err = ErrWithheld
		case c.pooled.conn.hasAnswered() && !isConnectionError(err):
			err = wrapCause(ErrProtocol, err)
		}
		return nil, &SendError{Sent: sent, Err: err}
	}
	head := attribution.Head{
		RequestID: call.ID, EchoedIDs: response.Header[c.client.config.RequestIDHeader],
		Reused: c.reused, Peer: c.client.config.Peers,
	}
	if err := checkResponse(response, head); err != nil {
		c.pooled.abort()
		if !errors.Is(err, ErrProtocol) {
			c.client.retire(c.pooled.address)
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	return c.answer(response, attribution.Reusable(head)), nil
}

func checkResponse(response *http.Response, head attribution.Head) error {
	if err := httphead.Check(response); err != nil {
		return wrapCause(ErrProtocol, err)
	}
	if response.StatusCode < http.StatusOK {
		return ErrProtocol
	}
	switch attribution.Attribute(head) {
	case attribution.Foreign:
		return ErrRequestIDMismatch
	case attribution.Unnamed:
		return ErrUnnamedAnswer
	}
	return nil
}

func (c *Conn) answer(response *http.Response, reusable bool) *Answer {
	c.pooled.keepAlive = keepAliveTimeout(response.Header)
	StripHopByHop(response.Header, c.client.config.EndToEnd)
	body := &answerBody{
		client:         c.client,
		pooled:         c.pooled,
		body:           response.Body,
		reusable:       reusable && !response.Close,
		closeDelimited: httphead.CloseDelimited(response) && !c.client.config.AcceptCloseDelimited,
	}
	return &Answer{
		Status:         response.StatusCode,
		Header:         response.Header,
		Body:           body,
		CloseDelimited: httphead.CloseDelimited(response),
		Reused:         c.reused,
	}
}

func newRequest(ctx context.Context, address, idHeader string, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") || call.Method == http.MethodConnect {
		return nil, ErrInvalidCall
	}
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, wrapCause(ErrInvalidCall, err)
	}
	target.Scheme = "http"
	target.Host = address
	host := call.Host
	if host == "" {
		host = address
	}
	request := &http.Request{
		Method: call.Method,
		URL:    target,
		Host:   host,
		Header: requestHeader(call, idHeader),
	}
	// GetBody stays nil so that net/http cannot send the body again.
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	return request.WithContext(ctx), nil
}

// pooledConn is a TCP connection with its own transport.
type pooledConn struct {
	address   string
	conn      *trackedConn
	transport *http.Transport
	dialed    atomic.Bool
	// carried is set once a request was sent on the connection.
	carried bool
	// expiry discards the connection once it was idle for too long; putIdle
	// sets it.
	expiry *time.Timer
	// keepAlive is the timeout of the endpoint's Keep-Alive header; zero if
	// there is none.
	keepAlive time.Duration
}

func newPooledConn(c *Client, address string, raw net.Conn) *pooledConn {
	p := &pooledConn{address: address, conn: &trackedConn{Conn: raw}}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            p.dialOnce,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: c.config.MaxHeaderBytes,
		ResponseHeaderTimeout:  c.config.HeaderTimeout,
		Protocols:              protocols,
	}
	return p
}

// dialOnce returns the connection to the transport. The transport dials a
// second time only to retry a request, which must not happen.
func (p *pooledConn) dialOnce(context.Context, string, string) (net.Conn, error) {
	if p.dialed.CompareAndSwap(false, true) {
		return p.conn, nil
	}
	return nil, ErrConnectionLost
}

// abort closes the connection and reports whether a byte of its request may
// have been sent.
func (p *pooledConn) abort() (sent bool) {
	sent = p.conn.abort()
	p.transport.CloseIdleConnections()
	return sent
}

// discard closes a connection that has no request in progress.
func (p *pooledConn) discard() { p.abort() }
