package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// exchange is one request that a rawEndpoint has read completely.
type exchange struct {
	net.Conn
	request *http.Request
	body    string
	// requestNumber counts the requests of the endpoint, connRequestNumber
	// those of the connection, both from 1.
	requestNumber, connRequestNumber int
}

func (e exchange) write(text string) {
	_, _ = io.WriteString(e.Conn, text)
}

// rawEndpoint counts the requests that it reads. Its handler writes raw bytes
// as the answer, and returns false to close the connection.
type rawEndpoint struct {
	address  string
	requests atomic.Int32
}

func newRawEndpoint(t testing.TB, handle func(exchange) bool) *rawEndpoint {
	e := &rawEndpoint{}
	e.address = listen(t, func(conn net.Conn) { e.serve(conn, handle) })
	return e
}

// listen serves connections on a free port until the test ends.
func listen(t testing.TB, serve func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (e *rawEndpoint) serve(conn net.Conn, handle func(exchange) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		number := int(e.requests.Add(1))
		body, err := io.ReadAll(request.Body)
		if err != nil || !handle(exchange{conn, request, string(body), number, nth}) {
			return
		}
	}
}

// requestCount returns the number of requests that the endpoint has read.
func (e *rawEndpoint) requestCount() int { return int(e.requests.Load()) }

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// send sends a call on a connection from the client.
func send(ctx context.Context, t testing.TB, client *Client, address string, c Call) (*Answer, error) {
	conn, err := client.Connect(ctx, address)
	must.NoError(t, err)
	return conn.Send(ctx, c)
}

// sendAndRead sends a call on a connection from the client and reads the whole
// body.
func sendAndRead(t testing.TB, client *Client, address string, c Call) (*Answer, string, error) {
	answer, err := send(t.Context(), t, client, address, c)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return answer, string(body), err
}

func newClient(t testing.TB, config Config) *Client {
	client := New(config)
	t.Cleanup(client.Close)
	return client
}
