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

	"github.com/cockroachdb/errors"
)

// HeaderRequestID names the request on both ways of an exchange.
const HeaderRequestID = "X-Request-Id"

var (
	// ErrCrossed means that the answer names another request. Nothing of its
	// body is readable.
	ErrCrossed = errors.New("endpoint answered another request")
	// ErrCut means that an answer ended before its end.
	ErrCut = errors.New("answer was cut")
	// ErrUndelimited means that the end of an answer was told by closing the
	// connection alone, which a cut looks like too. It is also an ErrCut.
	ErrUndelimited = because(ErrCut, errors.New("its end cannot be told from a cut"))
	// ErrBadCall means that a Call can't be written as an HTTP/1.1 request.
	ErrBadCall = errors.New("call is not a valid request")
	// ErrUsed means that a Conn was sent on or closed before.
	ErrUsed = errors.New("connection was used before")
	// ErrConnectionLost means that the endpoint closed the connection before
	// it answered.
	ErrConnectionLost = errors.New("endpoint closed the connection")
	// ErrProtocol means that an answer breaks HTTP, or that it switches to
	// another protocol.
	ErrProtocol = errors.New("answer breaks the protocol")
)

// because returns an error that is both kind and cause to errors.Is, of the
// standard library too. It is never io.EOF, which only a whole answer gives.
func because(kind, cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", kind, cause)
}

// SendError is the failure of Send.
type SendError struct {
	// Sent is false only where it is certain that no byte of the request
	// reached the endpoint.
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
	// Path begins with a slash and may carry a query.
	Path string
	// Host is sent as the Host header; empty means the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	// ID is sent in Config.RequestIDHeader; an answer that names another is
	// refused.
	ID string
	// Guard, where set, is called once, immediately before the first byte is
	// given to the kernel. Where it returns false no byte leaves, and Send
	// fails with ErrWithheld. It is called from another goroutine and must
	// neither block nor use the Conn.
	Guard func() bool
}

// Answer is the head of an endpoint's answer with its body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Body ends in io.EOF only where the answer is whole as HTTP tells it; an
	// ErrCut or ErrUndelimited ends it otherwise. Close of a body that was
	// not read to its end closes the connection.
	Body io.ReadCloser
	// Reused says that the connection had carried another request before.
	Reused bool
}

// Conn is a connection on which one request may be sent.
type Conn struct {
	client *Client
	link   *link
	reused bool
	used   atomic.Bool
}

// Reused reports whether the connection carried another request before.
func (c *Conn) Reused() bool { return c.reused }

// Close gives an unused connection back. After Send it does nothing.
func (c *Conn) Close() {
	if c.used.CompareAndSwap(false, true) {
		c.client.put(c.link)
	}
}

// Send writes the request once and returns the head of the answer. The
// context bounds the whole exchange, the body's reading too. Its error is
// always a *SendError.
func (c *Conn) Send(ctx context.Context, call Call) (*Answer, error) {
	if !c.used.CompareAndSwap(false, true) {
		return nil, &SendError{Err: ErrUsed}
	}
	request, err := newRequest(ctx, c.link.address, c.client.config.RequestIDHeader, call)
	if err != nil {
		c.client.put(c.link)
		return nil, &SendError{Err: err}
	}
	if c.reused && !c.link.wire.usable() {
		c.link.discard()
		return nil, &SendError{Err: ErrConnectionLost}
	}
	c.link.wire.begin(call.Guard)
	response, err := c.link.transport.RoundTrip(request)
	if err != nil {
		sent := c.link.fail()
		if c.link.wire.wasWithheld() {
			err = ErrWithheld
		}
		return nil, &SendError{Sent: sent, Err: err}
	}
	if err := checkResponse(response, c.client.config.RequestIDHeader, call.ID); err != nil {
		c.link.fail()
		return nil, &SendError{Sent: true, Err: err}
	}
	return c.answer(response), nil
}

func checkResponse(response *http.Response, idHeader, id string) error {
	if response.StatusCode < http.StatusOK {
		return ErrProtocol
	}
	for _, echoed := range response.Header[idHeader] {
		if id != "" && echoed != id {
			return ErrCrossed
		}
	}
	return nil
}

func (c *Conn) answer(response *http.Response) *Answer {
	c.link.keepAlive = keepAliveTimeout(response.Header)
	stripHopByHop(response.Header)
	body := &answerBody{
		client:      c.client,
		link:        c.link,
		body:        response.Body,
		keep:        !response.Close,
		undelimited: isUndelimited(response) && !c.client.config.AcceptClose,
	}
	if response.Body == http.NoBody {
		body.end()
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Reused: c.reused,
	}
}

// isUndelimited reports whether only the connection's end tells the body's.
func isUndelimited(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func newRequest(ctx context.Context, address, idHeader string, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") || call.Method == http.MethodConnect {
		return nil, ErrBadCall
	}
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, because(ErrBadCall, err)
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
	// GetBody stays nil: the library must be unable to send the body again.
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	return request.WithContext(ctx), nil
}

// link is one TCP connection with a transport of its own.
type link struct {
	address   string
	wire      *wire
	transport *http.Transport
	dialed    atomic.Bool
	// expiry discards the link while it is unused; it is set by put.
	expiry *time.Timer
	// keepAlive is how long the endpoint says that it keeps the connection
	// open; zero if it says nothing.
	keepAlive time.Duration
}

func newLink(c *Client, address string, raw net.Conn) *link {
	l := &link{address: address, wire: &wire{Conn: raw}}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	l.transport = &http.Transport{
		DialContext:            l.dialOnce,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: c.config.MaxHeaderBytes,
		ResponseHeaderTimeout:  c.config.HeaderTimeout,
		Protocols:              protocols,
	}
	return l
}

// dialOnce hands out the one connection of the link. The transport asks a
// second time only in order to repeat a request, which must not happen.
func (l *link) dialOnce(context.Context, string, string) (net.Conn, error) {
	if l.dialed.CompareAndSwap(false, true) {
		return l.wire, nil
	}
	return nil, ErrConnectionLost
}

// fail ends the link and reports whether a byte of its request may have been
// sent.
func (l *link) fail() (sent bool) {
	sent = l.wire.seal()
	l.transport.CloseIdleConnections()
	return sent
}

// discard ends a link whose request is over or never began.
func (l *link) discard() { l.fail() }
